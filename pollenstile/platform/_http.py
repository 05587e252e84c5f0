"""HTTP client that reports whether a failed call may have been sent.

Explanation
===========

The library's automatic retry is disabled, so each call is sent at most once.
Each call uses a new connection. Its handshake shows that the network path
works, and if the handshake fails, no byte of the call was sent. Answers don't
name their calls, so a late second answer on a kept connection would pass for
the answer to the next call.
"""

from dataclasses import dataclass

from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint, TCP6ClientEndpoint
from twisted.python.failure import Failure
from twisted.web.client import Agent
from twisted.web.http_headers import Headers
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

from pollenstile.ops.agents import connection_pool
from pollenstile.ops.answers import MalformedAnswerError, reading_error
from pollenstile.ops.body import BytesProducer
from pollenstile.ops.documents import read_document
from pollenstile.ops.timers import cancel_timer
from pollenstile.platform._eras import parse_era

# Bytes of the largest body: a page of a list has about a megabyte, and an
# object of the largest value some more.
BODY_LIMIT = 4_000_000
# Header of the object API with the number of its returns from older copies.
ERA_HEADER = 'object-api-era'
# Limits of a response whose headers have arrived: the time without a byte, and
# the time in all. A large response takes seconds on a saturated link. With a
# limit on its total time alone, clients cancelled it and requested it again,
# and the link stayed saturated.
_PART_TIMEOUT_SECONDS = 1.0
_BODY_TIMEOUT_SECONDS = 10.0
# Reason of a call that took too long.
_TIMED_OUT = TimeoutError.__name__


@dataclass(slots=True, frozen=True)
class Reply:
    """A complete response.

    Parameters
    ==========

    status : int
        HTTP status code.
    body : bytes
        Complete body.
    retry_after : float or None
        Seconds from the ``Retry-After`` header.
    era : int or None
        Era of the server's state, from the client's ``era_header``.
    """

    status: int
    body: bytes
    retry_after: float | None = None
    era: int | None = None


@dataclass(slots=True, frozen=True)
class FailedCall:
    """A call without a complete response.

    Parameters
    ==========

    connected : bool
        Whether a byte of the call may have been sent.
    reason : str
        Type name of the error, or the malformed part of the answer.
    """

    connected: bool
    reason: str


class ServerClient:
    """HTTP client of one server.

    Parameters
    ==========

    reactor : twisted.internet.interfaces.IReactorTCP
        Opens the connections.
    clock : twisted.internet.interfaces.IReactorTime
        Clock of the timeouts.
    host : str
        IP address of the server.
    port : int
        Port of the server.
    timeout : float
        Seconds until the response headers arrive, connecting included.
    era_header : str
        Header in which the server states the era of its state.

    Attributes
    ==========

    bodies_in_progress : int
        Number of responses whose body is being received.
    """

    __slots__ = (
        'bodies_in_progress',
        'clock',
        'era_header',
        'host',
        'port',
        'reactor',
        'timeout',
    )

    def __init__(
        self, reactor, clock, host, port, timeout=2.0, era_header=ERA_HEADER
    ):
        self.reactor = reactor
        self.clock = clock
        self.host = host
        self.port = port
        self.timeout = timeout
        self.era_header = era_header
        self.bodies_in_progress = 0

    @property
    def peer(self):
        """Address of the server, for log lines and errors."""
        if ':' in self.host:
            return f'[{self.host}]:{self.port}'
        return f'{self.host}:{self.port}'

    async def call(self, method, path, body=None, timeout=None):
        """Send a call, without retries.

        Parameters
        ==========

        method, path : str
            HTTP method, and the escaped path with its query.
        body : bytes or None
            JSON document.
        timeout : float or None
            Seconds until the response headers arrive; the client's default
            when ``None``.

        Returns
        =======

        Reply or Broken
        """
        endpoints = _Endpoints(self)
        limit = _TimeLimit(self.clock)
        call = Deferred.fromCoroutine(
            self._exchange(endpoints, method, path, body, limit),
        )
        limit.start(call, self.timeout if timeout is None else timeout)
        try:
            return await call
        except CancelledError:
            if not limit.expired:
                raise
            return FailedCall(endpoints.connected, _TIMED_OUT)
        except Exception as error:
            reason = _reason_of(error, is_late=limit.expired)
            return FailedCall(endpoints.connected, reason)
        finally:
            limit.stop()

    async def _exchange(self, endpoints, method, path, body, limit):
        pool = connection_pool(self.reactor, persistent=False)
        agent = Agent.usingEndpointFactory(self.reactor, endpoints, pool)
        response = await agent.request(
            method.encode(),
            f'http://{self.peer}{path}'.encode(),
            Headers({'content-type': ['application/json']}),
            None if body is None else BytesProducer(body),
        )
        self.bodies_in_progress += 1
        try:
            limit.extend()
            body_bytes = await read_document(
                response, BODY_LIMIT, limit.extend, needs_framing=True
            )
        finally:
            self.bodies_in_progress -= 1
        era = parse_era(_header(response, self.era_header))
        return Reply(response.code, body_bytes, _retry_after(response), era)


class _TimeLimit:
    """Cancels a call whose response does not start or stops arriving."""

    __slots__ = ('call', 'clock', 'deadline', 'expired', 'timer')

    def __init__(self, clock):
        self.clock = clock
        self.expired = False
        self.timer = None

    def start(self, call, seconds):
        """Limit the time until the response headers arrive."""
        self.call = call
        self.deadline = self.clock.seconds() + seconds + _BODY_TIMEOUT_SECONDS
        self.timer = self.clock.callLater(seconds, self._expire)

    def extend(self):
        """Extend the limit after a received part, up to the deadline."""
        remaining = self.deadline - self.clock.seconds()
        if self.timer.active():
            self.timer.reset(max(0, min(_PART_TIMEOUT_SECONDS, remaining)))

    def stop(self):
        """Cancel the timer after the end of the call."""
        cancel_timer(self.timer)

    def _expire(self):
        self.expired = True
        self.call.cancel()


@implementer(IAgentEndpointFactory)
class _Endpoints:
    __slots__ = ('client', 'connected')

    def __init__(self, client):
        self.client = client
        self.connected = False

    def endpointForURI(self, uri):
        return self

    def connect(self, factory):
        client = self.client
        kind = TCP6ClientEndpoint if ':' in client.host else TCP4ClientEndpoint
        endpoint = kind(client.reactor, client.host, client.port)
        return endpoint.connect(factory).addCallback(self._opened)

    def _opened(self, protocol):
        self.connected = True
        return protocol


def _reason_of(error, *, is_late):
    """Return why a call has failed."""
    if is_late:
        return _TIMED_OUT
    unread = reading_error(Failure(error)) or error
    if isinstance(unread, MalformedAnswerError):
        return str(unread)
    return type(unread).__name__


def _header(response, name):
    return response.headers.getRawHeaders(name, [''])[0]


def _retry_after(response):
    try:
        return float(_header(response, 'retry-after'))
    except ValueError:
        return None
