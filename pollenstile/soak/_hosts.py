"""Entry hosts of a soak: real nodes in simulated processes."""

from functools import partial

from twisted.internet.defer import Deferred

from pollenstile.entry import build_fleet, build_node
from pollenstile.ops.settings import ENTRY, settings_from
from pollenstile.platform import Budget, EraStore, PacedStore, StoreEra
from pollenstile.soak._channel import FaultyChannel
from pollenstile.soak._gates import GatedHub, GatedStore, gated_connect
from pollenstile.soak._process import Process
from pollenstile.standin.partition import PartitionedStore
from pollenstile.standin.virtual import UP
from pollenstile.upstream import Chunk, Reply

_STORE_CALLS_PER_SECOND = 200.0
_POLL_SECONDS = 0.002
_POLL_TIMEOUT_SECONDS = 1.0
_PEER_KEY = 'shared'
# Peer addresses by host; every host is configured with all of them.
_ADDRESSES = {
    'n1': '10.0.0.1:82',
    'n2': '10.0.0.2:82',
    's1': '10.0.0.3:82',
    'w1': '10.0.0.4:82',
}


def address_of(name):
    """Return a host's peer address."""
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
    """One run of an entry host, from its start to its end.

    Attributes
    ==========

    exchanges : list of Exchange
        Exchanges with callers. They are kept after the host is killed, so
        that the garbage collector does not resume its coroutines.
    calls : dict
        Cancel function of each open call, by attempt.
    leaving_incarnations : dict
        Incarnation that reported to this host that it is leaving, by
        upstream.
    versions : list of int
        Versions of the configurations that were in force, in order.
    texts : list of int
        Numbers of their texts, in the order of the operator's writing.
    """

    __slots__ = (
        'calls',
        'exchanges',
        'fleet',
        'gates',
        'leaving_incarnations',
        'name',
        'node',
        'process',
        'texts',
        'versions',
        'world',
    )

    def __init__(self, world, name, domain):
        self.world = world
        self.name = name
        self.process = Process(world.clock, self._on_crash)
        self.exchanges = []
        self.calls = {}
        self.leaving_incarnations = {}
        self.versions = []
        self.texts = []
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
        self.node.in_force.listeners.append(self._on_configuration)
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
        """State that the host's requests share."""
        return self.node.core

    def kill(self, *, reset):
        """Kill the process.

        Parameters
        ==========

        reset : bool
            Whether the connections are closed; when a machine loses power,
            the other ends are not notified.
        """
        self.process.kill()
        if reset:
            self._reset_connections()
        self.calls.clear()

    def has_leaving_report(self, upstream):
        """Return whether an upstream reported to this host that it leaves."""
        now = self.world.upstreams[upstream].load().incarnation
        return self.leaving_incarnations.get(upstream) == now

    def _on_event(self, name, call, sink, event):
        sink(event)
        if isinstance(event, Chunk):
            return
        waited = self.calls.pop(call.attempt, None) is not None
        if not waited or not isinstance(event, Reply):
            return
        if event.attempt == call.attempt and event.load.leaving:
            self.leaving_incarnations[name] = event.load.incarnation

    def _cancel_call(self, attempt, cancel):
        self.calls.pop(attempt, None)
        cancel()

    def _reset_connections(self):
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
        budget = Budget(
            _STORE_CALLS_PER_SECOND,
            _STORE_CALLS_PER_SECOND,
            self.process.seconds(),
        )
        paced = PacedStore(
            GatedStore(reached, self.process),
            self.process,
            self.world.rng,
            budget,
            self._log,
        )
        return EraStore(paced, StoreEra(self._log))

    def _read_load(self, name, declared):
        answer = Deferred()
        upstream = self.world.upstreams[name]
        is_up = self.world.links.state(self.name, name) == UP
        is_silent = upstream.faults.frozen or upstream.timers.is_paused
        if is_up and not is_silent:
            self.process.callLater(
                _POLL_SECONDS, answer.callback, upstream.load()
            )
        else:
            self.process.callLater(_POLL_TIMEOUT_SECONDS, answer.callback, None)
        return answer

    def _log(self, event, level='info', **fields):
        if self.process.alive:
            self.world.trace.note(event.name, host=self.name, **fields)
            self.world.records.check_event(self, event, fields)

    def _on_crash(self, error):
        self.world.records.violate('crashed', self.name, error=repr(error))

    def _on_configuration(self, snapshot):
        self.versions.append(snapshot.version)
        self.texts.append(self.world.texts.index(self.node.in_force.text))

    def _transport(self):
        start_call = self.world.network.transport_from(self.name)
        channel = FaultyChannel(
            self.world.links,
            self.world.rng,
            self.process,
            self.world.trace,
        )

        def start(name, upstream, call, sink):
            if not self.process.alive:
                return _cancel_nothing
            self.world.records.check_call(self, name, call)
            observe = partial(self._on_event, name, call, sink)
            channel_sink = channel.sink_for(call.attempt, observe)
            cancel = start_call(name, upstream, call, channel_sink)
            self.calls[call.attempt] = cancel
            return partial(self._cancel_call, call.attempt, cancel)

        return start


def _cancel_nothing():
    """Do nothing; cancel function of a call that was never sent."""
