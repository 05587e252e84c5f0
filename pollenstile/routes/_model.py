"""The route table and its parts."""

import enum
from dataclasses import dataclass, field


class Kind(enum.Enum):
    """What may be repeated."""

    IDEMPOTENT = 'idempotent'
    ONCE = 'once'
    STREAM = 'stream'


@dataclass(slots=True, frozen=True)
class Target:
    """A service that a route may use, and its share of the requests."""

    service: str
    weight: float = 1.0


@dataclass(slots=True, frozen=True)
class StageStep:
    """Work that must be done before a request can run.

    Parameters
    ==========

    service : str
        Whose upstreams make the pieces.
    after : tuple of int
        Numbers of the steps whose results are the input.
    result_bytes : int
        About the size of one piece's result.
    """

    service: str
    after: tuple[int, ...] = ()
    result_bytes: int = 0


@dataclass(slots=True, frozen=True)
class StageLimits:
    """What one upstream of a stage service takes.

    Parameters
    ==========

    slots : int
        Calls that it works on at a time.
    batch : int
        Pieces a call may hold.
    call_seconds, piece_seconds : float
        About what a call and each of its pieces take.
    room_bytes : int
        Memory for results that were not released.
    hold_seconds : float
        A result that nobody releases is dropped after this time.
    link_rate : float
        Bytes a second of its link.
    """

    slots: int = 1
    batch: int = 1
    call_seconds: float = 0.1
    piece_seconds: float = 0.01
    room_bytes: int = 0
    hold_seconds: float = 4.0
    link_rate: float = 1.25e9


@dataclass(slots=True, frozen=True)
class Service:
    """Upstreams that do the same work.

    Parameters
    ==========

    stage : StageLimits or None
        For services that make pieces of stages.
    cold_rate : float
        Requests a second that an upstream bears from all hosts together while
        it is cold; 0 where that has no bound.
    """

    name: str
    stage: StageLimits | None = None
    cold_rate: float = 0.0


@dataclass(slots=True, frozen=True)
class Route:
    """How requests of one host name and path prefix are served.

    Parameters
    ==========

    name, host, prefix : str
        The prefix begins and ends with a slash.
    kind : Kind
        What may be repeated.
    timeout, aim : float
        Seconds: the longest a caller is kept waiting, and the time within
        which an answer is worth most.
    urgency : int
        0 is the most urgent.
    targets : tuple of Target
        Services and their shares.
    attempts : int
        Upstreams that one request may be sent to.
    steps : tuple of StageStep
        Done in the order of their ``after``.
    public : bool
        Whether no key is asked for.
    resumable : bool
        Whether a stream may go on at another upstream.
    pause : float
        Seconds between two events of a stream for which it is still in time;
        0 where there is no such bound.
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
    """Callers that share keys; its urgency goes before a route's."""

    name: str
    urgency: int | None = None


@dataclass(slots=True, frozen=True)
class Limits:
    """What a caller may send, in bytes and seconds."""

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
        Rises with each change.
    by_host : dict
        Routes by host name, those with the longest prefix first.
    services : dict
        By name.
    keys : dict
        Teams by key; None when no keys are asked for at all.
    """

    version: int
    by_host: dict = field(default_factory=dict)
    services: dict = field(default_factory=dict)
    keys: dict | None = None
    limits: Limits = field(default_factory=Limits)
