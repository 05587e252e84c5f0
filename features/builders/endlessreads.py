"""Builders of servers whose answers have no end, and of what reads them."""

from collections import Counter

from twisted.internet.interfaces import IPullProducer
from twisted.internet.protocol import Protocol
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.web.resource import Resource
from zope.interface import implementer

from features.builders.loop import collect_result, run_reactor_until
from features.builders.requests_http import LOOPBACK, serving
from features.builders.stagework import CALL, PIECE, group
from pollenstile.ops.http import site_for
from pollenstile.stagework import CallLost, GroupDone, Result
from pollenstile.upstream import Chunk

# Bytes after which a server that is still read stops, so that a reader without
# a bound fails the scenario soon. Buffers of the sockets hold a part of them.
ENOUGH_BYTES = 48_000_000
_PART_BYTES = 65536
# Steps of a run in virtual time, and how many of them between two groups.
_TICK_SECONDS = 0.01
_TICKS_PER_GROUP = 25
# Steps in which an upstream repeats a token, and how often it does.
_REPEAT_SECONDS = 0.05
_REPEATS = 100
_OK = b'HTTP/1.1 200 OK\r\n'
_PLAIN = b'%sContent-Type: application/json\r\n\r\n' % _OK
_FAILED = b'HTTP/1.1 500 Internal Server Error\r\n\r\n'


