"""Entry hosts of a soak: the real node in a process that can die."""

from functools import partial

from twisted.internet.defer import Deferred

from pollenstile.entry import build_fleet, build_node
from pollenstile.ops.settings import ENTRY, settings_from
from pollenstile.platform import Budget, PacedStore
from pollenstile.soak._gates import GatedHub, GatedStore, gated_connect
from pollenstile.soak._process import Process
from pollenstile.soak._wire import Wire
from pollenstile.standin.partition import PartitionedStore
from pollenstile.standin.virtual import UP
from pollenstile.upstream import Chunk, Reply


_STORE_RATE = 200.0
_POLL = 0.002
_POLL_TIMEOUT = 1.0
_PEER_KEY = 'shared'
# Peer addresses by host; seeds are known from the start.
_ADDRESSES = {
    'n1': '10.0.0.1:82',
    'n2': '10.0.0.2:82',
    's1': '10.0.0.3:82',
    'w1': '10.0.0.4:82',
}


def address_of(name):
    """Return a host's address for peers."""
    return _ADDRESSES[name]


def _settings(name, domain):
    given = {
        'HOST': name,
        'DOMAIN': domain,
        'PEER_KEY': _PEER_KEY,
        'PEER_LISTEN': address_of(name),
        'PEERS': ','.join(_ADDRESSES.values()),
    }
    environment = {
        f'POLLENSTILE_{setting}': text for setting, text in given.items()
    }
    return settings_from(None, ENTRY, environment)


class Host:
    """One start of an entry host.

    Attributes
    ==========

    exchanges : list of Exchange
        What callers sent to it. They are kept after its death, so that the
        collector of unused objects does not wake its coroutines.
    calls : dict
        Attempt to the cancel function of each call it has open.
    told_leaving : dict
        Upstream to the incarnation that told this host it leaves.
    versions : list of int
        Configurations that were in force, in order.
    """

    __slots__ = (
        'calls',
        'exchanges',
        'fleet',
        'gates',
        'name',
        'node',
        'process',
        'told_leaving',
        'versions',
        'world',
    )

    def __init__(self, world, name, domain):
        self.world = world
        self.name = name
        self.process = Process(world.clock, self._crashed)
        self.exchanges = []
        self.calls = {}
        self.told_leaving = {}
        self.versions = []
        self.gates = []
        settings = _settings(name, domain)
        store = self._store()
        self.node = build_node(
            self.process,
            world.rng,
            settings,
            self._transport(),
            store=store,
            log=self._log,
        )
        self.node.in_force.listeners.append(self._in_force)
        self.fleet = build_fleet(
            self.node,
            settings,
            gated_connect(
                world.wires.connect_from(address_of(name)),
                self.process,
                self.gates,
            ),
            self._read_load,
            store=store,
        )
        world.wires.hubs[address_of(name)] = GatedHub(
            self.process,
            self.fleet.hub,
            self.gates,
        )
        self.fleet.start()

    @property
    def core(self):
        """What the host's requests share."""
        return self.node.core

    def kill(self, *, reset):
        """Die.

        Parameters
        ==========

        reset : bool
            Whether the other ends see their connections break; a machine
            that loses power tells nobody.
        """
        self.process.kill()
        if reset:
            self._reset()
        self.calls.clear()

    def knows_leaving(self, upstream):
        """Return whether the host was told that an upstream leaves."""
        now = self.world.upstreams[upstream].load().incarnation
        return self.told_leaving.get(upstream) == now

    def _heard(self, name, call, sink, event):
        sink(event)
        if isinstance(event, Chunk):
            return
        waited = self.calls.pop(call.attempt, None) is not None
        if not waited or not isinstance(event, Reply):
            return
        if event.attempt == call.attempt and event.load.leaving:
            self.told_leaving[name] = event.load.incarnation

    def _cut(self, attempt, cancel):
        self.calls.pop(attempt, None)
        cancel()

    def _reset(self):
        for cancel in list(self.calls.values()):
            cancel()
        for gate in self.gates:
            if gate.wire is not None:
                gate.wire.close()

    def _store(self):
        reached = PartitionedStore(
            self.world.store,
            lambda: self.name in self.world.links.no_platform,
        )
        budget = Budget(_STORE_RATE, _STORE_RATE, self.process.seconds())
        return PacedStore(
            GatedStore(reached, self.process),
            self.process,
            self.world.rng,
            budget,
            self._log,
        )

    def _read_load(self, name, declared):
        answer = Deferred()
        upstream = self.world.upstreams[name]
        is_up = self.world.links.state(self.name, name) == UP
        if is_up and not upstream.faults.frozen:
            self.process.callLater(_POLL, answer.callback, upstream.load())
        else:
            self.process.callLater(_POLL_TIMEOUT, answer.callback, None)
        return answer

    def _log(self, event, level='info', **fields):
        if self.process.alive:
            self.world.trace.note(event.name, host=self.name, **fields)
            self.world.records.logged(self, event, fields)

    def _crashed(self, error):
        self.world.records.violate('crashed', self.name, error=repr(error))

    def _in_force(self, snapshot):
        self.versions.append(snapshot.version)

    def _transport(self):
        raw = self.world.network.transport_from(self.name)
        wire = Wire(
            self.world.links,
            self.world.rng,
            self.process,
            self.world.trace,
        )

        def start(name, upstream, call, sink):
            if not self.process.alive:
                return _cancel_nothing
            self.world.records.sent(self, name, call)
            heard = partial(self._heard, name, call, sink)
            through = wire.sink_for(call.attempt, heard)
            cancel = raw(name, upstream, call, through)
            self.calls[call.attempt] = cancel
            return partial(self._cut, call.attempt, cancel)

        return start


def _cancel_nothing():
    """Cancel a call that was never sent."""
