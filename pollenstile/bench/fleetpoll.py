"""Measure the cost of a poll of an upstream over loopback."""

import time
from dataclasses import dataclass
from types import SimpleNamespace

from twisted.protocols.policies import ProtocolWrapper, WrappingFactory

from pollenstile.fleet import http_load_reader
from pollenstile.ops.http import site_for
from pollenstile.ops.running import result_of
from pollenstile.standin.plain import PlainResource, PlainServer

_ROUNDS = 400
_MS = 1000
_SLOTS = 8


@dataclass(slots=True)
class PollCost:
    """Cost of one poll.

    Parameters
    ==========

    sent, received : float
        Bytes of HTTP that the polling host sends and receives.
    cpu_ms : float
        Processor milliseconds, including those of the polled server.
    """

    sent: float
    received: float
    cpu_ms: float


class _CountingProtocol(ProtocolWrapper):
    def dataReceived(self, content):
        self.factory.bytes_received += len(content)
        super().dataReceived(content)

    def write(self, content):
        self.factory.bytes_sent += len(content)
        super().write(content)

    def writeSequence(self, parts):
        self.factory.bytes_sent += sum(len(part) for part in parts)
        super().writeSequence(parts)


class _CountingFactory(WrappingFactory):
    protocol = _CountingProtocol
    noisy = False

    def __init__(self, site):
        super().__init__(site)
        self.bytes_received = 0
        self.bytes_sent = 0


def poll_cost():
    """Return the mean cost of a poll over a persistent connection."""
    from twisted.internet import reactor  # noqa: WPS433

    return result_of(reactor, lambda: _measured(reactor))


async def _measured(reactor):
    server = PlainServer(reactor, 'p1', work=0, max_running=_SLOTS)
    counter = _CountingFactory(site_for(PlainResource(server), reactor))
    port = reactor.listenTCP(0, counter, interface='127.0.0.1')
    address = f'127.0.0.1:{port.getHost().port}'
    upstream = SimpleNamespace(address=address)
    read_load = http_load_reader(reactor)
    await read_load('p1', upstream)
    counter.bytes_received = 0
    counter.bytes_sent = 0
    started = time.process_time()
    for _ in range(_ROUNDS):
        load = await read_load('p1', upstream)
        if load is None:
            raise RuntimeError('the simulated upstream did not answer')
    took = time.process_time() - started
    await port.stopListening()
    return PollCost(
        counter.bytes_received / _ROUNDS,
        counter.bytes_sent / _ROUNDS,
        took * _MS / _ROUNDS,
    )