def _filled(piece):
    return piece * (_PART_BYTES // len(piece))


# What a server sends first, and then again and again, by the name of the form.
FORMS = {
    'a body': (_PLAIN, _filled(b' ')),
    'a body of a failure': (_FAILED, _filled(b' ')),
    'header lines': (
        _OK,
        _filled(b'X-Fill: %s\r\n' % bytes(90).hex().encode()),
    ),
    'interim heads': (b'', _filled(b'HTTP/1.1 100 Continue\r\n\r\n')),
    'comments': (_PLAIN, _filled(b': fill\n\n')),
    'events of nobody': (
        _PLAIN,
        _filled(b'data: {"id":"r1/encode/1","choices":[],"offset":0}\n\n'),
    ),
    'repeated tokens': (
        _PLAIN,
        _filled(
            b'data: {"id":"r1/encode/1","choices":[{"text":"a"}],"offset":0}\n\n'
        ),
    ),
    'a byte': (_PLAIN, b' '),
    'an event': (_PLAIN, _filled(b'a')),
}


@implementer(IPullProducer)
class _Endless(Protocol):
    """Answers a request without end, as fast as the other side reads."""

    def connectionMade(self):
        """Wait for a request; called by Twisted."""
        self.received = b''
        self.factory.server.open += 1

    def dataReceived(self, data):
        """Start the answer once the head has arrived; called by Twisted."""
        head_was_there = b'\r\n\r\n' in self.received
        self.received += data
        if head_was_there or b'\r\n\r\n' not in self.received:
            return
        server = self.factory.server
        server.requests += 1
        self.transport.write(server.form[0])
        self.transport.registerProducer(self, False)

    def resumeProducing(self):
        """Send one more part; called by Twisted."""
        server = self.factory.server
        if server.sent_bytes >= ENOUGH_BYTES:
            self.transport.unregisterProducer()
            return
        part = server.form[1]
        server.sent_bytes += len(part)
        self.transport.write(part)
        if server.clock is not None:
            self.transport.unregisterProducer()
            server.clock.callLater(
                1, self.transport.registerProducer, self, False
            )

    def stopProducing(self):
        """Do nothing, as the connection is closed; called by Twisted."""

    def connectionLost(self, reason):
        """Count the closed connection; called by Twisted."""
        self.factory.server.open -= 1


class EndlessServer:
    """A server on loopback whose answers have no end.

    Parameters
    ==========

    form : str
        Name of one of :data:`FORMS`.
    clock : IReactorTime or None
        On which it waits for a second after each part; None for no waits.

    Attributes
    ==========

    sent_bytes : int
        Bytes sent on all connections, the first ones of an answer left out.
    requests : int
        Requests received.
    open : int
        Open connections.
    """

    def __init__(self, form, clock=None):
        self.clock = clock
        self.form = FORMS[form]
        self.sent_bytes = 0
        self.requests = 0
        self.open = 0
        self.port = serving(_Endless, self)

    @property
    def address(self):
        """Address of the server, ``IP:PORT``."""
        return f'{LOOPBACK}:{self.port.getHost().port}'

    def outcome_of(self, work):
        """Return the outcome of work, or None if it reads on without end."""
        outcomes = collect_result(work)
        self.wait_for(lambda: outcomes)
        return outcomes[0] if outcomes else None

    def wait_for(self, condition):
        """Wait until a condition holds or the server has sent enough."""
        run_reactor_until(
            lambda: condition() or self.sent_bytes >= ENOUGH_BYTES
        )

    def wait_until_closed(self):
        """Wait until no connection is open."""
        run_reactor_until(lambda: not self.open)


class SoundServer:
    """A listening port whose answers end, to use like an endless server."""

    def __init__(self, port):
        self.port = port

    def wait_for(self, condition):
        """Wait until a condition holds."""
        run_reactor_until(condition)


class WorkerRun:
    """Stage groups that come to a queue while one worker fails each call.

    Parameters
    ==========

    queue : Queue
        Queue in virtual time.
    faulty : str
        Identifier of the worker whose answers have no end; may be empty.

    Attributes
    ==========

    calls : Counter
        Calls by identifier of the worker.
    sent, made : int
        Groups that came, and those that were made.
    longest : float
        Seconds of the longest wait for a group.
    """

    def __init__(self, queue, faulty):
        self.queue = queue
        self.faulty = faulty
        self.calls = Counter()
        self.sent = 0
        self.made = 0
        self.longest = 0.0
        self.first_call = len(queue.calls)

    def play(self, seconds):
        """Let groups come for some seconds, and wait for the last ones."""
        clock = self.queue.clock
        for tick in range(round((seconds + 2) / _TICK_SECONDS)):
            if tick % _TICKS_PER_GROUP == 0 and tick * _TICK_SECONDS < seconds:
                self._send_group(clock.seconds())
            self._answer_calls(clock)
            clock.advance(_TICK_SECONDS)

    def _send_group(self, now):
        name = f'{self.faulty}{self.sent}'
        self.sent += 1
        work = self.queue.owner.submit(
            group(name, 3, 1, due=now + 2, deadline=now + 5)
        )
        work.addCallback(self._note, now)

    def _note(self, outcome, sent_at):
        self.made += isinstance(outcome, GroupDone)
        waited = self.queue.clock.seconds() - sent_at
        self.longest = max(self.longest, waited)

    def _answer_calls(self, clock):
        for worker, pieces, done in self.queue.calls[self.first_call :]:
            self.calls[worker.ident] += 1
            if worker.ident == self.faulty:
                lost = CallLost('answer too long', worker.ident, arrived=True)
                clock.callLater(_TICK_SECONDS, done.callback, lost)
                continue
            made = [Result(f'{worker.address}/{piece}') for piece in pieces]
            clock.callLater(CALL + PIECE * len(pieces), done.callback, made)
        self.first_call = len(self.queue.calls)


def repeats_token(world, count):
    """Let the first call's upstream repeat one token after some tokens.

    Parameters
    ==========

    world : features.builders.requests.World
        A host with virtual upstreams.
    count : int
        Tokens that arrive before.
    """

    def hook(call, sink):
        if len(world.calls) > 1:
            return sink

        def repeat(event, times):
            sink(event)
            if times:
                world.clock.callLater(_REPEAT_SECONDS, repeat, event, times - 1)

        def pass_on(event):
            offset = getattr(event, 'offset', count + 1)
            if offset < count:
                sink(event)
            elif offset == count:
                repeat(Chunk(event.attempt, 0, event.text), _REPEATS)

        return pass_on

    world.hook = hook


class StrangerWire:
    """A connection to a peer of one that never ends its first frame."""

    def __init__(self):
        self.closed = False

    def write(self, content):
        """Drop what the peer sends."""

    def close(self):
        """Note that the peer has closed the connection."""
        self.closed = True


class _Page(Resource):
    isLeaf = True

    def render(self, request):
        """Return an empty answer; called by Twisted."""
        return b''


class JsonSite:
    """A connection of a caller to a site of the JSON path, in virtual time."""

    def __init__(self):
        self.clock = Clock()
        self.transport = StringTransport()
        self.channel = site_for(_Page(), self.clock).buildProtocol(None)
        self.channel.makeConnection(self.transport)

    def send_slowly(self, parts, seconds):
        """Send some parts, the first at once and some seconds after each."""
        for part in parts:
            if self.transport.disconnecting:
                return
            self.channel.dataReceived(part)
            self.clock.advance(seconds)

    def statuses(self):
        """Return the statuses of the answers so far."""
        lines = self.transport.value().split(b'\r\n')
        return [
            int(line.split()[1]) for line in lines if line.startswith(b'HTTP/')
        ]
