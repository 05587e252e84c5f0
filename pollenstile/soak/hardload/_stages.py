"""Upstreams of the stage service, called as hosts call them over HTTP."""

from types import SimpleNamespace

import msgspec
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone

from pollenstile.bench._stageworld import StageUpstream
from pollenstile.forward import FREE_TARGET
from pollenstile.soak.hardload._tables import LIMITS, STAGES
from pollenstile.standin._upstreamcalls import LATENCY_SECONDS
from pollenstile.standin.exchanges import Head

_OK = 200
_RESULT_BYTES = 10_000


class StageServers:
    """Stage upstreams by address.

    Parameters
    ==========

    clock : IReactorTime
        Virtual clock.
    write : function
        Called with an upstream's name and entry, or None to delete it.

    Attributes
    ==========

    running : dict
        The :class:`StageUpstream` at each address, or None while it is down.
    idents : dict
        Identifier of the upstream at each address.
    """

    __slots__ = ('clock', 'idents', 'running', 'started', 'write')

    def __init__(self, clock, write):
        self.clock = clock
        self.write = write
        self.running = {}
        self.idents = {}
        self.started = 0

    def start(self, address, domain):
        """Start an upstream, as a new incarnation with a new name."""
        self.started += 1
        ident = f'{STAGES}-{self.started}'
        self.idents[address] = ident
        self.running[address] = StageUpstream(self.clock, address, LIMITS)
        entry = {'address': address, 'domain': domain, 'service': STAGES}
        self.write(ident, entry)

    def end(self, address):
        """End an upstream with its results."""
        self.running[address] = None
        self.write(self.idents[address], None)

    def exists(self, handle):
        """Return whether a result is still stored."""
        upstream = self.running.get(handle.partition('/')[0])
        return upstream is not None and handle in upstream.results

    def accept(self, call, target):
        """Run a call of a host that has reached its address."""
        upstream = self.running[call.address]
        if upstream is None:
            call.break_connection()
            return
        call.sent = True
        content = msgspec.json.decode(call.body)
        if target == FREE_TARGET:
            for handle in content:
                upstream.results.pop(handle, None)
            self._answer([], upstream, call)
            return
        made = upstream.call([_piece(piece) for piece in content], self.exists)
        made.addCallback(self._answer, upstream, call)

    def _answer(self, made, upstream, call):
        if self.running[call.address] is not upstream:
            call.break_connection()
            return
        body = msgspec.json.encode([result.handle or '' for result in made])
        self.clock.callLater(LATENCY_SECONDS, call.receive_head, _Reply(body))


class _Reply(Head):
    """Head of an answer whose body is delivered at once."""

    def __init__(self, body):
        super().__init__(_OK, {})
        self.body = body

    def deliverBody(self, protocol):
        """Deliver the body to a protocol, as Twisted's responses do."""
        protocol.transport = SimpleNamespace(abortConnection=_ignore)
        protocol.dataReceived(self.body)
        protocol.connectionLost(Failure(ResponseDone()))


def _piece(piece):
    group = SimpleNamespace(
        request=piece['request'],
        step=piece['step'],
        inputs=piece['inputs'],
        result_bytes=_RESULT_BYTES,
    )
    return SimpleNamespace(group=group, number=piece['number'])


def _ignore():
    """Do nothing as a connection is closed."""
