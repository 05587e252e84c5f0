"""Input of all kinds, and the readers that it is fed to."""

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from twisted.internet.error import ConnectionLost
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone

from pollenstile.upstream import Chunk
from pollenstile.upstream._bodies import StreamBody, WholeBody

# The same examples in each run, and no limit on time.
FIXED = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=100,
)
# Text as a header may carry it: the server has decoded it.
HEADERS = st.text(max_size=300).map(
    lambda text: text.encode('utf8', 'ignore').decode('utf8'),
)
TOKENS = st.lists(st.text(min_size=1, max_size=8), max_size=8)
CUTS = st.lists(st.integers(min_value=0, max_value=2000), max_size=12)
SECONDS = st.floats(min_value=0, max_value=60)


def pieces(data, cuts):
    """Return bytes cut at some places, in order."""
    places = sorted({cut % (len(data) + 1) for cut in cuts})
    starts = [0, *places]
    ends = [*places, len(data)]
    return [data[start:end] for start, end in zip(starts, ends, strict=True)]


def stream_of(tokens, attempt='r1/draft/1'):
    """Return the bytes that an engine sends for some tokens."""
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
    """A transport that ends the reader's connection when told to."""

    def abortConnection(self):  # noqa: N802
        """Take the reader's word; called by it."""


def fed_stream(parts, *, whole=True):
    """Return what a reader of streams makes of some bytes."""
    return _fed(lambda sink: StreamBody(sink, ''), parts, whole=whole)


def fed_reply(parts, *, whole=True):
    """Return what a reader of replies makes of some bytes."""
    return _fed(WholeBody, parts, whole=whole)


def _fed(build, parts, *, whole):
    events = []
    body = build(events.append)
    body.makeConnection(_Aborting())
    for part in parts:
        body.dataReceived(part)
    reason = ResponseDone() if whole else ConnectionLost()
    body.connectionLost(Failure(reason))
    return events


def chunks_of(events):
    """Return the tokens among what was handed over."""
    return [event for event in events if isinstance(event, Chunk)]


def ends_of(events):
    """Return all that is not a token."""
    return [event for event in events if not isinstance(event, Chunk)]
