"""HTTP client for the callers' protocol."""

from dataclasses import dataclass

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol
from twisted.web.client import ResponseDone
from twisted.web.http_headers import Headers

from pollenstile.ops.agents import agent_for
from pollenstile.ops.body import BytesProducer
from pollenstile.ops.numbers import whole_number

# Bytes of the longest answer: the replies of all stages, or their tokens.
_MAX_ANSWER_BYTES = 33554432
_OK = 200
_DATA = b'data: '
_DONE = b'event: done'
_NOT_JSON = 'the answer is not JSON'


@dataclass(slots=True, frozen=True)
class Answer:
    """Answer that a caller received.

    Parameters
    ==========

    status : int
        HTTP status; 0 when there was no answer or it was incomplete.
    outcome : str
        ``'answered'``, or the outcome of the problem document; ``'unknown'``
        when the connection was lost, because the caller cannot know whether
        the request ran.
    document : dict
        The complete answer, or the problem document.
    text : str
        Concatenated streamed tokens.
    retry_after : float
        In seconds; 0 when the header is absent.
    """

    status: int
    outcome: str
    document: dict
    text: str = ''
    retry_after: float = 0.0


class _Collector(Protocol):
    """Collects a response body until it ends or the connection is lost."""

    def __init__(self, done, on_bytes):
        self.done = done
        self.on_bytes = on_bytes
        self.parts = []
        self.size = 0

    def dataReceived(self, data):
        """Append received data; called by twisted."""
        self.size += len(data)
        if self.size > _MAX_ANSWER_BYTES:
            self.parts = []
            self.transport.abortConnection()
            return
        self.parts.append(data)
        self.on_bytes(data)

    def connectionLost(self, reason):
        """Deliver the body and whether it is complete; called by twisted."""
        is_complete = bool(reason.check(ResponseDone))
        self.done.callback((b''.join(self.parts), is_complete))


def _ignore_bytes(received):
    """Ignore received bytes."""


def pipeline_client(reactor, connect_timeout=2.0):
    """Return a function that sends requests to pipelines.

    Explanation
    ===========

    The function takes ``(base, pipeline, key, content)`` and the options
    ``stream``, ``idempotency_key``, ``deadline_ms`` and ``on_bytes``, and
    returns a coroutine of an :class:`Answer`. Each request opens a connection:
    answers don't name their requests, so a late second answer on a kept one
    would pass for the next answer.
    """
    agent = agent_for(reactor, connect_timeout=connect_timeout)

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
            return _unknown(type(error).__name__)
        done = Deferred()
        response.deliverBody(_Collector(done, on_bytes))
        received, is_complete = await done
        return _decode_answer(response, received, is_complete, stream=stream)

    return call


def _unknown(title):
    """Return what a caller gets that can't know whether its request ran."""
    return Answer(0, 'unknown', {'title': title})


def _decode_answer(response, received, is_complete, *, stream):
    if not is_complete:
        return _unknown('the answer is incomplete')
    try:
        if response.code == _OK and stream:
            return _decode_stream(received)
        document = msgspec.json.decode(received)
    except msgspec.MsgspecError:
        if response.code == _OK:
            return _unknown(_NOT_JSON)
        document = {'title': _NOT_JSON}
    if response.code == _OK:
        return Answer(_OK, 'answered', document)
    retry_after = response.headers.getRawHeaders('retry-after', ['0'])[0]
    return Answer(
        response.code,
        document.get('outcome', 'unknown'),
        document,
        retry_after=whole_number(retry_after) or 0,
    )


def _decode_stream(received):
    head, found, tail = received.partition(_DONE)
    if not found:
        return _unknown('the stream ended without its last event')
    document = msgspec.json.decode(tail.strip()[len(_DATA) :])
    parts = []
    for line in head.split(b'\n'):
        if not line.startswith(_DATA):
            continue
        parts.append(msgspec.json.decode(line[len(_DATA) :])['text'])
    return Answer(_OK, 'answered', document, ''.join(parts))
