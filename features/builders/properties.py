"""Strategies for generated input, and runs of body readers on it."""

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from twisted.internet.error import ConnectionLost
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone

from pollenstile.upstream import Chunk
from pollenstile.upstream._bodies import ReplyBody, StreamBody

# The examples are the same in each run and have no time limit.
FIXED = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=100,
)
# Header values as the server decodes them.
HEADERS = st.text(max_size=300).map(
    lambda text: text.encode('utf8', 'ignore').decode('utf8'),
)
TOKENS = st.lists(st.text(min_size=1, max_size=8), max_size=8)
CUTS = st.lists(st.integers(min_value=0, max_value=2000), max_size=12)
SECONDS = st.floats(min_value=0, max_value=60)


def split_bytes(data, cuts):
    """Return bytes split at some positions, in order."""
    positions = sorted({cut % (len(data) + 1) for cut in cuts})
    starts = [0, *positions]
    ends = [*positions, len(data)]
    return [data[start:end] for start, end in zip(starts, ends, strict=True)]


def stream_of(tokens, attempt='r1/draft/1'):
    """Return the complete stream that an engine sends for some tokens."""
    events = []
    for offset, token in enumerate(tokens):
        choices = [{'text': token, 'finish_reason': None}]
        events.append({'id': attempt, 'choices': choices, 'offset': offset})
    usage = {'completion_tokens': len(tokens), 'busy_ms': 2.5}
    events.append({'id': attempt, 'choices': [], 'usage': usage})
    lines = [msgspec.json.encode(event) for event in events]
    lines.append(b'[DONE]')
    return b''.join(b'data: %b\n\n' % line for line in lines)


class _Aborting(StringTransport):
    """Transport of a reader that may abort its connection."""

    def abortConnection(self):  # noqa: N802
        """Ignore the abort; called by the reader."""


def read_stream(parts, *, complete=True):
    """Return the events of a stream reader for some bytes."""
    return _read_body(
        lambda sink: StreamBody(sink, ''), parts, complete=complete
    )


def read_reply(parts, *, complete=True):
    """Return the events of a reply reader for some bytes."""
    return _read_body(ReplyBody, parts, complete=complete)


def _read_body(build, parts, *, complete):
    events = []
    body = build(events.append)
    body.makeConnection(_Aborting())
    for part in parts:
        body.dataReceived(part)
    reason = ResponseDone() if complete else ConnectionLost()
    body.connectionLost(Failure(reason))
    return events


def chunks_of(events):
    """Return the token events."""
    return [event for event in events if isinstance(event, Chunk)]


def ends_of(events):
    """Return the events other than tokens."""
    return [event for event in events if not isinstance(event, Chunk)]
