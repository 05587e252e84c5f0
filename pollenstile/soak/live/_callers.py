"""Callers of a live run, which use persistent connections."""

from random import Random
from zlib import crc32

from twisted.internet.defer import CancelledError, Deferred, TimeoutError
from twisted.internet.protocol import ClientFactory, Protocol
from twisted.internet.task import deferLater
from twisted.python.failure import Failure
from twisted.web._newclient import Request, ResponseDone  # noqa: WPS436
from twisted.web.client import RequestNotSent, ResponseFailed
from twisted.web.http_headers import Headers

from pollenstile.ops.answers import AnswerConnection, reading_error
from pollenstile.ops.body import BytesProducer
from pollenstile.soak.live._records import RequestRecord
from pollenstile.soak.live._servers import (
    CRASHING_PREFIX,
    DEADLY_PART,
    NAMES,
    events_in,
)

# Names of the routes.
_KINDS = ('find', 'book', 'draft', 'digest')
# Seconds beyond the deadline after which a caller closes its connection.
_GIVE_UP_MARGIN_SECONDS = 4.0
# Routes for which requests that crash their upstream are sent, and seconds
# between their repeats.
CRASHING_KINDS = ('find', 'draft')
_CRASHING_PAUSE_SECONDS = 0.25
# The route whose broken streams are taken up again, seconds before each try,
# for hosts that have ended to be back, and statuses after which to try again.
RESUMABLE_KIND = 'draft'
_TAKE_UP_SECONDS = (0.15, 0.15, 0.3, 0.6, 1.0, 1.0, 1.0, 1.0)
_TAKE_UP_STATUSES = frozenset((502, 503, 504))
# Mean seconds between a caller's requests.
_MEAN_PAUSE_SECONDS = 0.06
# Share of the requests whose key is chosen from all keys, including revoked
# ones.
_OLD_KEY_SHARE = 0.2
_MS_PER_SECOND = 1000
# Sizes of uploads; the content of the request decides which.
_BODY_BYTES = (3000, 3000, 3000, 20_000, 20_000, 200_000)
# Bytes of an answer that are kept; no answer of an upstream is as long.
_MAX_KEPT_BYTES = 200_000
# Errors of a request whose connection ended without an answer.
_CONNECTION_ERRORS = (
    TimeoutError,
    CancelledError,
    ResponseFailed,
    RequestNotSent,
)


class _ConnectionFactory(ClientFactory):
    noisy = False

    def __init__(self):
        self.done = Deferred()

    def buildProtocol(self, address):
        """Return the connection; called by twisted."""
        return PersistentConnection(self.done)

    def clientConnectionFailed(self, connector, reason):
        """Report that the connection was refused; called by twisted."""
        if not self.done.called:
            self.done.callback(None)


class PersistentConnection(AnswerConnection):
    """A connection that is reused for consecutive requests."""

    def __init__(self, done):
        super().__init__()
        self.done = done
        self.is_lost = False

    def connectionMade(self):
        """Report the open connection; called by twisted."""
        super().connectionMade()
        if not self.done.called:
            self.done.callback(self)

    def connectionLost(self, reason):
        """Mark the connection as lost; called by twisted."""
        self.is_lost = True
        super().connectionLost(reason)

    def is_closing(self):
        """Return whether it is lost, or closes after an answer that says so."""
        return self.is_lost or self.transport.disconnecting


class _BodyCollector(Protocol):
    def __init__(self, record):
        self.record = record
        self.ended = Deferred()

    def dataReceived(self, data):
        """Append received bytes; called by twisted."""
        record = self.record
        record.received_bytes += len(data)
        record.body += data[: max(0, _MAX_KEPT_BYTES - len(record.body))]

    def connectionLost(self, reason):
        """Record whether the body is complete; called by twisted."""
        self.record.complete = reason.check(ResponseDone) is not None
        if not self.ended.called:
            self.ended.callback(None)


