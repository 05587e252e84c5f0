"""Detection of crashed upstreams after a connection to them broke."""

from dataclasses import dataclass

from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import deferLater

from pollenstile.forward import events
from pollenstile.closes import ProbeResult
from pollenstile.ops.bounded import drop_oldest
from pollenstile.ops.incarnations import incarnation_name
from pollenstile.ops.logs import silent_log
from pollenstile.ops.loops import log_failure, start_step

_LOOP = 'looks at crashes'
# Delay before the second check of an upstream that refuses connections while a
# request of this host is still in flight there. The reset that would end this
# request may have been lost, and is then sent again.
_RECHECK_SECONDS = 0.2
# Maximum number of ended incarnations that are remembered.
_MAX_ENDED = 256
_MS = 1000


@dataclass(slots=True, frozen=True)
class Incarnation:
    """One process lifetime of an upstream.

    Parameters
    ==========

    ident, service, address : str
        Identifier, service and address in the registry.
    born : int
        Start of the process in Unix milliseconds; 0 when not reported.
    """

    ident: str
    service: str
    address: str
    born: int = 0

    @property
    def name(self):
        """Return the unique name of this incarnation."""
        return incarnation_name(self.ident, self.born)


def incarnation_of(service, view):
    """Return the current :class:`Incarnation` of an upstream's view."""
    return Incarnation(view.ident, service, view.address, view.born)


@dataclass(slots=True)
class _Examination:
    """A check of an upstream that is in progress."""

    suspects: list
    waiters: list


class CrashDetector:
    """Detects crashed upstreams and reports the requests that they ran.

    Explanation
    ===========

    A broken connection alone does not prove a crash: connections are reset,
    links fail, answers are corrupted. A process that has ended breaks all of
    its connections, and its address refuses new ones.

    Parameters
    ==========

    registry : Registry
        Lists the upstreams and which of them are leaving.
    client : HttpClient
        Checks whether an address accepts connections.
    clock : IReactorTime
        Delays the second check.
    log : function
        Writes events.

    Attributes
    ==========

    busy_checks : list of function
        Each takes an :class:`Incarnation` and returns whether this host has
        calls in flight there that the registry's views do not count.
    examinations : dict
        Checks in progress by :class:`Incarnation`.
    ended : dict
        Incarnations that are known to have ended, oldest first.
    on_crash : function
        Called with the incarnation's name, its service and a tuple of the
        suspects: requests of this host that were running there.
    """

    __slots__ = (
        'busy_checks',
        'client',
        'clock',
        'ended',
        'examinations',
        'log',
        'on_crash',
        'registry',
    )

    def __init__(self, registry, client, clock, log=silent_log):
        self.registry = registry
        self.client = client
        self.clock = clock
        self.log = log
        self.examinations = {}
        self.ended = {}
        self.busy_checks = []
        self.on_crash = _ignore_crash

    def note_broken(self, upstream, suspect):
        """Record a broken connection and check whether the upstream crashed.

        Parameters
        ==========

        upstream : Incarnation
            The peer of the connection.
        suspect : Suspect
            The request that it was running; without a fingerprint if unknown.

        Returns
        =======

        Deferred
            Fires with whether the upstream's process has ended.
        """
        if upstream in self.ended:
            # The reset arrived after the check was over.
            self._report(upstream, [suspect])
            return succeed(True)
        if not self._should_be_running(upstream):
            return succeed(False)
        waiter = Deferred()
        examination = self.examinations.get(upstream)
        if examination is not None:
            examination.suspects.append(suspect)
            examination.waiters.append(waiter)
            return waiter
        self.examinations[upstream] = _Examination([suspect], [waiter])
        start_step(self.log, _LOOP, self._examine(upstream))
        return waiter

    async def _examine(self, upstream):
        has_ended = False
        try:
            has_ended = await self._has_ended(upstream)
        except Exception as error:
            # Requests wait for what this shows.
            log_failure(self.log, _LOOP, error)
        examination = self.examinations.pop(upstream)
        if has_ended:
            self._note_ended(upstream)
            self._report(upstream, examination.suspects)
        for waiter in examination.waiters:
            waiter.callback(has_ended)

    async def _has_ended(self, upstream):
        """Return whether the address refuses connections and is not busy."""
        if await self.client.probe(upstream.address) is not ProbeResult.REFUSED:
            return False
        if not self._is_busy(upstream):
            return True
        await deferLater(self.clock, _RECHECK_SECONDS)
        if self._is_busy(upstream):
            # An overloaded upstream also refuses connections, but continues
            # with the requests that it has accepted.
            return False
        return await self.client.probe(upstream.address) is ProbeResult.REFUSED

    def _note_ended(self, upstream):
        self.ended[upstream] = True
        drop_oldest(self.ended, _MAX_ENDED)

    def _report(self, upstream, suspects):
        identified = tuple(
            candidate for candidate in suspects if candidate.fingerprint
        )
        self.log(
            events.UPSTREAM_CRASHED,
            level='warning',
            peer=upstream.ident,
            service=upstream.service,
            address=upstream.address,
            born=upstream.born,
            requests=[suspect.fingerprint for suspect in identified],
            ran_ms=[int(suspect.run_seconds * _MS) for suspect in identified],
            parts=[suspect.parts for suspect in identified],
        )
        self.on_crash(upstream.name, upstream.service, identified)

    def _should_be_running(self, upstream):
        """Return whether an incarnation is registered and not leaving."""
        entry = self.registry.upstreams.get(upstream.ident)
        if entry is None or entry.born != upstream.born:
            return False
        return not self.registry.is_leaving(entry)

    def _is_busy(self, upstream):
        view = self.registry.views.get(upstream.ident)
        if view is not None and view.in_flight > 0:
            return True
        return any(is_busy(upstream) for is_busy in self.busy_checks)


def _ignore_crash(name, service, suspects):
    """Do nothing; the default of ``on_crash``."""
