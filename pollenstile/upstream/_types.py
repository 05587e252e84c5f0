"""Calls to upstreams and the events of a transport.

Explanation
===========

A transport is a function ``start(name, upstream, call, sink)`` that returns a
function which cancels the call. It passes to the sink any number of
:class:`Chunk` and then exactly one of :class:`Reply`, :class:`NotRun`,
:class:`Rejected` and :class:`Lost`. It passes nothing after a cancellation.
"""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Call:
    """One attempt to run one stage.

    Parameters
    ==========

    attempt : str
        ``REQUEST/STAGE/NUMBER``; the answer must have the same identifier.
    step : str
        Name of the stage.
    kind : {'engine', 'stage', 'service'}
        Kind of the upstream. Engines stream tokens, the others send one
        complete reply.
    content : object
        Input of the stage, as JSON values.
    timeout_ms : int
        Time until the stage's deadline, in milliseconds.
    idempotent : bool
        Whether the call may be sent on a pooled connection.
    fresh : bool
        Whether it needs a new connection although it is idempotent.
    key : str
        Idempotency key of the caller; empty if there is none.
    offset : int
        Number of tokens that the caller has; engines resume after them.
    text : str
        Text of these tokens.
    """

    attempt: str
    step: str
    kind: str
    content: object
    timeout_ms: int
    team: str = ''
    urgency: str = 'normal'
    model: str = ''
    max_tokens: int = 0
    idempotent: bool = True
    key: str = ''
    offset: int = 0
    text: str = ''
    fresh: bool = False


@dataclass(slots=True, frozen=True)
class Load:
    """Load reported by an upstream.

    Parameters
    ==========

    running, queued : int
        Numbers of running and queued calls.
    leaving : bool
        Whether the upstream accepts no new work.
    incarnation : str
        Identifier that changes when the process at the address changes.
    """

    running: int = 0
    queued: int = 0
    leaving: bool = False
    incarnation: str = ''


@dataclass(slots=True, frozen=True)
class Chunk:
    """A token of a streamed answer; ``offset`` is its index from 0."""

    attempt: str
    offset: int
    text: str


@dataclass(slots=True, frozen=True)
class Reply:
    """A complete answer.

    Parameters
    ==========

    attempt : str
        Attempt identifier sent by the upstream.
    output : object
        JSON values; for engines the complete text.
    tokens : int
        Total number of streamed tokens, including earlier attempts.
    busy_ms : float
        Processing time reported by the upstream, in milliseconds.
    load : Load or None
        Load reported by the upstream.
    """

    attempt: str
    output: object
    tokens: int = 0
    busy_ms: float = 0.0
    load: Load | None = None


@dataclass(slots=True, frozen=True)
class NotRun:
    """The upstream was not reached or refused the call before running it.

    Parameters
    ==========

    attempt : str or None
        Attempt identifier sent by the upstream; None if the call was not
        sent.
    """

    reason: str
    retry_after: float = 0.0
    load: Load | None = None
    attempt: str | None = None


@dataclass(slots=True, frozen=True)
class Rejected:
    """The upstream rejected the call as invalid and did not run it.

    Parameters
    ==========

    attempt : str or None
        Attempt identifier sent by the upstream; None if the call was not
        sent.
    """

    reason: str
    attempt: str | None = None


@dataclass(slots=True, frozen=True)
class Lost:
    """The call may have run; there is no complete answer."""

    reason: str
