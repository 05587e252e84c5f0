"""A live run's store, upstreams, hosts and callers."""

from functools import partial
from random import Random

from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from pollenstile.forward import DRAINED
from pollenstile.ops.http import quiet
from pollenstile.platform import Written
from pollenstile.soak.live._hosts import COMMAND, LiveHost
from pollenstile.soak.live._proxy import LOOPBACK
from pollenstile.soak.live._records import Drain, Records
from pollenstile.soak.live._servers import (
    COLD_RATE,
    COLD_SECONDS,
    ENGINES,
    PLAIN,
    STAGES,
    Server,
)
from pollenstile.standin.objectapi import MemoryStore, platform_site

_UPSTREAM_COUNTS = ((PLAIN, 3), (ENGINES, 3), (STAGES[0], 2), (STAGES[1], 2))
# Hosts are in the first one.
DOMAINS = ('here', 'there')
# Seconds until the entry of an upstream that has ended is gone.
_ENTRY_LAPSE_SECONDS = 1.0
# Seconds between tries of a write.
_RETRY_SECONDS = 0.1
_KEYS = ('key-a', 'key-b', 'key-c')
_STAGE_STEPS = [
    {'service': STAGES[0], 'after': [], 'result_bytes': 100},
    {'service': STAGES[1], 'after': [0], 'result_bytes': 100},
]
_STAGE_SETTINGS = {
    'batch': 8,
    'call_seconds': 0.03,
    'piece_seconds': 0.001,
    'room_bytes': 1_000_000,
}


