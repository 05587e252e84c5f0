"""Failure domains whose upstreams get nothing new, as an operator asked."""

from pollenstile.forward import events
from pollenstile.ops.logs import silent_log

# Kind of the store's entries, one for each drained domain, by its name.
DRAINED = 'drained-domains'
_MS = 1000


class DrainedDomains:
    """What the store says of drained domains, handed to the registry.

    Explanation
    ===========

    An entry stands for as long as the domain is drained. It comes by the same
    watch, reader and word to the followers as the registry. A host that is cut
    off from all of them goes by what it was told last.

    Parameters
    ==========

    registry : Registry
        Leaves the upstreams of drained domains out.
    clock : IReactorTime
        Seconds.
    log : function
        Writes events.

    Attributes
    ==========

    since : dict
        On the clock: when this host heard of each drained domain.
    """

    __slots__ = ('clock', 'log', 'registry', 'since')

    def __init__(self, registry, clock, log=silent_log):
        self.registry = registry
        self.clock = clock
        self.log = log
        self.since = {}

    def take(self, change):
        """Take a change of an entry; what it holds does not matter."""
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
        """Return the seconds since each drained domain was heard of."""
        now = self.clock.seconds()
        return {domain: now - since for domain, since in self.since.items()}

    def note_listed(self):
        """Note that a whole list has come."""
        self.log(events.DRAINS_KNOWN, domains=sorted(self.since))

    def _upstreams_in(self, domain):
        upstreams = self.registry.upstreams.values()
        return sum(one.domain == domain for one in upstreams)
