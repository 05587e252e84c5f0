"""Builders of a stopping host in virtual time, its upstreams and callers."""

from dataclasses import replace

from twisted.internet.error import ConnectionAborted, ConnectionDone
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from features.builders.forward import (
    NAMES,
    ScriptedCall,
    ScriptedStages,
    route,
)
from pollenstile.bench._domainworld import DomainWorld
from pollenstile.ops._losses import LossCollector, losses_document
from pollenstile.routes import StageStep, Target

GRACES = (1.0, 2.0, 4.0, 8.0, 20.0)
KINDS = ('idempotent', 'once', 'stream', 'resumable')
_TIMEOUT_SECONDS = 60.0
_ADDRESSES = ('10.0.0.1:1', '10.0.0.2:1')
_LEARN_SECONDS = 0.5
_STEP = 0.01


class CallerTransport(StringTransport):
    """A caller's connection, which may hold bytes that are not read yet.

    Attributes
    ==========

    channel : CallerChannel
        The host's end.
    end : str
        ``'closed'`` or ``'reset'``; empty while the connection is open.
    reads : bool
        Whether the caller reads; else written bytes stay in the buffer.
    told_at, ended_at : float
        Times on the clock of the first byte and of the end; 0 before them.
    """

    def __init__(self, channel, clock):
        super().__init__()
        self.channel = channel
        self.clock = clock
        self.told_at = 0.0
        self.ended_at = 0.0
        self.reads = True
        self.end = ''
        channel.makeConnection(self)

    def write(self, data):
        """Write bytes to the caller."""
        super().write(data)
        self.told_at = self.told_at or self.clock.seconds()

    def unregisterProducer(self):
        """Forget the producer; as with TCP, there may be none."""
        self.producer = None

    def loseConnection(self):
        """Close the connection once all bytes are read."""
        self.disconnecting = True
        if self.reads:
            self.close()

    def abortConnection(self):
        """Reset the connection; bytes that are not read are lost."""
        self.disconnecting = True
        self._end('reset', ConnectionAborted())

    def read_on(self):
        """Read what was written, and go on reading."""
        self.reads = True
        if self.disconnecting:
            self.close()

    def close(self):
        """Close the connection as its host's process or its caller does."""
        self._end('closed', ConnectionDone())

    def _end(self, end, reason):
        if not self.end:
            self.end = end
            self.ended_at = self.clock.seconds()
            self.channel.connectionLost(Failure(reason))


class Caller:
    """One caller with one request on its connection.

    Attributes
    ==========

    ident : str
        Identifier of the request.
    transport : CallerTransport
        Its connection.
    """

    def __init__(self, ident, transport):
        self.ident = ident
        self.transport = transport

    def received(self):
        """Return the bytes that the host has written."""
        return self.transport.value()

    def status(self):
        """Return the status of the answer; 0 without one."""
        words = self.received().split(b' ', 2)
        return int(words[1]) if len(words) > 1 else 0

    def body(self):
        """Return the text of the answer without its head."""
        return self.received().partition(b'\r\n\r\n')[2].decode()


class LeavingHost:
    """A whole host in virtual time, over upstreams that the test scripts.

    Attributes
    ==========

    stages : ScriptedStages
        The stage work of its requests.
    calls : list of ScriptedCall
        The sends to its upstreams.
    stopped : list
        Has an element once the host has stopped.
    """

    def __init__(self, kind, grace=8.0, *, staged=False, attempts=2):
        steps = (StageStep('encode'),) if staged else ()
        self.kind = kind
        self.route = replace(
            route(kind, attempts, _TIMEOUT_SECONDS, steps),
            targets=(Target('s'),),
        )
        self.world = DomainWorld(
            1,
            has_upstream=False,
            by_host={'host': (self.route,)},
            grace_seconds=grace,
        )
        self.daemon = self.world.hosts['h0'].daemon
        self.core = self.daemon.parts.core
        self.stages = ScriptedStages()
        self.core.stages = self.stages
        self.core.client = self
        self.calls = []
        self.stopped = []
        self.signalled_at = 0.0
        for number, address in enumerate(_ADDRESSES):
            self.world.store.write_at_once(
                'upstreams', f'i{number}', {'address': address, 'domain': 'd'}
            )
        self.advance(_LEARN_SECONDS)

    def now(self):
        """Return the time on the virtual clock."""
        return self.world.clock.seconds()

    def advance(self, seconds):
        """Advance the virtual clock."""
        self.world.advance(seconds)

    def advance_until(self, seconds, is_over):
        """Advance to some seconds after the signal, or until all is over."""
        while self.now() - self.signalled_at < seconds and not is_over():
            self.world.clock.advance(_STEP)

    def send(self, address, method, target, headers, body):
        """Stand in for the client: record a send."""
        call = ScriptedCall(address, headers)
        self.calls.append(call)
        return call

    def call_of(self, caller):
        """Return the last send of a caller's request."""
        ident = caller.ident.encode()
        return [call for call in self.calls if _attempt_of(call) == ident][-1]

    def open(self, *, reads=True):
        """Return a new connection of a caller."""
        channel = self.daemon.factory.buildProtocol(None)
        transport = CallerTransport(channel, self.world.clock)
        transport.reads = reads
        return transport

    def ask(self, ident, version=b'1.1', *, reads=True):
        """Let a caller send a request; return the caller."""
        caller = Caller(ident, self.open(reads=reads))
        caller.transport.channel.dataReceived(
            self.request(ident, version, b'body')
        )
        return caller

    def request(self, ident, version, body):
        """Return the bytes of a request."""
        pieces = b''
        if self.route.steps:
            pieces = b'X-Pieces: 2\r\nX-Piece-Key: key\r\n'
        return (
            b'POST /a/x HTTP/%s\r\nHost: host\r\nX-Attempt: %s\r\n%s'
            b'Content-Length: 4\r\n\r\n%s'
            % (version, ident.encode(), pieces, body)
        )

    def play_end(self):
        """Send SIGTERM, and kill the process at the end of its grace."""
        self.stop()
        grace = self.daemon.settings.grace_seconds
        self.advance_until(grace, lambda: self.stopped)
        self.exit()

    def after_signal(self, moment):
        """Return the seconds from the signal to a time on the clock."""
        return moment - self.signalled_at

    def stop(self):
        """Send SIGTERM."""
        self.signalled_at = self.now()
        self.daemon.stop().addCallback(self.stopped.append)

    def exit(self):
        """End the process, which closes all of its connections."""
        for channel in list(self.daemon.factory.channels):
            channel.transport.close()

    def lines(self, event, ident=''):
        """Return the fields of an event's log lines, of one request."""
        return [
            fields
            for _, _, name, fields in self.world.logged
            if name == event and ident in {'', fields.get('request')}
        ]

    def causes(self):
        """Return the number of ended requests by cause."""
        collector = LossCollector()
        for _, _, name, fields in self.world.logged:
            collector.add_line({'event': name, **fields})
        routes = losses_document(collector.losses())['routes']
        return routes[0]['causes'] if routes else {}


def _attempt_of(call):
    """Return the identifier of the request that a call is a send of."""
    headers = {name.lower(): content for name, content in call.headers.items()}
    return headers[NAMES.attempt]
