"""Random faults of a fleet, and what is checked while they strike."""

from random import Random

from features.builders.fleet import next_text, started_fleet
from pollenstile.bench.fleetworld import cut_domain

# A poll's period, and what a step of the check may add.
_LEAVING_LIMIT = 3.0
_CHECK = 0.25
_SETTLE = 20.0


class FaultRun:
    """A fleet under random faults.

    Parameters
    ==========

    hosts : int
        How many.
    seed : int
        Of all choices.

    Attributes
    ==========

    reverted : list
        Hosts that went back to a lower version.
    late : list
        Hosts that would give work to an upstream that has left for long.
    """

    __slots__ = (
        'late',
        'left_at',
        'number',
        'quiet_since',
        'random',
        'reverted',
        'seen',
        'world',
    )

    def __init__(self, hosts, seed):
        self.random = Random(seed)
        self.world = started_fleet(hosts, 4, 28, seed)
        self.seen = {}
        self.left_at = {}
        self.reverted = []
        self.late = []
        self.number = 0
        self.quiet_since = 0.0

    def strike(self):
        """Let one random fault strike, and some time pass."""
        self.random.choice(_FAULTS)(self)
        self.pass_time(self.random.uniform(0.2, 8.0))

    def pass_time(self, seconds):
        """Let time pass, checking all along."""
        ends = self.world.clock.seconds() + seconds
        while self.world.clock.seconds() < ends:
            self.world.run(_CHECK)
            self._check()

    def disturbed(self):
        """Note that hosts or ways between them changed."""
        self.quiet_since = self.world.clock.seconds()

    def heal(self, seconds):
        """End all faults, and let time pass."""
        world = self.world
        world.cut_pairs.clear()
        world.cut_platform.clear()
        world.store.down = False
        world.store.silent_watches = False
        for upstream in world.upstreams.values():
            upstream.dead = False
        for name in sorted(world.places.keys() - world.hosts.keys()):
            world.start(name)
        self.disturbed()
        self.pass_time(seconds)

    def _check(self):
        for name, host in self.world.hosts.items():
            before = self.seen.get(host, 0)
            if host.version < before:
                self.reverted.append((name, before, host.version))
            self.seen[host] = host.version
        now = self.world.clock.seconds()
        # News need ways: while hosts or ways have just changed, a host may be
        # one that none of them reaches.
        if self.world.cut_pairs or now - self.quiet_since < _SETTLE:
            return
        for name, left_at in self.left_at.items():
            dead = self.world.upstreams[name].dead
            if now - left_at > _LEAVING_LIMIT and not dead:
                late = self.world.givers(name)
                self.late.extend((one, name, now) for one in late)


def _apply(run):
    run.number += 1
    run.world.put(next_text(run.world, f'v{run.number}'))


def _kill(run):
    if len(run.world.hosts) > 3:
        run.world.kill(run.random.choice(sorted(run.world.hosts)))
        run.disturbed()


def _start(run):
    gone = sorted(run.world.places.keys() - run.world.hosts.keys())
    if gone:
        run.world.start(run.random.choice(gone))
        run.disturbed()


def _cut_peers(run):
    cut_domain(run.world, run.random.choice('abcd'))
    run.disturbed()


def _join_peers(run):
    run.world.cut_pairs.clear()
    run.disturbed()


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
    # Who can't be asked can't say that it leaves; the 3 s count from when it
    # can be asked again.
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
