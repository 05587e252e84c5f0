"""What goes to an upstream and what comes back.

Explanation
===========

A transport is a function ``start(name, upstream, call, sink)`` that returns a
function which cancels the call. It hands the sink :class:`Chunk` any number of
times and then exactly one of :class:`Reply`, :class:`NotRun`,
:class:`Rejected` and :class:`Lost`. Nothing reaches the sink after a cancel.
"""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Call:
    """One attempt at one stage.

    Parameters
    ==========

    attempt : str
        ``REQUEST/STAGE/NUMBER``; the answer must carry it.
    step : str
        The stage's name.
    kind : {'engine', 'stage', 'service'}
        Engines stream, the others answer whole.
    content : object
        The stage's input, of JSON's types.
    timeout_ms : int
        What is left for this attempt, in milliseconds.
    idempotent : bool
        Whether the call may be sent on a pooled connection.
    key : str
        The caller's idempotency key; empty when there is none.
    offset : int
        Tokens that the caller has already; engines go on after them.
    text : str
        The text of these tokens.
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


@dataclass(slots=True, frozen=True)
class Load:
    """An upstream's report of its own load.

    Parameters
    ==========

    running, queued : int
        Calls that it runs and keeps waiting.
    leaving : bool
        Whether it wants no new work.
    incarnation : str
        Changes when the process behind the address changes.
    """

    running: int = 0
    queued: int = 0
    leaving: bool = False
    incarnation: str = ''


@dataclass(slots=True, frozen=True)
class Chunk:
    """A token of a streamed answer; ``offset`` counts tokens from 0."""

    attempt: str
    offset: int
    text: str


@dataclass(slots=True, frozen=True)
class Reply:
    """A complete answer.

    Parameters
    ==========

    attempt : str
        As the upstream stated it.
    output : object
        Of JSON's types; the whole text for engines.
    tokens : int
        Tokens streamed in all, an earlier attempt's included.
    busy_ms : float
        Time that the upstream says it worked, in milliseconds.
    load : Load or None
        Its load report.
    """

    attempt: str
    output: object
    tokens: int = 0
    busy_ms: float = 0.0
    load: Load | None = None


@dataclass(slots=True, frozen=True)
class NotRun:
    """The upstream was not reached, or refused before it ran anything.

    Parameters
    ==========

    attempt : str or None
        As the upstream stated it; None when the call never left this host.
    """

    reason: str
    retry_after: float = 0.0
    load: Load | None = None
    attempt: str | None = None


@dataclass(slots=True, frozen=True)
class Rejected:
    """The upstream says that the call itself is wrong; it ran nothing.

    Parameters
    ==========

    attempt : str or None
        As the upstream stated it; None when the call never left this host.
    """

    reason: str
    attempt: str | None = None


@dataclass(slots=True, frozen=True)
class Lost:
    """The call may have run; there is no complete answer."""

    reason: str
