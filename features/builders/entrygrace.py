"""Builders of a whole entry host, its callers and upstreams in virtual time."""

import math

from twisted.internet.address import IPv4Address
from twisted.internet.defer import succeed
from twisted.internet.error import ConnectionDone
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from features.builders.entrynode import (
    BOOK_STAGE,
    CHAT_STAGE,
    TEAM,
    EntryHost,
    caller_request,
    entry_manifest,
    key_headers,
    one_upstream_pool,
    started_daemon,
    virtual_upstreams,
)
from features.builders.loop import collect_result
from pollenstile.manifest import Pipeline, Stage
from pollenstile.standin.objectapi import MemoryStore

KEY = b'grace-key'
_STEP_SECONDS = 0.01
_KINDS = {'e1': 'engine', 'r1': 'service', 'b1': 'service'}


def _pipeline(*stages, idempotent=True):
    return Pipeline(60000, [TEAM], list(stages), idempotent=idempotent)


def _manifest():
    rank = Stage('rank', 'ranking')
    long = Stage('rank', 'ranking', expect_ms=6000)
    pools = {
        'engines': one_upstream_pool('engine', 'e1', 1, models=['demo']),
        'ranking': one_upstream_pool('service', 'r1', 2),
        'booking': one_upstream_pool('service', 'b1', 3),
    }
    pipelines = {
        'chat': _pipeline(CHAT_STAGE),
        'rank': _pipeline(rank),
        'book': _pipeline(BOOK_STAGE, idempotent=False),
        'once-chat': _pipeline(CHAT_STAGE, idempotent=False),
        'long-book': _pipeline(long, BOOK_STAGE, idempotent=False),
        'long': _pipeline(long),
        'rank-book': _pipeline(rank, BOOK_STAGE, idempotent=False),
    }
    return entry_manifest('grace', KEY, pools, pipelines)


class ListeningPort:
    """A port of a virtual clock, at which callers are connected by hand."""

    def __init__(self, number, factory):
        self.number = number
        self.factory = factory
        self.is_open = True

    def getHost(self):
        """Return the address; called by the daemon."""
        return IPv4Address('TCP', '127.0.0.1', self.number)

    def stopListening(self):
        """Take no further connections; called by the daemon."""
        self.is_open = False
        return succeed(None)


class PortClock(Clock):
    """A virtual clock that listens without sockets."""

    def listenTCP(self, number, factory, interface=''):
        """Return a port."""
        return ListeningPort(number, factory)


class CallerTransport(StringTransport):
    """A caller's connection, which ends once all that was written is read.

    Attributes
    ==========

    closed_at : float or None
        Time at which it ended, on the clock.
    was_reset : bool
        Whether the host has ended it without sending what was written.
    """

    def __init__(self, clock, *, reads):
        super().__init__()
        self.clock = clock
        self.reads = reads
        self.closed_at = None
        self.was_reset = False
        self.protocol = None

    def setTcpNoDelay(self, enabled):
        """Do nothing; called by the channel."""

    def unregisterProducer(self):
        """Forget the producer, if there is one, as real transports do."""
        self.producer = None

    def loseConnection(self):
        """End it after the last byte; called by the host."""
        super().loseConnection()
        if self.reads:
            self.clock.callLater(0, self.end)

    def abortConnection(self):
        """End it at once; called by the host."""
        self.was_reset = True
        self.clock.callLater(0, self.end)

    def end(self):
        """Tell the host that the connection has ended."""
        if self.closed_at is None:
            self.closed_at = self.clock.seconds()
            self.protocol.connectionLost(Failure(ConnectionDone()))


