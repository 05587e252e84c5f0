"""A caller's request as it is forwarded, and how sending it ends."""

import enum
from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class HeaderNames:
    """Names of the headers that the system reads or sets.

    Explanation
    ===========

    The platform has its own names; an adapter hands them over. The defaults
    are those of the project's own interface.

    Parameters
    ==========

    attempt : bytes
        Identifies one request of a caller; the answer echoes it.
    deadline : bytes
        Milliseconds that are left.
    stamp : bytes
        An upstream's proof that the answer is its own.
    not_run : bytes
        Says that an upstream has not run the request.
    expect : bytes
        The incarnation that a request is meant for.
    team : bytes
        The caller's team, for upstreams.
    load : bytes
        Running, waiting, slots.
    counts, stage_key : bytes
        Pieces by step, and the input of the first steps.
    results : bytes
        Handles of stage results, for model engines.
    prompt : bytes
        Parts of the prompt, ``ID:TOKENS`` by commas.
    last_event : bytes
        Event after which a stream goes on.
    urgency : bytes
        0 to 9 for model engines.
    reserved : frozenset of bytes
        Headers that callers must not set, in lower case.
    """

    attempt: bytes = b'x-attempt'
    deadline: bytes = b'x-deadline-ms'
    stamp: bytes = b'x-proof'
    not_run: bytes = b'x-not-run'
    expect: bytes = b'x-incarnation'
    team: bytes = b'x-team'
    load: bytes = b'x-load'
    counts: bytes = b'x-pieces'
    stage_key: bytes = b'x-piece-key'
    results: bytes = b'x-results'
    prompt: bytes = b'x-prompt'
    last_event: bytes = b'last-event-id'
    urgency: bytes = b'x-urgency'
    reserved: frozenset = frozenset()


@dataclass(slots=True, frozen=True)
class RouteQuery:
    """What a request asks for, and in whose name.

    Parameters
    ==========

    host, path : str
        By which its route is found.
    authorization : str
        The header with the team's key.
    """

    host: str
    path: str
    authorization: str = ''


@dataclass(slots=True)
class Exchange:
    """One request of a caller.

    Parameters
    ==========

    ident : str
        As the caller named it; the host's own where it did not.
    method, target : bytes
        Sent on untouched.
    headers : list of tuple
        Names and values that are sent on.
    body : bytes
        Whole.
    route : Route
        Matched.
    table : RouteTable
        That the request was held against last.
    asked : Asked
        By which it is held against a newer one.
    team : str
        Name, empty on public routes.
    urgency : int
        0 is the most urgent.
    arrived, aim, ends : float
        On the clock, in seconds.
    counts : tuple of int
        Pieces by step of the route.
    prompt : tuple
        Identifier and tokens of each part.
    proof_ms : int
        Age of the table's proof when the request came, in milliseconds.
    fingerprint : str
        Of the content, the same for each request that repeats this one; empty
        while the fleet's key is not known.
    """

    ident: str
    method: bytes
    target: bytes
    headers: list
    body: bytes
    route: object
    table: object
    query: RouteQuery
    team: str = ''
    urgency: int = 0
    arrived: float = 0.0
    aim: float = 0.0
    ends: float = 0.0
    counts: tuple = ()
    stage_key: str = ''
    prompt: tuple = ()
    last_event: str = ''
    service: str = ''
    handles: tuple = field(default_factory=tuple)
    proof_ms: int = 0
    fingerprint: str = ''


@dataclass(slots=True, frozen=True)
class Refusal:
    """A final answer of the system's own.

    Parameters
    ==========

    status : int
        429 and 503 say that the request did not run and won't.
    reason, step, peer : str
        Why and where.
    retry_after : float
        Seconds; 0 for no advice.
    """

    status: int
    reason: str
    step: str = ''
    peer: str = ''
    retry_after: float = 0.0


@dataclass(slots=True, frozen=True)
class NotRun:
    """An attempt that surely did not run.

    Parameters
    ==========

    arrived : bool
        Whether it reached the upstream, and so counts as a send.
    """

    reason: str
    peer: str = ''
    arrived: bool = True
    retry_after: float = 0.0


@dataclass(slots=True, frozen=True)
class Lost:
    """An attempt that may have run and brought no whole answer.

    Parameters
    ==========

    broken : bool
        Whether the upstream's side broke the connection.
    """

    reason: str
    peer: str = ''
    broken: bool = False


class BodyEnd(enum.Enum):
    """How an answer's body ended."""

    COMPLETE = 'whole'
    BROKEN = 'broken'
    SILENT = 'silent'
