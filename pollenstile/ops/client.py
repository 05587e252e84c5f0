"""A caller's side of the callers' protocol."""

from dataclasses import dataclass

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol
from twisted.web.client import HTTPConnectionPool, ResponseDone
from twisted.web.http_headers import Headers

from pollenstile.ops.agents import agent_for
from pollenstile.ops.body import BytesProducer
from pollenstile.ops.numbers import whole_number

_OK = 200
_DATA = b'data: '
_DONE = b'event: done'


@dataclass(slots=True, frozen=True)
class Answer:
    """What a caller got.

    Parameters
    ==========

    status : int
        HTTP status; 0 when nothing answered or the answer broke off.
    outcome : str
        ``'answered'``, or the problem's outcome; ``'unknown'`` when the
        connection broke, because the caller can't know more.
    document : dict
        The whole answer, or the problem.
    text : str
        Tokens that were streamed.
    retry_after : float
        In seconds; 0 when none was given.
    """

    status: int
    outcome: str
    document: dict
    text: str = ''
    retry_after: float = 0.0


class _Collector(Protocol):
    """Collects a body until it ends or breaks."""

    def __init__(self, done, on_bytes):
        self.done = done
        self.on_bytes = on_bytes
        self.parts = []

    def dataReceived(self, data):
        """Keep a part; called by twisted."""
        self.parts.append(data)
        self.on_bytes(data)

    def connectionLost(self, reason):
        """Hand over the body; called by twisted."""
        whole = bool(reason.check(ResponseDone))
        self.done.callback((b''.join(self.parts), whole))


def _ignore_bytes(received):
    """Take bytes that nobody watches."""


def pipeline_client(reactor, persistent=True, connect_timeout=2.0):
    """Return a function that calls pipelines.

    Explanation
    ===========

    The function takes ``(base, pipeline, key, content)`` and the options
    ``stream``, ``idempotency_key``, ``deadline_ms`` and ``on_bytes``, and
    returns a coroutine of an :class:`Answer`.
    """
    pool = HTTPConnectionPool(reactor, persistent=persistent)
    pool.retryAutomatically = False
    agent = agent_for(reactor, pool, connect_timeout)

    async def call(
        base,
        pipeline,
        key,
        content,
        *,
        stream=False,
        idempotency_key='',
        deadline_ms=0,
        on_bytes=_ignore_bytes,
    ):
        headers = Headers(
            {
                'authorization': [f'Bearer {key}'],
                'content-type': ['application/json'],
            }
        )
        if stream:
            headers.addRawHeader('accept', 'text/event-stream')
        if idempotency_key:
            headers.addRawHeader('idempotency-key', idempotency_key)
        if deadline_ms:
            headers.addRawHeader('x-deadline-ms', str(deadline_ms))
        body = BytesProducer(msgspec.json.encode({'input': content}))
        uri = f'{base}/v1/pipelines/{pipeline}'.encode()
        try:
            response = await agent.request(b'POST', uri, headers, body)
        except Exception as error:
            return Answer(0, 'unknown', {'title': type(error).__name__})
        done = Deferred()
        response.deliverBody(_Collector(done, on_bytes))
        received, whole = await done
        return _answer(response, received, whole, stream=stream)

    return call


def _answer(response, received, whole, *, stream):
    if not whole:
        return Answer(0, 'unknown', {'title': 'the answer broke off'})
    if response.code == _OK and stream:
        return _streamed(received)
    try:
        document = msgspec.json.decode(received)
    except msgspec.MsgspecError:
        document = {'title': 'the answer is not JSON'}
    if response.code == _OK:
        return Answer(_OK, 'answered', document)
    waits = response.headers.getRawHeaders('retry-after', ['0'])[0]
    return Answer(
        response.code,
        document.get('outcome', 'unknown'),
        document,
        retry_after=whole_number(waits) or 0,
    )


def _streamed(received):
    head, found, tail = received.partition(_DONE)
    if not found:
        return Answer(0, 'unknown', {'title': 'the stream has no end'})
    document = msgspec.json.decode(tail.strip()[len(_DATA) :])
    parts = []
    for line in head.split(b'\n'):
        if not line.startswith(_DATA):
            continue
        parts.append(msgspec.json.decode(line[len(_DATA) :])['text'])
    return Answer(_OK, 'answered', document, ''.join(parts))
