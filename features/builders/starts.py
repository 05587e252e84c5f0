"""Builders of hosts that have just started and queue stage work."""

from random import Random

from twisted.internet.defer import Deferred

from features.builders.stagework import LIMITS, SERVICE, group
from pollenstile.bench._stagehosts import HostFleet

_ONE_WAY_SECONDS = 0.0015
_LEAVE_OUT_SECONDS = 0.3
_LINK_SECONDS = 0.05


def fleet_of(hosts):
    """Return hosts that are linked to the owner of a queue."""
    return HostFleet({SERVICE: LIMITS}, hosts, _ONE_WAY_SECONDS)


class StartedHost:
    """A host that has just started again, and the group that it gets.

    Parameters
    ==========

    hosts : int
        The number of hosts of the fleet.

    Attributes
    ==========

    fleet : HostFleet
        The hosts.
    owner : StageHost
        The host that owns the queue; the only host if there is one.
    host : StageHost
        The host that has started.
    queued_at : dict
        Time at which a group was queued, by host.
    """

    def __init__(self, hosts):
        self.fleet = fleet_of(hosts)
        self.owner = self.fleet.owner_of(SERVICE)
        others = [host for host in self.fleet.hosts if host is not self.owner]
        started = others[0] if others else self.owner
        started.lose_power()
        self.fleet.advance(_LEAVE_OUT_SECONDS)
        self.queued_at = {}
        self.host = self._restart(started)
        self.began_at = 0.0

    def lose_links(self, connect):
        """Close the links of the host and replace how it opens connections."""
        self.fleet.advance(_LINK_SECONDS)
        hub = self.host.hub
        for link in hub.all_links():
            hub.drop(link, 'lost')
        hub.dialer.connect = connect
        hub.dialer.dials.clear()

    def submit(self):
        """Let the host get a group of one piece."""
        now = self.fleet.clock.seconds()
        self.began_at = now
        piece = group(due=now + 2, deadline=now + 8)
        self.host.client.submit(piece, _ignore)

    def wait_seconds(self):
        """Return for how long the group waited, and the host that queued it."""
        name = next(iter(self.queued_at), '')
        return self.queued_at.get(name, 0.0) - self.began_at, name

    def _restart(self, started):
        place = self.fleet.hosts.index(started)
        self.fleet.restart(started)
        host = self.fleet.hosts[place]
        host.client.owner_wait.expect()
        for member in self.fleet.hosts:
            self._record_submits(member)
        return host

    def _record_submits(self, member):
        owner = member.owner(SERVICE)

        def submit(group, on_read):
            self.queued_at[member.name] = self.fleet.clock.seconds()
            return Deferred()

        member.client.owner = lambda _: _RecordingOwner(owner, submit)


class _RecordingOwner:
    """A queue that records the groups that it gets."""

    def __init__(self, owner, submit):
        self.owner = owner
        self.submit = submit

    def __getattr__(self, name):
        return getattr(self.owner, name)


def lose_all(fleet, spread, away=1.2, seed=1):
    """End all hosts; they come back spread over a time, the owner last."""
    rng = Random(seed)
    owner = fleet.owner_of(SERVICE)
    for host in list(fleet.hosts):
        host.lose_power()
        wait = spread if host is owner else rng.uniform(0, spread)
        fleet.clock.callLater(away + wait, fleet.restart, host)
    fleet.advance(away + spread)


def _ignore():
    """Ignore that inputs were read."""
