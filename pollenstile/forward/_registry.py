"""Registry of upstreams, and the state that this host observed of each."""

from dataclasses import dataclass, field
from functools import partial

from pollenstile.forward import events
from pollenstile.forward._absent import AbsentEntries
from pollenstile.forward._plannedexits import PlannedExits
from pollenstile.forward._returned import ReturnedEntries
from pollenstile.forward._selection import UpstreamView
from pollenstile.ops.batch import Batch
from pollenstile.ops.incarnations import incarnation_name
from pollenstile.ops.logs import silent_log
from pollenstile.ops.loops import guarded
from pollenstile.permission import LeavingUpstreams

_LOOP = 'registry'
# Kind of the objects with which upstreams register themselves in the store.
UPSTREAMS = 'upstreams'
# Entries that expire during an outage of the store are written again within two
# seconds of its recovery if the upstream is alive. An upstream whose entry is
# still missing then is gone.
_RETURN_SECONDS = 2.3
_MS = 1000


@dataclass(slots=True, frozen=True)
class Upstream:
    """One incarnation of an upstream.

    Parameters
    ==========

    ident : str
        Identifier chosen by the upstream, which may keep it after a restart.
    slots : int
        Number of requests that it processes concurrently.
    leaving : bool
        Whether it accepts no new work.
    born : int
        Time of its start in Unix milliseconds; 0 if upstreams don't report it.
        Identifies the incarnation together with the identifier.
    software : str
        Version of its software; empty if its entry has none.
    cold_seconds : float
        Remaining time for which it can handle only few requests. Each report
        of the upstream changes it, so comparisons of entries ignore it.
    """

    ident: str
    service: str
    address: str
    domain: str
    slots: int = 1
    leaving: bool = False
    born: int = 0
    software: str = ''
    cold_seconds: float = field(default=0.0, compare=False)

    @property
    def incarnation(self):
        """Return the unique name of its process lifetime."""
        return incarnation_name(self.ident, self.born)