class Caller:
    """Sends consecutive requests, to the same host while it is connected.

    Parameters
    ==========

    world : World
        Reactor, hosts, random generator and records of the run.
    number : int
        Number of the caller; part of its random seed and request identifiers.
    """

    def __init__(self, world, number):
        self.world = world
        self.number = number
        # Separate from the generator of the faults, so that a seed always
        # gives the same faults.
        self.rng = Random(f'{world.seed}/{number}')
        self.connection = None
        self.port = 0
        self.host = None

    async def run(self):
        """Send requests until the run ends."""
        world = self.world
        count = 0
        while world.is_sending:
            pause = self.rng.expovariate(1 / _MEAN_PAUSE_SECONDS)
            await deferLater(world.reactor, pause)
            count += 1
            ident = f'c{self.number}-{count}'
            kind = self.rng.choice(_KINDS)
            record = await self._send(ident, kind, ident, self._key())
            if record is not None and kind == RESUMABLE_KIND:
                await self._take_up(record)
        if self.connection is not None:
            self.connection.transport.abortConnection()

    async def repeat_crashing(self, kind, seconds):
        """Repeat a request that crashes its upstream, at random hosts."""
        await self._send_crashing(
            kind, seconds, lambda _: f'{CRASHING_PREFIX}-{kind}'
        )

    async def send_deadly_part(self, kind, seconds):
        """Send different requests with a part that crashes their upstream."""
        await self._send_crashing(
            kind, seconds, lambda number: f'{DEADLY_PART}{number}'
        )

    async def _send_crashing(self, kind, seconds, content_of):
        world = self.world
        end = world.reactor.seconds() + seconds
        while world.reactor.seconds() < end:
            await deferLater(world.reactor, _CRASHING_PAUSE_SECONDS)
            self.number += 1
            content = content_of(self.number)
            ident = f'{content}-{self.number}'
            await self._send(ident, kind, content, world.keys[0])
            if self.connection is not None:
                self.connection.transport.abortConnection()
            self.connection = None

    async def _take_up(self, first):
        """Take a broken stream up again, at a host drawn at random."""
        last = first
        for number, pause in enumerate(_TAKE_UP_SECONDS):
            received = events_in(last.body)
            after = received[-1][0] if received else last.after
            is_refused = last.status in _TAKE_UP_STATUSES
            if not after or (last.complete and not is_refused):
                return
            if self.connection is not None:
                self.connection.transport.abortConnection()
                self.connection = None
            await deferLater(self.world.reactor, pause)
            ident = f'{first.ident}-{number}'
            sent = await self._send(
                ident, first.kind, ident, first.key, first, after
            )
            last = sent or last

    async def _send(self, ident, kind, content, key, resumes=None, after=0):
        """Send a request; return its record, or None without a connection."""
        world = self.world
        is_first = self.connection is None or self.connection.is_closing()
        if is_first:
            await self._connect()
        if self.connection is None:
            return None
        now = world.reactor.seconds()
        record = RequestRecord(
            ident,
            kind,
            self.host.name,
            key,
            now,
            world.lengths.deadline,
            content,
            resumes,
            after,
        )
        record.is_first = is_first
        world.records.requests.append(record)
        await self._await_answer(record)
        record.is_unread = self.port in self.host.callers.refused
        record.ended_at = world.reactor.seconds()
        return record

    def _key(self):
        """Return a random key; a share of them may be revoked."""
        keys = self.world.keys
        if self.rng.random() < _OLD_KEY_SHARE:
            keys = self.world.all_keys
        return self.rng.choice(keys)

    async def _connect(self):
        world = self.world
        self.host = self.rng.choice(world.accepting_hosts())
        connecting = _ConnectionFactory()
        world.reactor.connectTCP(
            *self.host.callers.address, connecting, timeout=1
        )
        self.connection = await connecting.done
        if self.connection is not None:
            self.port = self.connection.transport.getHost().port

    async def _await_answer(self, record):
        connection = self.connection
        work = Deferred.fromCoroutine(self._exchange(connection, record))
        work.addTimeout(
            record.deadline + _GIVE_UP_MARGIN_SECONDS, self.world.reactor
        )
        try:
            await work
        except _CONNECTION_ERRORS as error:
            self._check_reading(record, error)
            record.gave_up = isinstance(error, TimeoutError)
            connection.transport.abortConnection()
            self.connection = None

    def _check_reading(self, record, error):
        """Note an answer of a host that can't be read as a violation."""
        unread = reading_error(Failure(error))
        if unread is not None:
            self.world.records.broken.append(
                f'{unread}: answer to {record.ident} of {record.host}'
            )

    async def _exchange(self, connection, record):
        response = await connection.request(_request(record))
        record.status = response.code
        body = _BodyCollector(record)
        response.deliverBody(body)
        await body.ended


def _prompt(record):
    """Return a prompt of two shared parts and one of its own."""
    is_deadly = record.content.startswith(DEADLY_PART)
    second = DEADLY_PART if is_deadly else 'sound-part'
    return f'head:100,{second}:50,own-{record.ident}:50'


def _request(record):
    headers = Headers()
    headers.addRawHeader(b'host', b'shop')
    headers.addRawHeader(NAMES.attempt, record.ident.encode())
    deadline = b'%d' % (record.deadline * _MS_PER_SECOND)
    headers.addRawHeader(NAMES.deadline, deadline)
    headers.addRawHeader(b'authorization', f'Bearer {record.key}'.encode())
    if record.kind in {'draft', 'digest'}:
        headers.addRawHeader(NAMES.counts, b'2,3')
        headers.addRawHeader(NAMES.stage_key, record.ident.encode())
        headers.addRawHeader(NAMES.prompt, _prompt(record).encode())
    if record.resumes is not None:
        headers.addRawHeader(NAMES.resumes, record.resumes.ident.encode())
        headers.addRawHeader(NAMES.last_event, b'%d' % record.after)
    size = _BODY_BYTES[crc32(record.content.encode()) % len(_BODY_BYTES)]
    body = BytesProducer(b'x' * size)
    target = f'/{record.kind}/of/{record.content}?q'.encode()
    return Request(b'POST', target, headers, body, persistent=True)
