"""Documents exchanged with upstreams.

Explanation
===========

Engines implement the usual protocol of model servers: a POST to
``/v1/completions`` is answered with server-sent events. Stage pools and plain
services accept a POST to ``/v1/call``. ``docs/PROTOCOLS.md`` describes both.
"""

from dataclasses import dataclass, field
from typing import Any

import msgspec

from pollenstile.statements import StatementHeaders

COMPLETIONS_PATH = '/v1/completions'
CALL_PATH = '/v1/call'
ATTEMPT_HEADER = 'x-attempt-id'
DEADLINE_HEADER = 'x-deadline-ms'
KEY_HEADER = 'idempotency-key'
OUTCOME_HEADER = 'x-outcome'
# Requests a second that an upstream accepts from all hosts together.
RATE_HEADER = 'x-request-rate'
# What else answers state; load reports state that an upstream leaves.
STATEMENT_HEADERS = StatementHeaders(RATE_HEADER.encode(), b'retry-after')
NOT_RUN = 'not-run'
DONE = b'[DONE]'


@dataclass(slots=True)
class LoadReport:
    """Load reported by an upstream."""

    running: int = 0
    queued: int = 0
    leaving: bool = False
    incarnation: str = ''


@dataclass(slots=True)
class CompletionCall:
    """Request document for an engine."""

    model: str
    prompt: Any
    max_tokens: int
    priority: str = 'normal'
    stream: bool = True
    resume_offset: int = 0
    resume_text: str = ''


@dataclass(slots=True)
class Choice:
    """Choice of a completion event; an event has at most one."""

    text: str = ''
    finish_reason: str | None = None


@dataclass(slots=True)
class Usage:
    """Token count and processing time of a completion."""

    completion_tokens: int = 0
    busy_ms: float = 0.0


@dataclass(slots=True)
class CompletionEvent:
    """A server-sent event of an engine; ``id`` identifies the attempt."""

    id: str
    choices: list[Choice]
    offset: int = 0
    usage: Usage | None = None
    load: LoadReport | None = None


@dataclass(slots=True)
class PlainCall:
    """Request document for a stage pool or a plain service."""

    attempt: str
    step: str
    content: Any
    team: str = ''


@dataclass(slots=True)
class PlainReply:
    """Reply of a stage pool or a plain service."""

    attempt: str
    output: Any
    busy_ms: float = 0.0
    load: LoadReport = field(default_factory=LoadReport)


encode_json = msgspec.json.encode
decode_completion_event = msgspec.json.Decoder(CompletionEvent).decode
decode_completion_call = msgspec.json.Decoder(CompletionCall).decode
decode_plain_call = msgspec.json.Decoder(PlainCall).decode
decode_plain_reply = msgspec.json.Decoder(PlainReply).decode
# Raised for answers that are malformed, or nested more deeply than is decoded.
DECODE_ERRORS = (msgspec.MsgspecError, RecursionError)
