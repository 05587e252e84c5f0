"""Calls over HTTP that know whether bytes were sent.

Explanation
===========

The library's own retry is off, so a call is sent once. Writes and watches go
over a connection of their own. Its handshake proves that the path is alive,
and when it fails, surely nothing was sent. Reads share a few connections.
"""

from dataclasses import dataclass

from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint, TCP6ClientEndpoint
from twisted.internet.protocol import Protocol
from twisted.web.client import Agent, HTTPConnectionPool, ResponseDone
from twisted.web.http_headers import Headers
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

from pollenstile.ops.body import BytesProducer

BODY_LIMIT = 4_000_000
_IDLE_SECONDS = 15.0
# Seconds without a byte after which an answer that has begun is given up, and
# seconds for one in all. On a link that is full, a large answer takes seconds
# and does come; given up by its whole time, it was asked for again, and the
# link never emptied.
_PART_SECONDS = 1.0
_MOST_SECONDS = 10.0


@dataclass(slots=True, frozen=True)
class Reply:
    """A whole answer.

    Parameters
    ==========

    status : int
        Of HTTP.
    body : bytes
        All of it.
    retry_after : float or None
        Seconds, from the header.
    """

    status: int
    body: bytes
    retry_after: float | None = None


@dataclass(slots=True, frozen=True)
class FailedCall:
    """There was no whole answer.

    Parameters
    ==========

    connected : bool
        Whether a byte of the call may have been sent.
    reason : str
        Why, in short.
    """

    connected: bool
    reason: str


class ServerClient:
    """Calls one server.

    Parameters
    ==========

    reactor : twisted.internet.interfaces.IReactorTCP
        Opens the connections.
    clock : twisted.internet.interfaces.IReactorTime
        Measures the timeouts.
    host : str
        IP number of the server.
    port : int
        Its port.
    timeout : float
        Seconds until an answer begins, the connection included.

    Attributes
    ==========

    arriving : int
        Calls whose answer has begun and has not ended.
    """

    __slots__ = (
        'arriving',
        'clock',
        'host',
        'pool',
        'port',
        'reactor',
        'timeout',
    )

    def __init__(self, reactor, clock, host, port, timeout=2.0):
        self.reactor = reactor
        self.clock = clock
        self.host = host
        self.port = port
        self.timeout = timeout
        self.arriving = 0
        self.pool = HTTPConnectionPool(reactor, persistent=True)
        self.pool.retryAutomatically = False
        self.pool.cachedConnectionTimeout = _IDLE_SECONDS

    @property
    def peer(self):
        """The server's address, for logs and errors."""
        if ':' in self.host:
            return f'[{self.host}]:{self.port}'
        return f'{self.host}:{self.port}'

    async def call(self, method, path, body=None, timeout=None, fresh=False):
        """Send a call once.

        Parameters
        ==========

        method, path : str
            Path with its query, escaped.
        body : bytes or None
            JSON.
        timeout : float or None
            Seconds until the answer begins, the caller's when ``None``.
        fresh : bool
            Whether to open a connection for this call alone.

        Returns
        =======

        Reply or Broken
        """
        endpoints = _Endpoints(self)
        limit = _TimeLimit(self.clock)
        call = Deferred.fromCoroutine(
            self._exchange(endpoints, method, path, body, fresh, limit),
        )
        limit.begin(call, self.timeout if timeout is None else timeout)
        try:
            return await call
        except CancelledError:
            if not limit.expired:
                raise
            return self._broken(TimeoutError, endpoints.connected or not fresh)
        except Exception as error:
            kind = TimeoutError if limit.expired else type(error)
            return self._broken(kind, endpoints.connected or not fresh)
        finally:
            limit.end()

    def close(self):
        """Close the idle connections; return a Deferred."""
        return self.pool.closeCachedConnections()

    async def _exchange(self, endpoints, method, path, body, fresh, limit):
        pool = self.pool
        if fresh:
            pool = HTTPConnectionPool(self.reactor, persistent=False)
            pool.retryAutomatically = False
        agent = Agent.usingEndpointFactory(self.reactor, endpoints, pool)
        response = await agent.request(
            method.encode(),
            f'http://{self.peer}{path}'.encode(),
            Headers({'content-type': ['application/json']}),
            None if body is None else BytesProducer(body),
        )
        self.arriving += 1
        try:
            whole = await _whole_body(response, limit)
        finally:
            self.arriving -= 1
        return Reply(response.code, whole, _retry_after(response))

    def _broken(self, kind, connected):
        # Something between the two ends can lose track of the idle
        # connections while new ones work. Each would cost a further timeout,
        # so none is kept after a failure.
        self.close()
        return FailedCall(connected, kind.__name__)


class _TimeLimit:
    """Ends a call whose answer does not begin, or does not go on."""

    __slots__ = ('call', 'clock', 'ends', 'expired', 'timer')

    def __init__(self, clock):
        self.clock = clock
        self.expired = False
        self.timer = None

    def begin(self, call, seconds):
        """Give the answer some seconds to begin."""
        self.call = call
        self.ends = self.clock.seconds() + seconds + _MOST_SECONDS
        self.timer = self.clock.callLater(seconds, self._expire)

    def heard(self):
        """Give the answer's next part its time."""
        left = self.ends - self.clock.seconds()
        if self.timer.active():
            self.timer.reset(max(0, min(_PART_SECONDS, left)))

    def end(self):
        """Stop: the answer is whole, or given up."""
        if self.timer.active():
            self.timer.cancel()

    def _expire(self):
        self.expired = True
        self.call.cancel()


@implementer(IAgentEndpointFactory)
class _Endpoints:
    __slots__ = ('caller', 'connected')

    def __init__(self, caller):
        self.caller = caller
        self.connected = False

    def endpointForURI(self, uri):
        return self

    def connect(self, factory):
        caller = self.caller
        kind = TCP6ClientEndpoint if ':' in caller.host else TCP4ClientEndpoint
        endpoint = kind(caller.reactor, caller.host, caller.port)
        return endpoint.connect(factory).addCallback(self._opened)

    def _opened(self, protocol):
        self.connected = True
        return protocol


class _Body(Protocol):
    def __init__(self, done, limit):
        self.done = done
        self.limit = limit
        self.parts = []
        self.size = 0

    def dataReceived(self, data):
        self.limit.heard()
        self.size += len(data)
        self.parts.append(data)
        if self.size > BODY_LIMIT:
            self.abort()

    def connectionLost(self, reason):
        if self.done.called:
            return
        if reason.check(ResponseDone):
            self.done.callback(b''.join(self.parts))
        else:
            self.done.errback(reason)

    def abort(self):
        self.transport.abortConnection()


def _whole_body(response, limit):
    done = Deferred(lambda _: body.abort())
    body = _Body(done, limit)
    limit.heard()
    response.deliverBody(body)
    return done


def _retry_after(response):
    text = response.headers.getRawHeaders('retry-after', [''])[0]
    try:
        return float(text)
    except ValueError:
        return None
