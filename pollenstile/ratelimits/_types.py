"""Data types of the tokens with which hosts share an upstream's rate."""

from dataclasses import dataclass

from pollenstile.ratelimits._values import UNLIMITED


@dataclass(slots=True, frozen=True)
class RatedUpstream:
    """An incarnation of an upstream, as far as its rate is concerned.

    Parameters
    ==========

    name : str
        Unique name of the incarnation.
    service, domain : str
        Service and failure domain of the upstream.
    """

    name: str
    service: str = ''
    domain: str = ''


@dataclass(slots=True, frozen=True)
class TokenRequest:
    """A host's request for tokens of one upstream.

    Parameters
    ==========

    name, domain : str
        The incarnation, and the failure domain of the upstream.
    rate : float
        Requests a second that it states, as far as the host knows.
    stated_at : float
        Time on the receiver's clock of the answer that stated it.
    wanted : int
        Requests that the host would have sent there since its last request
        for tokens.
    unused : int
        Tokens that it returns.
    """

    name: str
    domain: str
    rate: float
    stated_at: float
    wanted: int = 0
    unused: int = 0


@dataclass(slots=True, frozen=True)
class TokenGrant:
    """Answer to a :class:`TokenRequest`.

    Parameters
    ==========

    name : str
        The incarnation.
    rate, stated_at : float
        As in :class:`TokenRequest`, of the host that answers.
    count : int
        Requests that the host may send.
    wait_seconds : float
        Time after which the host may ask again.
    valid_seconds : float
        Time for which the tokens may be used, from the request for them on.
    spacing_seconds : float
        Average time between two tokens of this host.
    is_allocator : bool
        Whether the answering host allocates the upstream's rate.
    """

    name: str
    rate: float = UNLIMITED
    stated_at: float = 0.0
    count: int = 0
    wait_seconds: float = 0.0
    valid_seconds: float = 0.0
    spacing_seconds: float = 0.0
    is_allocator: bool = True
