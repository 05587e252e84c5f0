"""Deployment of a live run: store, upstreams and hosts."""

from functools import partial
from random import Random

from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from pollenstile.forward import DRAINED
from pollenstile.platform import Written
from pollenstile.soak.live._ends import Endings
from pollenstile.soak.live._hosts import COMMAND, LiveHost
from pollenstile.soak.live._lengths import USUAL
from pollenstile.soak.live._records import Drain, Records
from pollenstile.soak.live._servers import (
    COLD_RATE,
    COLD_SECONDS,
    ENGINES,
    PLAIN,
    STAGES,
    Server,
)
from pollenstile.standin.objectapi import MemoryStore

_UPSTREAM_COUNTS = ((PLAIN, 3), (ENGINES, 3), (STAGES[0], 2), (STAGES[1], 2))
# Failure domains of upstreams; all hosts are in the first one.
DOMAINS = ('here', 'there')
# Software versions that upstreams have in turn.
VERSIONS = ('v1', 'v2')
# Upstreams at which a request may run, by route.
ATTEMPTS = {'find': 2, 'book': 1, 'draft': 2, 'digest': 1}
# Seconds until the entry of a crashed upstream lapses.
_ENTRY_LAPSE_SECONDS = 1.0
# Seconds between attempts of a write.
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
    """State of one live run.

    Parameters
    ==========

    reactor : IReactorTCP, IReactorTime and IReactorProcess
        The real reactor.
    seed : int
        Seed of the faults; the timing of the processes varies between runs.
    hosts : int
        Number of entry hosts.
    command : tuple of str
        Command that runs the program.
    logs : file or None
        Binary file that the hosts' log lines are written to.
    lengths : Lengths
        How long requests, their work and the grace of hosts last.

    Attributes
    ==========

    results : dict
        Identifier of the request by handle of a stage result.
    result_count : int
        Number of stage results so far.
    started : int
        Number of upstreams started so far.
    releases : int
        Number of versions of the engines that were released so far.
    software : str
        The last of them; empty before the first, when several serve.
    servers : dict
        Running upstreams by incarnation.
    endings : Endings
        Lets upstreams end answers in unusual ways.
    is_sending : bool
        Whether callers send requests.
    keys : list of str
        Keys of the newest configuration.
    all_keys : tuple of str
        All keys, including revoked ones.
    """

    def __init__(
        self,
        reactor,
        seed,
        hosts,
        command=COMMAND,
        logs=None,
        lengths=USUAL,
    ):
        self.reactor = reactor
        self.seed = seed
        self.logs = logs
        self.lengths = lengths
        self.rng = Random(seed)
        self.records = Records()
        self.results = {}
        self.result_count = 0
        self.started = 0
        self.releases = 0
        self.software = ''
        self.is_sending = True
        self.version = 0
        self.keys = list(_KEYS)
        self.all_keys = _KEYS
        self.store = MemoryStore(reactor)
        self.store.objects.era = 0
        self.written = {}
        self.store_ports = []
        self.servers = {}
        self.endings = Endings(self)
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

    async def add_server(self, service, domain='', port=0):
        """Start an upstream.

        Parameters
        ==========

        domain : str
            Failure domain of the upstream that it replaces. When all upstreams
            of a service were in one domain, the service would be unavailable
            while that domain is drained. With ``''``, the domain with the
            fewest upstreams of the service is chosen.
        port : int
            Port at which hosts find it; 0 for a free one.
        """
        self.started += 1
        domain = domain or _least_used_domain(self.servers_of(service))
        ident = f'{service}-{self.started}'
        software = VERSIONS[self.started % len(VERSIONS)]
        if service == ENGINES:
            software = self.software or software
        server = Server(self, service, ident, domain, software, port)
        self.servers[ident] = server
        cold_until = self.reactor.seconds() + COLD_SECONDS
        self.records.upstreams[ident] = (domain, cold_until)
        await self._write('upstreams', server.ident, server.entry())

    async def leave_server(self, server):
        """Let an upstream leave, by its answers and by its entry."""
        server.leaving = True
        entry = server.entry(leaving=True)
        await self._write('upstreams', server.ident, entry)
        self.records.left_at[server.ident] = self.reactor.seconds()

    async def drain(self, domain):
        """Drain a failure domain; return the record of the drain."""
        await self._write(DRAINED, domain, {})
        drain = Drain(domain, self.reactor.seconds())
        self.records.drains.append(drain)
        return drain

    async def end_drain(self, drain):
        """End the drain of a failure domain."""
        await self._write(DRAINED, drain.domain, None)
        drain.ended = self.reactor.seconds()

    async def crash_server(self, server, end=Server.crash):
        """End an upstream; its entry lapses later.

        Parameters
        ==========

        end : function
            Ends it; returns a Deferred.
        """
        self.servers.pop(server.ident, None)
        await end(server)

        def delete_entry():
            # The store would remove the entry for lack of heartbeats.
            Deferred.fromCoroutine(self._write('upstreams', server.ident, None))

        self.reactor.callLater(_ENTRY_LAPSE_SECONDS, delete_entry)

    async def replace_server(self, server):
        """Crash an upstream and start another one."""
        await self.crash_server(server)
        await self.add_server(server.service, server.domain)

    async def revoke(self, key):
        """Revoke a key by a new configuration without it."""
        self.keys.remove(key)
        await self.configure()
        self.records.revoked_at[key] = self.reactor.seconds()

    def accepting_hosts(self):
        """Return the hosts that are ready, or all hosts when none is."""
        accepting = [
            host
            for host in self.hosts
            if host.ready and not host.leaving and host.is_running()
        ]
        return accepting or self.hosts

    def servers_of(self, service):
        """Return the running upstreams of a service."""
        return [
            server
            for server in self.servers.values()
            if server.service == service
        ]

    def write_log_line(self, line):
        """Write a line of a host's log to the log file, if there is one."""
        if self.logs is not None:
            self.logs.writelines((line, b'\n'))

    def kill(self):
        """Kill the processes that the run started."""
        for host in self.hosts:
            host.end_permanently()

    async def close(self):
        """End all processes and close all ports that the run started."""
        self.is_sending = False
        self.records.ended_at = self.reactor.seconds()
        for host in self.hosts:
            await host.end_permanently()
            for proxy in (host.callers, host.peers, host.store):
                await _settled(proxy.close())
        for server in list(self.servers.values()):
            await _settled(server.crash())
        for port in self.store_ports:
            await _settled(port.stopListening())

    async def _write(self, kind, name, value):
        """Write an object, or delete it with None."""
        call = partial(self.store.put, kind, name, value)
        if value is None:
            call = partial(self.store.delete, kind, name)
        await self._retry_until_written(call)
        self.written[kind, name] = value

    async def _retry_until_written(self, call):
        """Repeat a call until the store has confirmed the write."""
        while not isinstance(await call(), Written):
            await deferLater(self.reactor, _RETRY_SECONDS)

    def _document(self):
        routes = [
            _route('find', 'idempotent', PLAIN),
            _route('book', 'once', PLAIN),
            _route('draft', 'stream', ENGINES, _STAGE_STEPS, resumable=True),
            _route('digest', 'stream', ENGINES, _STAGE_STEPS),
        ]
        for route in routes:
            route['timeout'] = self.lengths.deadline
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


async def run_in(world, work):
    """Return the result of a coroutine, and end what its world has started.

    Explanation
    ===========

    Processes of hosts would outlive a run that is terminated.
    """
    reactor = world.reactor
    trigger = reactor.addSystemEventTrigger('before', 'shutdown', world.kill)
    try:
        return await work
    finally:
        reactor.removeSystemEventTrigger(trigger)
        await world.close()


def _least_used_domain(servers):
    """Return the domain with the fewest upstreams of a service."""
    used_domains = [server.domain for server in servers]
    return min(DOMAINS, key=used_domains.count)


def _route(name, kind, service, steps=(), *, resumable=False):
    return {
        'name': name,
        'host': 'shop',
        'prefix': f'/{name}/',
        'kind': kind,
        'aim': 1.0,
        'targets': [{'service': service}],
        'attempts': ATTEMPTS[name],
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
