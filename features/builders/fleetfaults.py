"""Random faults of a fleet, with checks while they occur."""

from random import Random

from features.builders.fleet import next_text, started_fleet
from pollenstile.bench.fleetworld import cut_domain

# The period of a poll, with a margin for the interval of the check.
_LEAVING_LIMIT_SECONDS = 3.0
_CHECK_SECONDS = 0.25
_SETTLE_SECONDS = 20.0


class FaultRun:
    """A fleet under random faults.

    Parameters
    ==========

    hosts : int
        Number of hosts.
    seed : int
        Seed of all random choices.

    Attributes
    ==========

    reverted : list
        Hosts that returned to a lower version.
    late : list
        Hosts that would still send work to a leaving upstream after the limit.
    """

    __slots__ = (
        'disturbed_at',
        'last_versions',
        'late',
        'left_at',
        'number',
        'random',
        'reverted',
        'world',
    )

    def __init__(self, hosts, seed):
        self.random = Random(seed)
        self.world = started_fleet(hosts, 4, 28, seed)
        self.last_versions = {}
        self.left_at = {}
        self.reverted = []
        self.late = []
        self.number = 0
        self.disturbed_at = 0.0

    def inject_fault(self):
        """Inject one random fault and advance the clock."""
        self.random.choice(_FAULTS)(self)
        self.pass_time(self.random.uniform(0.2, 8.0))

    def pass_time(self, seconds):
        """Advance the clock and check the hosts in each step."""
        end = self.world.clock.seconds() + seconds
        while self.world.clock.seconds() < end:
            self.world.run(_CHECK_SECONDS)
            self._check()

    def record_disturbance(self):
        """Record that hosts or connections between them have changed."""
        self.disturbed_at = self.world.clock.seconds()

    def clear_faults(self, seconds):
        """End all faults and advance the clock."""
        world = self.world
        world.cut_pairs.clear()
        world.cut_platform.clear()
        world.store.down = False
        world.store.silent_watches = False
        for upstream in world.upstreams.values():
            upstream.dead = False
        for name in sorted(world.host_locations.keys() - world.hosts.keys()):
            world.start(name)
        self.record_disturbance()
        self.pass_time(seconds)

    def _check(self):
        for name, host in self.world.hosts.items():
            before = self.last_versions.get(host, 0)
            if host.version < before:
                self.reverted.append((name, before, host.version))
            self.last_versions[host] = host.version
        now = self.world.clock.seconds()
        # Right after hosts or connections have changed, updates may not reach
        # all hosts.
        if self.world.cut_pairs or now - self.disturbed_at < _SETTLE_SECONDS:
            return
        for name, left_at in self.left_at.items():
            dead = self.world.upstreams[name].dead
            if now - left_at > _LEAVING_LIMIT_SECONDS and not dead:
                late = self.world.dispatching_hosts(name)
                self.late.extend((giver, name, now) for giver in late)


def _apply(run):
    run.number += 1
    run.world.put(next_text(run.world, f'v{run.number}'))


def _kill(run):
    if len(run.world.hosts) > 3:
        run.world.kill(run.random.choice(sorted(run.world.hosts)))
        run.record_disturbance()


def _start(run):
    gone = sorted(run.world.host_locations.keys() - run.world.hosts.keys())
    if gone:
        run.world.start(run.random.choice(gone))
        run.record_disturbance()


def _cut_peers(run):
    cut_domain(run.world, run.random.choice('abcd'))
    run.record_disturbance()


def _join_peers(run):
    run.world.cut_pairs.clear()
    run.record_disturbance()


def _cut_platform(run):
    run.world.cut_platform.add(run.random.choice('abcd'))


def _join_platform(run):
    run.world.cut_platform.clear()
    run.world.store.silent_watches = False


def _flip_store(run):
    run.world.store.down = not run.world.store.down


def _silence_watches(run):
    run.world.store.silent_watches = True


def _leave(run):
    name = run.random.choice(sorted(run.world.upstreams))
    upstream = run.world.upstreams[name]
    if not upstream.leaving and not upstream.dead:
        upstream.leaving = True
        run.left_at[name] = run.world.clock.seconds()


def _replace(run):
    if run.left_at:
        name = run.random.choice(sorted(run.left_at))
        run.left_at.pop(name)
        run.world.upstreams[name].restart()


def _flip_upstream(run):
    name = run.random.choice(sorted(run.world.upstreams))
    upstream = run.world.upstreams[name]
    upstream.dead = not upstream.dead
    # An unreachable upstream can't report that it is leaving; the 3 s count
    # from the time at which it can be polled again.
    if upstream.leaving:
        run.left_at[name] = run.world.clock.seconds()


_FAULTS = (
    _apply,
    _apply,
    _kill,
    _start,
    _start,
    _cut_peers,
    _join_peers,
    _cut_platform,
    _join_platform,
    _flip_store,
    _silence_watches,
    _leave,
    _leave,
    _replace,
    _flip_upstream,
)
