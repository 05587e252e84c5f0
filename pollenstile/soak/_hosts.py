"""Entry hosts of a soak: the real node in a process that can die."""

from twisted.internet.defer import Deferred

from pollenstile.entry import built_node
from pollenstile.fleet import config_poll
from pollenstile.ops.settings import ENTRY, settings_from
from pollenstile.soak._process import Process
from pollenstile.soak._wire import Wire


class GatedStore:
    """The store as one process reaches it.

    Parameters
    ==========

    store : Store
        The platform's.
    process : Process
        Whose calls these are; answers reach it only while it runs.
    """

    __slots__ = ('process', 'store')

    def __init__(self, store, process):
        self.store = store
        self.process = process

    def get(self, *arguments, **keywords):
        """Read an object."""
        return self._gated(self.store.get(*arguments, **keywords))

    def put(self, *arguments, **keywords):
        """Write an object."""
        return self._gated(self.store.put(*arguments, **keywords))

    def delete(self, *arguments, **keywords):
        """Delete an object."""
        return self._gated(self.store.delete(*arguments, **keywords))

    def listed(self, *arguments, **keywords):
        """List objects."""
        return self._gated(self.store.listed(*arguments, **keywords))

    def watched(self, *arguments, **keywords):
        """Wait for changes."""
        return self._gated(self.store.watched(*arguments, **keywords))

    def _gated(self, call):
        answer = Deferred()
        waiting = Deferred.fromCoroutine(call)
        waiting.addCallback(
            lambda outcome: self.process.deliver(_hand_over, answer, outcome),
        )
        return answer


def _hand_over(answer, outcome):
    if not answer.called:
        answer.callback(outcome)


class Host:
    """One start of an entry host.

    Attributes
    ==========

    exchanges : list of Exchange
        What callers sent to it. They are kept after its death, so that the
        collector of unused objects does not wake its coroutines.
    calls : dict
        Attempt to the cancel function of each call it has open.
    versions : list of int
        Configurations that were in force, in order.
    """

    __slots__ = (
        'calls',
        'exchanges',
        'loops',
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
        self.told_leaving = set()
        self.versions = []
        environment = {'POLLENSTILE_HOST': name, 'POLLENSTILE_DOMAIN': domain}
        self.node = built_node(
            self.process,
            world.rng,
            settings_from(None, ENTRY, environment),
            self._transport(),
            log=self._log,
        )
        self.node.in_force.listeners.append(self._in_force)
        store = GatedStore(world.store, self.process)
        self.loops = [config_poll(self.process, store, self.node.in_force)]
        for part in world.parts:
            part(self, store)

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
        for cancel in list(self.calls.values()):
            if reset:
                cancel()
        self.calls.clear()

    def knows_leaving(self, upstream):
        """Return whether the host was told that an upstream leaves."""
        return upstream in self.told_leaving

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
            through = wire.sink_for(call.attempt, sink)
            cancel = raw(name, upstream, call, through)
            self.calls[call.attempt] = cancel

            def forget():
                if self.calls.pop(call.attempt, None) is not None:
                    cancel()

            return forget

        return start


def _cancel_nothing():
    """Cancel a call that was never sent."""
