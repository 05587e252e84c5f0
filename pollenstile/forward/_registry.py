"""Upstreams as they say of themselves, and what this host saw of them."""

from dataclasses import dataclass, field

from pollenstile.forward import events
from pollenstile.forward._selection import UpstreamView
from pollenstile.ops.logs import silent_log

# Kind of the upstreams' own entries in the store.
UPSTREAMS = 'upstreams'
# Entries that lapse while the store is away are back within two seconds of
# its return, when the upstream lives; one that is missing then is gone.
_RETURN_SECONDS = 2.3
_MS = 1000


@dataclass(slots=True, frozen=True)
class Upstream:
    """One incarnation of an upstream.

    Parameters
    ==========

    ident : str
        As it names itself; one that starts again may keep it.
    slots : int
        Requests that it works on at a time.
    leaving : bool
        Takes no new work.
    born : int
        Unix milliseconds of its start; 0 where upstreams don't tell. With the
        identifier it names the incarnation.
    cold_seconds : float
        For so much longer it bears few requests. It changes with each word of
        the upstream, and is no difference between two entries.
    """

    ident: str
    service: str
    address: str
    domain: str
    slots: int = 1
    leaving: bool = False
    born: int = 0
    cold_seconds: float = field(default=0.0, compare=False)


class Registry:
    """Upstreams by service.

    Parameters
    ==========

    clock : IReactorTime
        Seconds.
    log : function
        Writes events.

    Attributes
    ==========

    upstreams : dict
        By identifier.
    views : dict
        What was seen of each, by identifier.
    store_failed_at : float
        When the store last failed to answer.
    lapsed : dict
        Timers of entries that are missing and may come back.
    listeners : list of function
        Called after each change.
    known : bool
        Whether a whole list has come.
    drained : frozenset of str
        Failure domains whose upstreams get no new work.
    """

    __slots__ = (
        'by_service',
        'clock',
        'drained',
        'known',
        'lapsed',
        'listeners',
        'log',
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
        self.lapsed = {}
        self.listeners = []
        self.store_failed_at = -1000.0
        self.known = False
        self.drained = frozenset()

    def drain(self, domains):
        """Take the failure domains whose upstreams get no new work.

        Explanation
        ===========

        They stay known: what runs there ends, and results that lie there are
        read and released.
        """
        if domains == self.drained:
            return
        self.drained = domains
        self._index()

    def apply(self, ident, upstream):
        """Take an entry; None says that it is missing."""
        timer = self.lapsed.pop(ident, None)
        if timer is not None:
            timer.cancel()
        if upstream is not None:
            self._put(upstream)
            return
        if ident not in self.upstreams:
            return
        away = self.clock.seconds() - self.store_failed_at
        if away < _RETURN_SECONDS:
            # Taken as gone at once, all upstreams would vanish after an
            # outage that was longer than their heartbeats.
            wait = _RETURN_SECONDS - away
            self.lapsed[ident] = self.clock.callLater(wait, self.drop, ident)
            return
        self.drop(ident)

    def note_listed(self):
        """Note that a whole list has come."""
        self.known = True
        self._changed()

    def note_read(self, answered):
        """Note whether the store has answered a read."""
        if not answered:
            self.store_failed_at = self.clock.seconds()

    def drop(self, ident, born=None):
        """Forget an incarnation that is gone, or whose address has another.

        Parameters
        ==========

        born : int or None
            Of the incarnation that was found gone. One that has started since
            under the same identifier stays.
        """
        upstream = self.upstreams.get(ident)
        if born is not None and upstream and upstream.born != born:
            return
        self.lapsed.pop(ident, None)
        if self.upstreams.pop(ident, None) is None:
            return
        self.views.pop(ident, None)
        self.log(
            events.UPSTREAM_CHANGED,
            peer=ident,
            service=upstream.service,
            state='gone',
        )
        self._index()

    def usable(self, service):
        """Return views of the upstreams of a service that take new work."""
        return self.by_service.get(service, ())

    def count(self, service):
        """Return how many upstreams a service has, also those that leave."""
        return sum(one.service == service for one in self.upstreams.values())

    def is_drained(self, service):
        """Return whether some upstream of a service is in a drained domain."""
        return any(
            one.service == service and one.domain in self.drained
            for one in self.upstreams.values()
        )

    def stage_upstreams(self, service):
        """Return the upstreams of a service that take new work."""
        return [self.upstreams[view.ident] for view in self.usable(service)]

    def _put(self, upstream):
        before = self.upstreams.get(upstream.ident)
        if before == upstream:
            self._note_cold(upstream)
            return
        if before is not None and upstream.born < before.born:
            # What the incarnation before said, and a slow write or read has
            # brought late.
            return
        self.upstreams[upstream.ident] = upstream
        if before is None or before.born != upstream.born:
            # An upstream that started again under its identifier knows nothing
            # of before. With the load, failures and requests under way of its
            # last incarnation it was taken for full or sick.
            self.views[upstream.ident] = UpstreamView(
                upstream.ident,
                upstream.address,
                upstream.domain,
                upstream.slots,
                upstream.born,
            )
        self._note_cold(upstream)
        self.log(
            events.UPSTREAM_CHANGED,
            peer=upstream.ident,
            service=upstream.service,
            address=upstream.address,
            born=upstream.born,
            state='leaving' if upstream.leaving else 'ready',
        )
        self._index()

    def _note_cold(self, upstream):
        """Take for how long an upstream says that it is cold.

        Explanation
        ===========

        Counted from now, not from when the entry was written: an old word makes
        it cold for too long, never too short.
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
            if upstream.leaving or upstream.domain in self.drained:
                continue
            views = by_service.setdefault(upstream.service, [])
            views.append(self.views[ident])
        self.by_service = by_service
        self._changed()

    def _changed(self):
        for listener in self.listeners:
            listener()
