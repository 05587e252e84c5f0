"""Whether an upstream's process has ended when a connection to it broke."""

from dataclasses import dataclass

from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import deferLater

from pollenstile.forward import events
from pollenstile.forward._client import ProbeResult
from pollenstile.ops.logs import silent_log

# Seconds until a second look where connections are refused and a request of
# this host is still under way: a reset that was lost is sent again.
_SECOND_LOOK = 0.2
# Incarnations that are remembered as ended.
_MOST_ENDED = 256
_MS = 1000


@dataclass(slots=True, frozen=True)
class Incarnation:
    """One life of an upstream's process.

    Parameters
    ==========

    ident, service, address : str
        As the registry has them.
    born : int
        Unix milliseconds; 0 where upstreams don't tell.
    """

    ident: str
    service: str
    address: str
    born: int = 0

    @property
    def name(self):
        """Return what tells this life from all others."""
        return f'{self.ident}/{self.born}'


def incarnation_of(service, view):
    """Return the :class:`Incarnation` that a view of a service shows."""
    return Incarnation(view.ident, service, view.address, view.born)


@dataclass(slots=True)
class _Look:
    """A look at an upstream that is under way."""

    suspects: list
    waiters: list


class Crashes:
    """Finds out which upstreams have crashed, and what they ran then.

    Explanation
    ===========

    A broken connection alone says little: connections are reset, links are
    cut, answers are spoilt. A process that has ended breaks all of its
    connections, and nobody listens at its address any more.

    Parameters
    ==========

    registry : Registry
        Knows who is there, and who leaves.
    client : HttpClient
        Looks whether anybody listens.
    clock : IReactorTime
        Times the second look.
    log : function
        Writes events.

    Attributes
    ==========

    busy_checks : list of function
        Each takes an :class:`Incarnation` and returns whether this host has
        more under way there than the registry's views count.
    on_crash : function
        Called with name and service of a process that has ended, and the
        suspects that this host had there.
    """

    __slots__ = (
        'busy_checks',
        'client',
        'clock',
        'ended',
        'log',
        'looks',
        'on_crash',
        'registry',
    )

    def __init__(self, registry, client, clock, log=silent_log):
        self.registry = registry
        self.client = client
        self.clock = clock
        self.log = log
        self.looks = {}
        self.ended = {}
        self.busy_checks = []
        self.on_crash = _nobody_told

    def note_broken(self, upstream, suspect):
        """Take a connection that broke; return a Deferred of the verdict.

        Parameters
        ==========

        upstream : Incarnation
            Whose connection.
        suspect : Suspect
            What it was running; without a fingerprint where that isn't known.

        Returns
        =======

        Deferred
            Of whether the upstream's process has ended.
        """
        if upstream in self.ended:
            # A reset that came later than the look.
            self._tell(upstream, [suspect])
            return succeed(True)
        if not self._is_at_work(upstream):
            return succeed(False)
        waiter = Deferred()
        look = self.looks.get(upstream)
        if look is not None:
            look.suspects.append(suspect)
            look.waiters.append(waiter)
            return waiter
        self.looks[upstream] = _Look([suspect], [waiter])
        Deferred.fromCoroutine(self._examine(upstream))
        return waiter

    async def _examine(self, upstream):
        has_ended = await self._has_ended(upstream)
        look = self.looks.pop(upstream)
        if has_ended:
            self._note_ended(upstream)
            self._tell(upstream, look.suspects)
        for waiter in look.waiters:
            waiter.callback(has_ended)

    async def _has_ended(self, upstream):
        """Return whether nobody listens, and nothing is under way there."""
        if await self.client.probe(upstream.address) is not ProbeResult.REFUSED:
            return False
        if not self._is_busy(upstream):
            return True
        await deferLater(self.clock, _SECOND_LOOK)
        if self._is_busy(upstream):
            # One that is full refuses connections too, and goes on with what
            # it has.
            return False
        return await self.client.probe(upstream.address) is ProbeResult.REFUSED

    def _note_ended(self, upstream):
        self.ended[upstream] = True
        if len(self.ended) > _MOST_ENDED:
            self.ended.pop(next(iter(self.ended)))

    def _tell(self, upstream, suspects):
        known = tuple(one for one in suspects if one.fingerprint)
        self.log(
            events.UPSTREAM_CRASHED,
            level='warning',
            peer=upstream.ident,
            service=upstream.service,
            address=upstream.address,
            born=upstream.born,
            requests=[one.fingerprint for one in known],
            ran_ms=[int(one.run_seconds * _MS) for one in known],
        )
        self.on_crash(upstream.name, upstream.service, known)

    def _is_at_work(self, upstream):
        """Return whether an upstream is one that shouldn't end now."""
        known = self.registry.upstreams.get(upstream.ident)
        if known is None or known.born != upstream.born:
            return False
        return not known.leaving

    def _is_busy(self, upstream):
        view = self.registry.views.get(upstream.ident)
        if view is not None and view.in_flight > 0:
            return True
        return any(is_busy(upstream) for is_busy in self.busy_checks)


def _nobody_told(name, service, suspects):
    """Stand for a host that remembers nothing of crashes."""
