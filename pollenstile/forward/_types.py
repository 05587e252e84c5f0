"""Data types of forwarded requests and of the outcomes of attempts."""

import enum
from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class HeaderNames:
    """Names of the headers that the system reads or sets.

    Explanation
    ===========

    The platform's adapter supplies its own names. The defaults are those of
    the project's own interface.

    Parameters
    ==========

    attempt : bytes
        Identifies one request of a caller; the answer echoes it.
    deadline : bytes
        Remaining milliseconds until the deadline.
    stamp : bytes
        Set by an upstream to show that the answer is its own.
    not_run : bytes
        Set by an upstream that has not run the request.
    expect : bytes
        The incarnation that a request is meant for.
    team : bytes
        The caller's team, for upstreams.
    load : bytes
        Load of an upstream: running, waiting, slots.
    rate : bytes
        Requests a second that an upstream accepts from all hosts together.
    leaving : bytes
        ``1`` in the answers of an upstream that leaves.
    rest : bytes
        Seconds for which an upstream that turned a request away wants none.
    brittle : bytes
        Requests that an upstream may turn away in a second before it fails.
    counts, stage_key : bytes
        Pieces by step, and the input of the first steps.
    results : bytes
        Handles of stage results, for model engines.
    prompt : bytes
        Parts of the prompt, ``ID:TOKENS`` separated by commas.
    last_event : bytes
        Event after which a stream continues.
    resumes : bytes
        The request that brought the first event of a stream which the caller
        takes up again.
    urgency : bytes
        Urgency for model engines, 0 to 9.
    part_source : bytes
        Address, ``IP:PORT``, of the engine from which a model engine fetches
        the shared parts of the prompt that it does not keep itself.
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
    rate: bytes = b'x-request-rate'
    leaving: bytes = b'x-leaving'
    rest: bytes = b'retry-after'
    brittle: bytes = b'x-brittle'
    counts: bytes = b'x-pieces'
    stage_key: bytes = b'x-piece-key'
    results: bytes = b'x-results'
    prompt: bytes = b'x-prompt'
    last_event: bytes = b'last-event-id'
    resumes: bytes = b'x-resumes'
    urgency: bytes = b'x-urgency'
    part_source: bytes = b'x-part-source'
    reserved: frozenset = frozenset()


@dataclass(slots=True, frozen=True)
class RouteQuery:
    """The parts of a request that decide on its route and admission.

    Parameters
    ==========

    host, path : str
        Select the route.
    authorization : str
        Value of the header with the team's key.
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
        The caller's identifier of the attempt; requests without one are
        refused.
    method, target : bytes
        Forwarded unchanged.
    headers : list of tuple
        Names and values that are forwarded.
    body : bytes
        The complete body.
    route : Route
        The matched route.
    table : RouteTable
        The table by which the request was last admitted.
    query : RouteQuery
        Used to admit the request again by a newer table.
    team : str
        Name of the caller's team; empty on public routes.
    urgency : int
        Urgency of the request; 0 is the most urgent.
    arrived, aim, ends : float
        Time of arrival, target time of the answer and deadline, in seconds on
        the clock.
    counts : tuple of int
        Pieces by step of the route.
    stage_key : str
        Input of the first stage steps.
    prompt : tuple
        Identifier and token count of each prompt part.
    last_event : str
        Event after which the caller continues a stream.
    resumes : str
        Identifier of the request that brought the first event of this stream;
        empty for a new one.
    service : str
        The service that the request is sent to.
    software : str or None
        Software version at which the stream began, and must go on; None while
        any will do.
    handles : tuple of str
        Handles of its stage results.
    proof_ms : int
        Milliseconds between the table's last verification and the arrival.
    fingerprint : str
        Keyed digest of the request, the same for each repetition of it; empty
        while the fleet's key is unknown.
    parts : tuple of str
        Keyed digests of its prompt parts without the last one, which no other
        request shares; empty while the fleet's key is unknown.
    begun_after : bytes or None
        Identifier of the event after which an upstream has begun another one
        that was not passed on; None before any.
    may_fetch : bool
        Whether its next attempt may name a source of its shared prompt parts;
        False once an attempt has named one.
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
    resumes: str = ''
    service: str = ''
    software: str | None = None
    handles: tuple = field(default_factory=tuple)
    proof_ms: int = 0
    fingerprint: str = ''
    parts: tuple = ()
    begun_after: bytes | None = None
    may_fetch: bool = True

    @property
    def fingerprints(self):
        """Return all that crashes of upstreams can speak against."""
        return (self.fingerprint, *self.parts)

    @property
    def origin(self):
        """Return the identifier of the request that began the stream."""
        return self.resumes or self.ident


@dataclass(slots=True, frozen=True)
class Refusal:
    """A final answer that the system itself gives in place of an upstream's.

    Parameters
    ==========

    status : int
        429 and 503 state that the request did not run and will not.
    reason : str
        Why the request was refused.
    step, peer : str
        Step and upstream at which it was refused.
    retry_after : float
        Advised seconds until a retry; 0 for no advice.
    """

    status: int
    reason: str
    step: str = ''
    peer: str = ''
    retry_after: float = 0.0


@dataclass(slots=True, frozen=True)
class NotRun:
    """Outcome of an attempt that certainly did not run.

    Parameters
    ==========

    reason : str
        Why it did not run.
    peer : str
        Identifier of the upstream.
    arrived : bool
        Whether it reached the upstream, and so counts as a send.
    retry_after : float
        Seconds until a retry may succeed; 0 if unknown.
    is_unfit : bool
        Whether the upstream is sound, and does not fit this request alone.
    """

    reason: str
    peer: str = ''
    arrived: bool = True
    retry_after: float = 0.0
    is_unfit: bool = False


@dataclass(slots=True, frozen=True)
class Lost:
    """Outcome of an attempt that may have run without a complete answer.

    Parameters
    ==========

    reason : str
        How it was lost.
    peer : str
        Identifier of the upstream.
    broken : bool
        Whether the upstream closed or reset the connection.
    endless : bool
        Whether the upstream sent more bytes than any answer has.
    """

    reason: str
    peer: str = ''
    broken: bool = False
    endless: bool = False


class BodyEnd(enum.Enum):
    """How an answer's body ended."""

    # The length or the last chunk was received.
    COMPLETE = 'whole'
    # The body had neither. Its connection was closed without a reset by a
    # process that lived on.
    CLOSED = 'closed'
    # The same, but its upstream had not received all of the request.
    EARLY = 'early'
    # The same, but its upstream was not heard of after that.
    UNCONFIRMED = 'unconfirmed'
    BROKEN = 'broken'
    # Its length contradicts its chunks.
    MISFRAMED = 'misframed'
    # A second answer to the same request began in the body.
    REPEATED = 'repeated'
    # It was given up, as it has more bytes than any answer.
    ENDLESS = 'endless'


@dataclass(slots=True)
class ReceivedBody:
    """What was received of an answer's body, for the log.

    Parameters
    ==========

    framing : str
        By what its end is to be known: ``'length'``, ``'chunks'`` or
        ``'close'``; empty before the head.
    size : int
        Bytes received, without their framing.
    end : str
        Value of the :class:`BodyEnd`; empty before the end.
    """

    framing: str = ''
    size: int = 0
    end: str = ''
