"""Data model of the route table."""

import enum
from dataclasses import dataclass, field


class Kind(enum.Enum):
    """Whether requests may be retried, and whether the answer is a stream."""

    IDEMPOTENT = 'idempotent'
    ONCE = 'once'
    STREAM = 'stream'


@dataclass(slots=True, frozen=True)
class Target:
    """A service that serves a route, and its share of the requests."""

    service: str
    weight: float = 1.0


@dataclass(slots=True, frozen=True)
class StageStep:
    """Stage work that must complete before a request can run.

    Parameters
    ==========

    service : str
        Service whose upstreams process the pieces.
    after : tuple of int
        Indexes of the steps whose results are the input.
    result_bytes : int
        Approximate size of the result of one piece.
    """

    service: str
    after: tuple[int, ...] = ()
    result_bytes: int = 0


@dataclass(slots=True, frozen=True)
class StageLimits:
    """Capacity of one upstream of a stage service.

    Parameters
    ==========

    slots : int
        Maximum number of concurrent calls.
    batch : int
        Maximum number of pieces per call.
    call_seconds, piece_seconds : float
        Approximate time per call and per piece of a call.
    room_bytes : int
        Result memory, in bytes.
    hold_seconds : float
        Time after which a result that was not released is dropped.
    link_rate : float
        Bytes per second of its link.
    """

    slots: int = 1
    batch: int = 1
    call_seconds: float = 0.1
    piece_seconds: float = 0.01
    room_bytes: int = 0
    hold_seconds: float = 4.0
    link_rate: float = 1.25e9


@dataclass(slots=True, frozen=True)
class PartTransfer:
    """How model engines fetch shared prompt parts from each other.

    Parameters
    ==========

    token_bytes : int
        Bytes that an engine keeps of each prompt token.
    link_rate : float
        Bytes per second of the link of one engine.
    """

    token_bytes: int
    link_rate: float


def part_transfer(token_bytes, link_rate):
    """Return a :class:`PartTransfer`; None unless both figures are positive.

    Examples
    ========

    >>> from pollenstile.routes import part_transfer
    >>> part_transfer(1000, 1e9)
    PartTransfer(token_bytes=1000, link_rate=1000000000.0)
    >>> part_transfer(0, 1e9) is None
    True
    """
    if token_bytes <= 0 or link_rate <= 0:
        return None
    return PartTransfer(token_bytes, link_rate)


@dataclass(slots=True, frozen=True)
class Service:
    """A group of interchangeable upstreams.

    Parameters
    ==========

    stage : StageLimits or None
        Set for services that process pieces of stages.
    cold_rate : float
        Requests per second that a cold upstream can handle from all hosts
        together; 0 for no bound.
    part_transfer : PartTransfer or None
        Set for services of model engines that fetch shared prompt parts from
        each other.
    """

    name: str
    stage: StageLimits | None = None
    cold_rate: float = 0.0
    part_transfer: PartTransfer | None = None


@dataclass(slots=True, frozen=True)
class Route:
    """How requests of one host name and path prefix are served.

    Parameters
    ==========

    name, host, prefix : str
        The prefix begins and ends with a slash.
    kind : Kind
        Whether requests may be retried.
    timeout, aim : float
        Maximum time of a request, and the target latency within which an answer
        is worth most, in seconds.
    urgency : int
        0 is the most urgent.
    targets : tuple of Target
        Services and their shares.
    attempts : int
        Maximum number of upstreams that one request is sent to.
    steps : tuple of StageStep
        Stage work, ordered by their ``after``.
    public : bool
        Whether callers need no key.
    resumable : bool
        Whether a stream may be resumed at another upstream.
    pause : float
        Maximum seconds between two events of a stream that is in time; 0 for no
        bound.
    """

    name: str
    host: str
    prefix: str
    kind: Kind
    timeout: float
    aim: float
    urgency: int = 0
    targets: tuple[Target, ...] = ()
    attempts: int = 1
    steps: tuple[StageStep, ...] = ()
    public: bool = False
    resumable: bool = False
    pause: float = 0.0

    @property
    def repeatable(self):
        """Whether a request may run more than once."""
        return self.kind is Kind.IDEMPOTENT or (
            self.kind is Kind.STREAM and self.resumable
        )


@dataclass(slots=True, frozen=True)
class Team:
    """Callers that share keys; its urgency overrides that of a route."""

    name: str
    urgency: int | None = None


@dataclass(slots=True, frozen=True)
class Limits:
    """Limits on requests of callers, in bytes and seconds."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclass(slots=True, frozen=True)
class RouteTable:
    """One version of the configuration.

    Parameters
    ==========

    version : int
        Increases with each change.
    by_host : dict
        Routes by host name, longest prefixes first.
    services : dict
        Services by name.
    keys : dict
        Teams by key; None when callers need no keys.
    """

    version: int
    by_host: dict = field(default_factory=dict)
    services: dict = field(default_factory=dict)
    keys: dict | None = None
    limits: Limits = field(default_factory=Limits)
