"""Tracks failure domains that an operator drained; they get no new work."""

from functools import partial

from pollenstile.forward import events
from pollenstile.forward._absent import AbsentEntries
from pollenstile.ops.logs import silent_log

# Kind of the store's entries, one per drained domain, named after it.
DRAINED = 'drained-domains'
_MS = 1000
# Seconds for which a domain stays drained whose entry the store lacks since its
# return from an older copy: the operator writes it again, or has deleted it.
_LOST_SECONDS = 10.0


class DrainedDomains:
    """Tracks the drained domains in the store and passes them to the registry.

    Explanation
    ===========

    An entry exists for as long as the domain is drained. Changes arrive by the
    same watches, readers and relay updates as those of the registry. A host
    that is cut off from all of them keeps the last known state.

    Parameters
    ==========

    registry : Registry
        Excludes the upstreams of drained domains.
    clock : IReactorTime
        Source of the time in seconds.
    log : function
        Writes events.

    Attributes
    ==========

    since : dict
        Time on the clock at which this host learned of each drained domain.
    absent : AbsentEntries
        Drained domains whose entries the store lacks since its return from an
        older copy.
    """

    __slots__ = ('absent', 'clock', 'log', 'registry', 'since')

    def __init__(self, registry, clock, log=silent_log):
        self.registry = registry
        self.clock = clock
        self.log = log
        self.since = {}
        self.absent = AbsentEntries(clock)

    def take(self, change):
        """Apply the creation or deletion of an entry; its value is unused."""
        self.absent.end(change.name)
        if change.value is None and change.after_return:
            self.absent.keep(
                change.name, _LOST_SECONDS, partial(self._apply, change)
            )
            return
        self._apply(change)

    def _apply(self, change):
        domain = change.name
        now = self.clock.seconds()
        was_drained = domain in self.since
        if change.value is None and was_drained:
            drained_for = now - self.since.pop(domain)
            self.log(
                events.DOMAIN_RETURNED,
                domain=domain,
                revision=change.revision,
                drained_ms=int(drained_for * _MS),
            )
        elif change.value is not None and not was_drained:
            self.since[domain] = now
            self.log(
                events.DOMAIN_DRAINED,
                level='warning',
                domain=domain,
                revision=change.revision,
                upstreams=self._upstreams_in(domain),
            )
        self.registry.drain(frozenset(self.since))

    def ages(self):
        """Return the seconds since this host learned of each drained domain."""
        now = self.clock.seconds()
        return {domain: now - since for domain, since in self.since.items()}

    def note_listed(self):
        """Log that a full list was received."""
        self.log(events.DRAINS_KNOWN, domains=sorted(self.since))

    def _upstreams_in(self, domain):
        upstreams = self.registry.upstreams.values()
        return sum(upstream.domain == domain for upstream in upstreams)
