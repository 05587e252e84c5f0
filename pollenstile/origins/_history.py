"""Software versions of services that a host has seen lately."""

# Seconds for which a version counts as seen after its last upstream has gone,
# and for which streams are remembered. Callers wait for their streams for less.
HISTORY_SECONDS = 60.0


class SoftwareHistory:
    """Versions that the registry has listed lately, by service.

    Explanation
    ===========

    One version in the list now does not prove that a stream began at it: the
    one that began it may just have been replaced. So the history is complete
    only if the host has followed the registry for long enough, or has read
    since then which versions any host has seen.

    Parameters
    ==========

    clock : IReactorTime
        Provides the time.
    is_fresh : function
        Returns whether the host is in contact with the store, itself or through
        another host.

    Attributes
    ==========

    gone_at : dict
        Time at which the last upstream of a version left the registry, or None
        while there is one, by version, by service.
    followed_since : float
        Time since which the host has followed the registry without a gap.
    told_at : dict
        Time at which a peer last told of a version, by version, by service.
    recorded_at : dict
        Time at which the store's record was first seen to have a version that
        it still has, since the last gap, by version, by service.
    confirmed_at : dict
        Time at which a proven record of versions was last read, by service.
    new_services : set of str
        Services whose first upstream appeared while the registry was followed.
    was_listed : bool
        Whether a full list of the registry was received.
    listeners : list of function
        Called with a service of which another version was seen.
    """

    __slots__ = (
        'clock',
        'confirmed_at',
        'followed_since',
        'gone_at',
        'in_gap',
        'is_fresh',
        'listeners',
        'new_services',
        'recorded_at',
        'told_at',
        'was_listed',
    )

    def __init__(self, clock, is_fresh):
        self.clock = clock
        self.is_fresh = is_fresh
        self.gone_at = {}
        self.followed_since = clock.seconds()
        self.in_gap = True
        self.told_at = {}
        self.recorded_at = {}
        self.confirmed_at = {}
        self.new_services = set()
        self.was_listed = False
        self.listeners = []

    def update(self, upstreams, *, is_listed=True):
        """Note the versions of all registered upstreams.

        Parameters
        ==========

        is_listed : bool
            Whether a full list of the registry was received.
        """
        now = self.clock.seconds()
        listed = {}
        for upstream in upstreams:
            versions = listed.setdefault(upstream.service, set())
            versions.add(upstream.software)
        if self.was_listed:
            self.new_services.update(listed.keys() - self.gone_at.keys())
        self.was_listed = is_listed
        for service, seen in self.gone_at.items():
            for software, gone_at in seen.items():
                if gone_at is None and software not in listed.get(service, ()):
                    seen[software] = now
        for service, versions in listed.items():
            self._note_listed(service, versions)

    def note_recorded(self, service, versions, *, is_proof):
        """Note the versions that any host has recorded of a service.

        Parameters
        ==========

        versions : iterable of str
            The recorded versions.
        is_proof : bool
            Whether no host has seen another version that is not recorded.
        """
        now = self.clock.seconds()
        if is_proof:
            self.confirmed_at[service] = now
        before = self.versions(service)
        noted = self.recorded_at.get(service, {})
        self.recorded_at[service] = {
            software: self._first_noted(noted.get(software, now))
            for software in versions
        }
        self._notify_of_new(service, before)

    def note_told(self, service, software):
        """Note a version that a peer has seen."""
        before = self.versions(service)
        told = self.told_at.setdefault(service, {})
        told[software] = self.clock.seconds()
        self._notify_of_new(service, before)

    def review(self):
        """Note the begin or the end of a gap; forget versions that are gone."""
        now = self.clock.seconds()
        is_fresh = self.is_fresh()
        if is_fresh and self.in_gap:
            self.followed_since = now
        if not is_fresh and not self.in_gap:
            self.new_services.clear()
        self.in_gap = not is_fresh
        oldest = now - HISTORY_SECONDS
        for seen in (*self.gone_at.values(), *self.told_at.values()):
            for software, seen_at in list(seen.items()):
                if seen_at is not None and seen_at < oldest:
                    seen.pop(software)

    def versions(self, service):
        """Return the versions of a service that any host has seen lately."""
        return self.listed_versions(service) | self.heard_versions(service)

    def listed_versions(self, service):
        """Return the versions that the registry has listed lately."""
        return self._recent(self.gone_at.get(service, {}))

    def present_versions(self, service):
        """Return the versions that the registry lists now."""
        seen = self.gone_at.get(service, {})
        return frozenset(
            software for software, gone_at in seen.items() if gone_at is None
        )

    def heard_versions(self, service):
        """Return the versions that peers and the record have named lately."""
        told = self._recent(self.told_at.get(service, {}))
        return told | self._recent(self.recorded_at.get(service, {}))

    def is_mixed(self, service):
        """Return whether several versions of a service were seen lately."""
        return len(self.versions(service)) > 1

    def is_complete(self, service):
        """Return whether no other version can have been seen by any host."""
        if self.confirmed_at.get(service, -1.0) >= self.followed_since:
            return True
        return self.has_followed()

    def is_in_contact(self):
        """Return whether the host is in contact with the store."""
        return self.is_fresh() and not self.in_gap

    def has_followed(self):
        """Return whether the registry was followed for long enough."""
        return self.clock.seconds() - self.followed_since >= HISTORY_SECONDS

    def seconds_since_gone(self, service, software):
        """Return the seconds since a version had an upstream; 0 if it has."""
        recorded_at = self.recorded_at.get(service, {}).get(software)
        gone_at = self.gone_at.get(service, {}).get(software, recorded_at)
        return 0.0 if gone_at is None else self.clock.seconds() - gone_at

    def _first_noted(self, noted_at):
        """Return when a version was noted, which is now after a gap."""
        if noted_at < self.followed_since:
            return self.clock.seconds()
        return noted_at

    def _recent(self, seen):
        """Return the versions whose time is None or lately."""
        oldest = self.clock.seconds() - HISTORY_SECONDS
        return frozenset(
            software
            for software, seen_at in seen.items()
            if seen_at is None or seen_at >= oldest
        )

    def _note_listed(self, service, versions):
        before = self.versions(service)
        seen = self.gone_at.setdefault(service, {})
        for software in versions:
            seen[software] = None
        self._notify_of_new(service, before)

    def _notify_of_new(self, service, before):
        """Call the listeners if a version is seen that was not before."""
        if self.versions(service) <= before:
            return
        for listener in self.listeners:
            listener(service)
