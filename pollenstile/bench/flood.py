"""``pollenstile bench flood``: one host gets most new connections.

Explanation
===========

Hosts run as processes over stand-in upstreams on loopback. Callers open a
connection for each request. After a calm time most of them meet one host, whose
processor time is limited: it is suspended for a part of each tenth of a second.
A request counts at the first host that has read it; one whose connection closes
without a byte has not been read, and goes to another host.
"""

import json
from collections import Counter
from dataclasses import asdict, dataclass
from random import Random

from twisted.internet.defer import Deferred, TimeoutError
from twisted.internet.protocol import ClientFactory, Protocol
from twisted.internet.task import deferLater

from pollenstile.ops.running import result_of
from pollenstile.soak.live._balancer import await_ready
from pollenstile.soak.live._world import World, run_in

_PACE_SECONDS = 0.1
_CALM_SECONDS = 5.0
_FLOOD_SECONDS = 12.0
# Seconds of the flood that are left out: hosts may take so long to notice.
_CONTACT_SECONDS = 3.0
_FLOOD_SHARE = 0.9
_TRIES = 3
_DEADLINE_SECONDS = 2.0
_CONNECT_SECONDS = 1.0
_SERVED = 'HTTP/1.1 200 OK'


@dataclass(slots=True)
class _Request:
    """One request: when it came, and how its first try that was read ended."""

    at: float
    tries: int = 0
    end: str = ''

    @property
    def is_served(self):
        """Whether the first host that read it served it."""
        return self.end == _SERVED


@dataclass(slots=True, frozen=True)
class FloodResult:
    """Shares of requests served at the first host that read them.

    Parameters
    ==========

    calm, flood : float
        The share before, and from three seconds after the beginning.
    requests : int
        Requests of the second share.
    again : float
        Tries a request during the flood; each one over the first met a host
        that closed the connection unread.
    ends : dict
        Number of requests during the flood by the first line of the answer.
    """

    seed: int
    hosts: int
    rate: float
    processor: float
    calm: float
    flood: float
    requests: int
    again: float
    ends: dict


class _Try(Protocol):
    """One try: a connection that is closed after its answer."""

    def connectionMade(self):
        """Send the request; called by twisted."""
        self.received = b''
        self.transport.write(self.factory.request)

    def dataReceived(self, data):
        """Keep the answer; called by twisted."""
        self.received += data

    def connectionLost(self, reason):
        """Report what was received; called by twisted."""
        if not self.factory.done.called:
            self.factory.done.callback(self.received)


class _TryFactory(ClientFactory):
    noisy = False
    protocol = _Try

    def __init__(self, request):
        self.request = request
        self.done = Deferred()

    def clientConnectionFailed(self, connector, reason):
        """Report a connection that was refused; called by twisted."""
        if not self.done.called:
            self.done.callback(b'')


class _Flood:
    """Callers of a run.

    Attributes
    ==========

    favoured : LiveHost or None
        The host that gets most new connections.
    requests : list of _Request
        All requests.
    """

    def __init__(self, world):
        self.world = world
        self.rng = Random(world.seed)
        self.favoured = None
        self.requests = []

    async def arrive(self, rate, seconds):
        """Let requests arrive for some seconds."""
        reactor = self.world.reactor
        end = reactor.seconds() + seconds
        while reactor.seconds() < end:
            await deferLater(reactor, self.rng.expovariate(rate))
            request = _Request(reactor.seconds())
            self.requests.append(request)
            Deferred.fromCoroutine(self._serve(request, len(self.requests)))

    def between(self, since, until):
        """Return the requests that arrived between two times."""
        return [one for one in self.requests if since <= one.at < until]

    async def _serve(self, request, number):
        used = []
        while request.tries < _TRIES:
            host = self._host(used)
            used.append(host)
            request.tries += 1
            received = await self._try(host, f'q{number}-{request.tries}')
            if received:
                request.end = received.partition(b'\r\n')[0].decode()
                return

    def _host(self, used):
        hosts = [host for host in self.world.hosts if host not in used]
        is_drawn = self.rng.random() < _FLOOD_SHARE
        if is_drawn and not used and self.favoured is not None:
            return self.favoured
        return self.rng.choice(hosts or self.world.hosts)

    async def _try(self, host, ident):
        """Return the bytes of an answer, or a text if there was no answer."""
        request = (
            f'POST /find/of/{ident}?q HTTP/1.1\r\nHost: shop\r\n'
            f'X-Attempt: {ident}\r\nX-Deadline-Ms: 2000\r\n'
            'Authorization: Bearer key-a\r\nContent-Length: 0\r\n'
            'Connection: close\r\n\r\n'
        )
        factory = _TryFactory(request.encode())
        reactor = self.world.reactor
        connector = reactor.connectTCP(
            *host.callers.target, factory, timeout=_CONNECT_SECONDS
        )
        factory.done.addTimeout(_DEADLINE_SECONDS, reactor)
        try:
            return await factory.done
        except TimeoutError:
            connector.disconnect()
            return b'nothing in time'


async def _pace(host, world, share):
    """Suspend a host for a part of each tenth of a second."""
    while world.is_sending:
        host.resume()
        await deferLater(world.reactor, share * _PACE_SECONDS)
        host.pause()
        await deferLater(world.reactor, (1 - share) * _PACE_SECONDS)
    host.resume()


async def measure_flood(reactor, seed, hosts, rate, processor):
    """Run hosts and callers; return a :class:`FloodResult`."""
    world = World(reactor, seed, hosts)
    return await run_in(world, _run(world, rate, processor))


async def _run(world, rate, processor):
    reactor = world.reactor
    await world.begin()
    if not await await_ready(world):
        raise RuntimeError('hosts were not ready in time')
    flood = _Flood(world)
    for host in world.hosts:
        Deferred.fromCoroutine(_pace(host, world, processor))
    await flood.arrive(rate, 1.0)
    began = reactor.seconds()
    await flood.arrive(rate, _CALM_SECONDS)
    flood.favoured = world.hosts[0]
    flooded = reactor.seconds()
    await flood.arrive(rate, _FLOOD_SECONDS)
    await deferLater(reactor, 2 * _DEADLINE_SECONDS)
    calm = flood.between(began, flooded)
    found = flood.between(flooded + _CONTACT_SECONDS, reactor.seconds())
    return FloodResult(
        world.seed,
        len(world.hosts),
        rate,
        processor,
        _share_served(calm),
        _share_served(found),
        len(found),
        round(sum(one.tries for one in found) / max(1, len(found)), 2),
        dict(Counter(one.end for one in found)),
    )


def _share_served(requests):
    served = sum(one.is_served for one in requests)
    return round(served / max(1, len(requests)), 3)


def add_parser(benches):
    """Add ``bench flood``."""
    parser = benches.add_parser(
        'flood', help='one of several processes gets most new connections'
    )
    parser.add_argument('--seed', type=int, default=1, help='seed of callers')
    parser.add_argument('--hosts', type=int, default=4, help='processes')
    parser.add_argument('--rate', type=float, default=40.0, help='a second')
    parser.add_argument(
        '--processor', type=float, default=0.15, help='share that a host has'
    )
    parser.set_defaults(run=run)


def run(arguments):
    """Print the result as a JSON line."""
    from twisted.internet import reactor  # noqa: WPS433

    measured = result_of(
        reactor,
        lambda: measure_flood(
            reactor,
            arguments.seed,
            arguments.hosts,
            arguments.rate,
            arguments.processor,
        ),
    )
    print(json.dumps(asdict(measured)), flush=True)
    return 0