class World:
    """Everything around the hosts.

    Parameters
    ==========

    reactor : IReactorTCP, IReactorTime and IReactorProcess
        Real.
    seed : int
        Decides the faults; what they meet is the machine's.
    hosts : int
        How many entry hosts.
    command : tuple of str
        Runs the program.
    logs : file or None
        Takes the hosts' log lines, as bytes.

    Attributes
    ==========

    results : dict
        Requests by the handle of their stage results.
    servers : dict
        Upstreams that run, by incarnation.
    asking : bool
        Whether callers go on.
    keys : list of str
        In the newest configuration.
    all_keys : tuple of str
        That there ever were.
    """

    def __init__(self, reactor, seed, hosts, command=COMMAND, logs=None):
        self.reactor = reactor
        self.seed = seed
        self.logs = logs
        self.rng = Random(seed)
        self.records = Records()
        self.results = {}
        self.result_count = 0
        self.started = 0
        self.is_sending = True
        self.version = 0
        self.keys = list(_KEYS)
        self.all_keys = _KEYS
        self.store = MemoryStore(reactor)
        self.store_port = reactor.listenTCP(
            0, quiet(platform_site(self.store)), 512, LOOPBACK
        )
        port = self.store_port.getHost().port
        self.store_address = (LOOPBACK, port)
        self.servers = {}
        self.hosts = [
            LiveHost(self, f'h{number}', command) for number in range(hosts)
        ]

    async def begin(self):
        """Write the configuration, start upstreams and hosts."""
        await self.configure()
        for service, count in _UPSTREAM_COUNTS:
            for _ in range(count):
                await self.add_server(service)
        for host in self.hosts:
            host.start()

    async def configure(self):
        """Write a new version of the configuration."""
        self.version += 1
        await self._write('config', 'main', self._document())

    async def add_server(self, service, domain=''):
        """Start an upstream.

        Parameters
        ==========

        domain : str
            That of the one whose place it takes; a service with all upstreams
            in one domain could not be served while that is drained.
        """
        self.started += 1
        domain = domain or _least_used_domain(self.servers_of(service))
        ident = f'{service}-{self.started}'
        server = Server(self, service, ident, domain)
        self.servers[ident] = server
        cold_until = self.reactor.seconds() + COLD_SECONDS
        self.records.upstreams[ident] = (domain, cold_until)
        await self._write('upstreams', server.ident, server.entry())

    async def leave_server(self, server):
        """Let an upstream tell that it leaves."""
        entry = server.entry(leaving=True)
        await self._write('upstreams', server.ident, entry)
        self.records.left_at[server.ident] = self.reactor.seconds()

    async def drain(self, domain):
        """Drain a failure domain; return the record of it."""
        await self._write(DRAINED, domain, {})
        drain = Drain(domain, self.reactor.seconds())
        self.records.drains.append(drain)
        return drain

    async def end_drain(self, drain):
        """Let a failure domain have work again."""
        delete = partial(self.store.delete, DRAINED, drain.domain)
        await self._retry_until_written(delete)
        drain.ended = self.reactor.seconds()

    async def crash_server(self, server):
        """End an upstream at once; its entry lapses later."""
        self.servers.pop(server.ident, None)
        await server.crash()
        delete = partial(self.store.delete, 'upstreams', server.ident)

        def delete_entry():
            # As heartbeats no longer come.
            Deferred.fromCoroutine(self._retry_until_written(delete))

        self.reactor.callLater(_ENTRY_LAPSE_SECONDS, delete_entry)

    async def replace_server(self, server):
        """End an upstream at once, and start another one."""
        await self.crash_server(server)
        await self.add_server(server.service, server.domain)

    async def revoke(self, key):
        """Take a key away."""
        self.keys.remove(key)
        await self.configure()
        self.records.revoked_at[key] = self.reactor.seconds()

    def accepting_hosts(self):
        """Return hosts that callers connect to."""
        accepting = [
            host
            for host in self.hosts
            if host.ready and not host.leaving and host.is_running()
        ]
        return accepting or self.hosts

    def servers_of(self, service):
        """Return the upstreams of a service that run."""
        return [
            server
            for server in self.servers.values()
            if server.service == service
        ]

    def write_log_line(self, line):
        """Keep a line of a host's log."""
        if self.logs is not None:
            self.logs.writelines((line, b'\n'))

    def kill(self):
        """End the processes that the run started, at once."""
        for host in self.hosts:
            host.end_permanently()

    async def close(self):
        """End all processes and ports that the run started."""
        self.is_sending = False
        for host in self.hosts:
            await host.end_permanently()
            for proxy in (host.callers, host.peers, host.store):
                await _settled(proxy.close())
        for server in list(self.servers.values()):
            await _settled(server.crash())
        await _settled(self.store_port.stopListening())

    async def _write(self, kind, name, value):
        await self._retry_until_written(
            partial(self.store.put, kind, name, value)
        )

    async def _retry_until_written(self, call):
        """Repeat a call until the store has said that it was done."""
        while not isinstance(await call(), Written):
            await deferLater(self.reactor, _RETRY_SECONDS)

    def _document(self):
        routes = [
            _route('find', 'idempotent', PLAIN, attempts=2),
            _route('book', 'once', PLAIN),
            _route('draft', 'stream', ENGINES, _STAGE_STEPS, 2, resumable=True),
            _route('digest', 'stream', ENGINES, _STAGE_STEPS),
        ]
        return {
            'version': self.version,
            'routes': routes,
            'services': [
                *({'name': name, 'stage': _STAGE_SETTINGS} for name in STAGES),
                {'name': ENGINES, 'cold_rate': COLD_RATE},
            ],
            'teams': [
                {'name': f'team of {key}', 'keys': [key]} for key in self.keys
            ],
        }


def _least_used_domain(servers):
    """Return where fewest of a service's first upstreams are."""
    places = [server.domain for server in servers]
    return min(DOMAINS, key=places.count)


def _route(name, kind, service, steps=(), attempts=1, *, resumable=False):
    return {
        'name': name,
        'host': 'shop',
        'prefix': f'/{name}/',
        'kind': kind,
        'timeout': 5.0,
        'aim': 1.0,
        'targets': [{'service': service}],
        'attempts': attempts,
        'steps': list(steps),
        'resumable': resumable,
    }


def _settled(deferred):
    done = Deferred()
    if deferred is None:
        done.callback(None)
    else:
        deferred.addBoth(done.callback)
    return done