class Registry:
    """Upstreams by service.

    Parameters
    ==========

    clock : IReactorTime
        Provides the time and timers.
    log : function
        Writes events.

    Attributes
    ==========

    upstreams : dict
        Upstreams by identifier.
    views : dict
        :class:`UpstreamView` of each upstream, by identifier.
    by_service : dict
        Views of the upstreams that accept new work, by service.
    store_failed_at : float
        Time at which the store last failed to answer.
    absent : AbsentEntries
        Missing entries that may be written again, by identifier.
    listeners : list of function
        Called after each change.
    known : bool
        Whether a full list was received.
    drained : frozenset of str
        Failure domains whose upstreams get no new work.
    stated_leaving : LeavingUpstreams
        Incarnations that leave by their own answers, whatever their entries
        state.
    returned : ReturnedEntries
        Entries that the store shows only since its return from an older copy.
    exits : PlannedExits
        Upstreams that leave, and the removals of their entries.
    on_process : function
        Called with the incarnation of each process whose entry is new.
    indexing : Batch
        Builds the views by service and calls the listeners.
    """

    __slots__ = (
        'absent',
        'by_service',
        'clock',
        'drained',
        'exits',
        'indexing',
        'known',
        'listeners',
        'log',
        'on_process',
        'returned',
        'stated_leaving',
        'store_failed_at',
        'upstreams',
        'views',
    )

    def __init__(self, clock, log=silent_log):
        self.clock = clock
        self.log = log
        self.upstreams = {}
        self.views = {}
        self.by_service = {}
        self.absent = AbsentEntries(clock)
        self.listeners = []
        self.store_failed_at = -1000.0
        self.known = False
        self.indexing = Batch(self._index)
        self.on_process = _ignore_process
        self.drained = frozenset()
        self.stated_leaving = LeavingUpstreams(clock)
        self.exits = PlannedExits(clock, log)
        self.returned = ReturnedEntries(clock, self.indexing.request, log)

    def follow_leaving(self, leaving):
        """Leave out the upstreams whose answers state that they leave.

        Parameters
        ==========

        leaving : LeavingUpstreams
            These upstreams; the registry follows its changes.
        """
        self.stated_leaving = leaving
        leaving.listeners.append(self._leaving_stated)
        self.indexing.request()

    def drain(self, domains):
        """Set the failure domains whose upstreams get no new work.

        Explanation
        ===========

        These upstreams stay in the registry, so that running requests can end
        and stored results can be read and released.
        """
        if domains == self.drained:
            return
        self.drained = domains
        self.indexing.request()

    def apply(self, ident, upstream, *, after_return=False):
        """Apply an entry; None for a missing one.

        Parameters
        ==========

        after_return : bool
            Whether the store has just returned from an older copy, so that the
            entry may be older than the known one, or missing though its
            upstream is there.
        """
        self.absent.end(ident)
        if upstream is not None:
            self.returned.end_doubt(ident)
            if after_return:
                before = self.upstreams.get(ident)
                self.returned.check(upstream, before, self.stated_leaving)
            self._store_entry(upstream)
            return
        if ident not in self.upstreams:
            return
        failed_at = self.store_failed_at
        if after_return:
            failed_at = self.clock.seconds()
        since_failure = self.clock.seconds() - failed_at
        if since_failure < _RETURN_SECONDS:
            # If missing entries were removed at once, all upstreams would
            # disappear after an outage that outlasts their heartbeats.
            wait = _RETURN_SECONDS - since_failure
            self.absent.keep(ident, wait, partial(self.drop, ident))
            return
        self.exits.note_removed(self.upstreams[ident], since_failure)
        self.drop(ident)

    def note_listed(self):
        """Record that a full list was received."""
        self.known = True
        self._notify_listeners()

    def note_read(self, answered):
        """Record whether the store has answered a read."""
        if not answered:
            self.store_failed_at = self.clock.seconds()

    def drop(self, ident, born=None):
        """Remove an upstream that is gone or whose address has another owner.

        Parameters
        ==========

        born : int or None
            Start time of the incarnation that was found to be gone. A later
            incarnation with the same identifier is kept.
        """
        upstream = self.upstreams.get(ident)
        if born is not None and upstream and upstream.born != born:
            return
        self.absent.end(ident)
        if self.upstreams.pop(ident, None) is None:
            return
        self.views.pop(ident, None)
        self.returned.note_removed(upstream)
        self.log(
            events.UPSTREAM_CHANGED,
            peer=ident,
            service=upstream.service,
            state='gone',
        )
        self.indexing.request()

    def usable(self, service, software=None):
        """Return views of the upstreams of a service that accept new work.

        Parameters
        ==========

        software : str or None
            The only software version to return; None for all.
        """
        views = self.by_service.get(service, ())
        if software is None:
            return views
        return [view for view in views if view.software == software]

    def count(self, service):
        """Return the number of upstreams of a service, also of leaving ones."""
        return sum(
            upstream.service == service for upstream in self.upstreams.values()
        )

    def is_drained(self, service):
        """Return whether any upstream of a service is in a drained domain."""
        return any(
            upstream.service == service and upstream.domain in self.drained
            for upstream in self.upstreams.values()
        )

    def is_leaving(self, upstream):
        """Return whether an upstream leaves, by its entry or its answers."""
        if upstream.leaving:
            return True
        return self.stated_leaving.is_leaving(upstream.incarnation)

    def lists_leaving(self, name):
        """Return whether an incarnation's entry states that it leaves."""
        return any(
            upstream.leaving and upstream.incarnation == name
            for upstream in self.upstreams.values()
        )

    def stage_upstreams(self, service):
        """Return a service's upstreams that accept new work, as registered."""
        return [self.upstreams[view.ident] for view in self.usable(service)]

    def _store_entry(self, upstream):
        before = self.upstreams.get(upstream.ident)
        if before == upstream:
            self._record_cold(upstream)
            return
        if before is not None and upstream.born < before.born:
            # The entry is that of a previous incarnation. A slow write or read
            # has delayed it.
            return
        self.upstreams[upstream.ident] = upstream
        self.exits.note_entry(upstream)
        if before is None or not _is_same_process(before, upstream):
            # A restarted upstream has no state of its previous incarnation.
            # When the load, failures and requests in flight of that
            # incarnation were kept, the new one counted as full or unhealthy.
            self.views[upstream.ident] = UpstreamView(
                upstream.ident,
                upstream.address,
                upstream.domain,
                upstream.slots,
                upstream.born,
                upstream.software,
            )
            self.on_process(upstream.incarnation)
        self._record_cold(upstream)
        self.log(
            events.UPSTREAM_CHANGED,
            peer=upstream.ident,
            service=upstream.service,
            address=upstream.address,
            born=upstream.born,
            software=upstream.software,
            state='leaving' if upstream.leaving else 'ready',
        )
        self.indexing.request()

    def _record_cold(self, upstream):
        """Record for how long an upstream reports that it stays cold.

        Explanation
        ===========

        The time is counted from now, not from the write of the entry. After a
        delayed report, the upstream thus counts as cold for too long, but
        never for too short.
        """
        view = self.views[upstream.ident]
        now = self.clock.seconds()
        was_cold = view.cold_until > 0
        is_cold = upstream.cold_seconds > 0
        view.cold_until = now + upstream.cold_seconds if is_cold else 0.0
        if is_cold == was_cold:
            return
        self.log(
            events.UPSTREAM_COLD if is_cold else events.UPSTREAM_WARM,
            peer=upstream.ident,
            service=upstream.service,
            domain=upstream.domain,
            cold_ms=int(upstream.cold_seconds * _MS),
        )

    def _index(self):
        by_service = {}
        for ident, upstream in self.upstreams.items():
            if self.is_leaving(upstream) or upstream.domain in self.drained:
                continue
            if ident in self.returned.doubts:
                continue
            views = by_service.setdefault(upstream.service, [])
            views.append(self.views[ident])
        self.by_service = by_service
        self._notify_listeners()

    def _leaving_stated(self, name):
        if any(view.incarnation == name for view in self.views.values()):
            self.indexing.request()

    def _notify_listeners(self):
        for listener in self.listeners:
            guarded(self.log, _LOOP, listener)()


def _ignore_process(incarnation):
    """Do nothing; the default of ``on_process``."""


def _is_same_process(before, upstream):
    """Return whether two entries of an identifier are of one process.

    Explanation
    ===========

    A process keeps its software version. Entries of platforms that report no
    start times may differ only in this.
    """
    is_same_software = before.software == upstream.software
    return is_same_software and before.born == upstream.born
