"""Builders of forwarding daemons, their store and upstreams on loopback."""

from dataclasses import dataclass, field
from random import Random

from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.web.server import Site

from features.builders.cutreactor import CutReactor
from features.builders.forwardhost import CallerConnection, open_connection
from features.builders.loop import result_of, run_reactor_until
from pollenstile.forward import (
    ForwardDaemon,
    HeaderNames,
    HostSettings,
    PlainCodec,
    Upstream,
)
from pollenstile.ops.clock import boot_clock
from pollenstile.routes import (
    Kind,
    Route,
    RouteTable,
    Service,
    StageLimits,
    StageStep,
    Target,
)
from pollenstile.standin.forwarded import (
    EngineResource,
    Results,
    StageResource,
)
from pollenstile.standin.objectapi import MemoryStore

# The simulated upstreams answer calls at once. A call counts as slow after
# three times ``call_seconds`` and is given up after eight times. With 0.02 s, a
# machine that stalled for 0.2 s lost calls until the retry budget was spent.
_LIMITS = StageLimits(
    batch=32,
    call_seconds=0.2,
    piece_seconds=0.001,
    room_bytes=10**6,
)
_HOST = '127.0.0.1'


def _table(version):
    draft = Route(
        'draft',
        'host',
        '/draft/',
        Kind.STREAM,
        10.0,
        5.0,
        targets=(Target('engines'),),
        steps=(
            StageStep('encode', (), 100),
            StageStep('rerank', (0,), 100),
        ),
    )
    services = {
        'encode': Service('encode', _LIMITS),
        'rerank': Service('rerank', _LIMITS),
    }
    return RouteTable(version, {'host': (draft,)}, services)


def _upstream(name, value):
    return Upstream(name, value['service'], value['address'], 'here')


@dataclass(slots=True, frozen=True)
class _Adapter:
    """Platform adapter of the daemons, with the default formats."""

    names: HeaderNames = field(default_factory=HeaderNames)
    codec: PlainCodec = field(default_factory=PlainCodec)
    decode_table: object = _table
    decode_upstream: object = _upstream


class ForwardFleet:
    """Hosts, one stage upstream for each service, one engine and a store.

    Attributes
    ==========

    reactors : dict
        :class:`CutReactor` of each host, by host name.
    addresses_of : dict
        Addresses of the upstreams, by service.
    daemons : dict
        :class:`ForwardDaemon` of each host, by host name.
    results : Results
        Results of the stage upstreams.
    engine : EngineResource
        The model engine.
    logged : list of tuple
        Host, event name and fields of each log line.
    """

    def __init__(self):
        self.store = MemoryStore(reactor)
        self.results = Results()
        self.engine = EngineResource(reactor, self.results)
        self.daemons = {}
        self.reactors = {}
        self.addresses_of = {}
        self.logged = []
        self.ports = []
        for service in ('encode', 'rerank'):
            stage = StageResource(reactor, self.results)
            stage.address = self._listen(service, stage)
        self._listen('engines', self.engine)
        result_of(self.store.put('config', 'main', 1))

    def add_host(self, name):
        """Start a host and wait until it is ready."""
        daemon = self.start_host(name)
        run_reactor_until(daemon.is_ready)

    def start_host(self, name):
        """Start a host without waiting; return its daemon."""
        settings = HostSettings(
            name,
            'here',
            (_HOST, 0),
            (_HOST, 0),
            (_HOST, 0),
            grace_seconds=4.0,
            tunnels=(_HOST, 0),
        )
        self.reactors[name] = CutReactor(reactor)
        daemon = ForwardDaemon(
            self.reactors[name],
            settings,
            self.store,
            _Adapter(),
            Random(name),
            boot_clock,
            self._log_of(name),
        )
        daemon.start()
        self.daemons[name] = daemon
        return daemon

    def cut(self, name, *, refuses):
        """Cut the paths of a host to all upstreams."""
        self.reactors[name].refuses = refuses
        self.reactors[name].cut = set(self.addresses_of.values())

    def wait_until_linked(self):
        """Wait until every host has a link to every other."""
        count = len(self.daemons) - 1
        hubs = [daemon.parts.hub for daemon in self.daemons.values()]
        run_reactor_until(lambda: all(len(hub.links) == count for hub in hubs))

    def send(self, name, attempt):
        """Send a request to a host; return its :class:`CallerConnection`."""
        connection = CallerConnection(
            b'POST /draft/x HTTP/1.1\r\nHost: host\r\nX-Attempt: %s\r\n'
            b'X-Pieces: 1,3\r\nX-Piece-Key: %s\r\nContent-Length: 0\r\n\r\n'
            % (attempt.encode(), attempt.encode()),
        )
        callers = self.daemons[name].ports[0]
        open_connection(callers.getHost().port, connection)
        return connection

    def owner_hosts(self):
        """Return the hosts that sent stage calls."""
        return {
            host for host, event, _ in self.logged if event == 'stage-called'
        }

    def stop(self, name):
        """Stop a host; return a Deferred that fires when it has stopped."""
        return self.daemons.pop(name).stop()

    def close(self):
        """Stop all hosts and servers."""
        stopping = [self.stop(name) for name in list(self.daemons)]
        for stopped in stopping:
            result_of(stopped)
        for port in self.ports:
            result_of(_stop_listening(port))

    def _listen(self, service, resource):
        port = reactor.listenTCP(0, Site(resource), interface=_HOST)
        self.ports.append(port)
        address = f'{_HOST}:{port.getHost().port}'
        self.addresses_of[service] = address
        entry = {'service': service, 'address': address}
        result_of(self.store.put('upstreams', f'i-{service}', entry))
        return address

    def _log_of(self, name):
        def log(event, level='info', **fields):
            self.logged.append((name, event.name, fields))

        return log


def _stop_listening(port):
    stopped = Deferred()
    port.stopListening().addBoth(stopped.callback)
    return stopped