class GraceCaller:
    """A caller with one connection."""

    def __init__(self, clock, factory, *, reads=True):
        self.clock = clock
        self.transport = CallerTransport(clock, reads=reads)
        self.channel = factory.buildProtocol(None)
        self.transport.protocol = self.channel
        self.channel.makeConnection(self.transport)

    def send(self, content):
        """Send bytes to the host."""
        if self.transport.closed_at is None:
            self.channel.dataReceived(content)

    def leave(self):
        """Close the connection."""
        self.transport.end()

    def received(self):
        """Return all received bytes."""
        return self.transport.value()

    def statuses(self):
        """Return the statuses of all answers that have begun."""
        lines = self.received().split(b'HTTP/1.1 ')[1:]
        return [int(line[:3]) for line in lines]

    def outcome(self):
        """Return how its last request has ended, in a word or two."""
        received = self.received()
        if not received:
            return 'nothing' if self.transport.closed_at else 'open'
        if b'x-outcome: ' in received.lower():
            tail = received.lower().rpartition(b'x-outcome: ')[2]
            return f'{self.statuses()[-1]} {tail.split()[0].decode()}'
        is_whole = b'event: done' in received or b'"output"' in received
        if is_whole:
            return 'answered'
        return 'reset' if self.transport.was_reset else 'begun'


def request_bytes(pipeline, key='', *, stream=False, path=''):
    """Return the bytes of a caller's HTTP request."""
    accept = (b'Accept: text/event-stream',) if stream else ()
    return caller_request(
        path or f'/v1/pipelines/{pipeline}',
        KEY,
        b'{"input": "hi"}',
        *accept,
        *key_headers(key),
    )


def _started_clock():
    clock = PortClock()
    clock.advance(1000.0)
    return clock


class GraceHost:
    """One entry host with virtual callers, store and upstreams.

    Parameters
    ==========

    grace : float
        Seconds from the stop signal until the host is killed.
    work : float
        Seconds that each upstream works on a call.
    seed : int
        Seed of the host's random numbers.
    most : int
        Requests that run at once.
    before : GraceHost or None
        Another host with the same store.

    Attributes
    ==========

    lines : list of tuple
        Name and fields of each log line.
    stopped_at : float or None
        Time at which the host had stopped.
    killed_at : float or None
        Time at which its grace ends.
    """

    def __init__(self, grace=8, work=0.05, seed=1, most=100, before=None):
        self.grace = grace
        self.clock = before.clock if before else _started_clock()
        self.store = before.store if before else MemoryStore(self.clock)
        self.store.latency = 0.005
        self.lines = []
        self.callers = []
        self.stopping = []
        self.stopped_at = None
        self.killed_at = None
        self.upstreams = virtual_upstreams(self.clock, _KINDS, work)
        host = EntryHost(
            'h2' if before else 'h1',
            _manifest(),
            self.upstreams,
            {
                'POLLENSTILE_GRACE_SECONDS': str(grace),
                'POLLENSTILE_MAX_RUNNING': str(most),
            },
            seed,
        )
        self.daemon = started_daemon(self.clock, host, self.store, self._log)
        self.node = self.daemon.node

    def connect(self, *, reads=True):
        """Return a caller with an open connection."""
        factory = self.daemon.caller_port.factory
        caller = GraceCaller(self.clock, factory, reads=reads)
        self.callers.append(caller)
        return caller

    def call(self, pipeline, key='', *, reads=True, stream=False):
        """Return a caller that has sent a whole request."""
        caller = self.connect(reads=reads)
        caller.send(request_bytes(pipeline, key, stream=stream))
        return caller

    def stop(self):
        """Give the stop signal."""
        self.killed_at = self.clock.seconds() + self.grace
        self.stopping = collect_result(self.daemon.stop())

    def hold(self, name, seconds=math.inf):
        """Let an upstream stand still for some seconds, or for good."""
        self.upstreams[name].timers.pause(seconds)

    def advance(self, seconds, step=_STEP_SECONDS):
        """Advance the virtual clock in small steps."""
        for _ in range(round(seconds / step)):
            self.clock.advance(step)
            if self.stopping and self.stopped_at is None:
                self.stopped_at = self.clock.seconds()

    def key_records(self):
        """Return the steps of all records of keys in the store, in order."""
        objects = self.store.objects
        steps = []
        for name in sorted(objects.names.get('claims', ())):
            segment = objects.found('claims', name).value
            steps.extend(record[0] for record in segment[2])
        return steps

    def logged(self, name):
        """Return the fields of all lines of an event."""
        return [fields for event, fields in self.lines if event == name]

    def _log(self, event, level='info', **fields):
        self.lines.append((event.name, fields))
