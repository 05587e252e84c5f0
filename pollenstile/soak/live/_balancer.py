"""Polls the hosts' readiness, as a load balancer does."""

from twisted.internet.defer import Deferred
from twisted.internet.protocol import ClientFactory, Protocol
from twisted.internet.task import deferLater

# Seconds between two readiness probes of a host.
_POLL_SECONDS = 0.25
# Seconds within which all hosts must be ready after the start, and seconds
# between two looks.
_START_SECONDS = 20.0
_LOOK_SECONDS = 0.05
_READY = b'HTTP/1.1 200'


class _ReadinessProbe(Protocol):
    def connectionMade(self):
        """Send the probe; called by twisted."""
        self.answer = b''
        self.transport.write(b'GET / HTTP/1.1\r\nHost: ready\r\n\r\n')

    def dataReceived(self, data):
        """Read the status line of the answer; called by twisted."""
        self.answer += data
        if len(self.answer) >= len(_READY):
            self.factory.host.ready = self.answer.startswith(_READY)
            self.transport.abortConnection()


class _ProbeFactory(ClientFactory):
    noisy = False
    protocol = _ReadinessProbe

    def __init__(self, host):
        self.host = host

    def clientConnectionFailed(self, connector, reason):
        """Mark the host as not ready; called by twisted."""
        self.host.ready = False


async def poll_readiness(world):
    """Probe all hosts until the run ends."""
    while world.is_sending:
        for host in world.hosts:
            if host.ready_address is None:
                host.ready = False
                continue
            world.reactor.connectTCP(
                *host.ready_address, _ProbeFactory(host), timeout=1
            )
        await deferLater(world.reactor, _POLL_SECONDS)


async def await_ready(world):
    """Probe all hosts from now on; return whether all are ready in time."""
    reactor = world.reactor
    Deferred.fromCoroutine(poll_readiness(world))
    latest = reactor.seconds() + _START_SECONDS
    while not all(host.ready for host in world.hosts):
        if reactor.seconds() > latest:
            return False
        await deferLater(reactor, _LOOK_SECONDS)
    return True
