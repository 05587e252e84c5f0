"""Random stories of claims, checked for what must always hold."""

from random import Random

from features.builders.claims import WINDOW, ClaimsWorld

_KEYS = ('a', 'b', 'c', 'd')
_FAULTS = ('answer-lost', 'request-lost', 'late')
# The run of a claim follows it within the deadline.
_SLACK = 5.0
_STEPS = 70


class RandomStory:
    """A world, and what happens to it by one seed.

    Explanation
    ===========

    Hosts of even seeds have each other append their claims.

    Attributes
    ==========

    faults : list of str
        What was found broken, in words.
    counts : dict
        Outcomes by tag.
    """

    def __init__(self, seed):
        self.rng = Random(seed)
        self.world = ClaimsWorld(hosts=4, seed=seed, shards=2)
        self.world.store.timeout = 0.5
        self.forwards = seed % 2 == 0
        for host in self.world.hosts.values():
            self._forward(host)
        self.asked = []
        self.seen = 0
        self.last_run = {}
        self.faults = []
        self.counts = {}

    def told(self):
        """Let it all happen, heal everything, check; return itself."""
        for _ in range(_STEPS):
            self.rng.choice(_ACTIONS)(self)
            self._pass(self.rng.choice((0.003, 0.01, 0.05, 0.3, 2.0)))
        self._heal()
        self._pass(10.0)
        self._check_outcomes()
        return self

    def ask(self):
        """Send a request with one of a few keys to one host, or to two."""
        key = self.rng.choice(_KEYS)
        for _ in range(self.rng.choice((1, 1, 2))):
            host = self._host()
            outcome = host.ask(key)
            ident = list(self.world.requests)[-1]
            self.asked.append((ident, key, host, outcome))

    def replace(self):
        """Kill a host, and start one of the same name."""
        host = self._host()
        host.kill()
        self._forward(self.world.start(host.name))

    def pause(self):
        """Pause a host, or let it go on."""
        host = self._host()
        if host.clock.paused:
            host.clock.resume()
            return
        host.clock.paused = True

    def lose(self):
        """Let the next writes of a host meet faults."""
        way = self._host().way
        way.faults = self.rng.choices(_FAULTS, k=self.rng.randint(1, 3))

    def cut_store(self):
        """Cut a host off from the store, or undo it."""
        self._host().way.cut = self._happens(30)

    def cut_peers(self):
        """Cut up to two hosts off from their peers, or undo it."""
        self.world.cut = {self._host().name, self._host().name}
        if self._happens(50):
            self.world.cut.clear()

    def turn_store(self):
        """Turn the store down, slow or well."""
        self.world.store.down = self._happens(15)
        self.world.store.latency = self.rng.choice((0.005, 0.005, 0.3))

    def turn_upstream(self):
        """Let the service refuse, freeze or work."""
        faults = self.world.booking.faults
        faults.refusing = self._happens(30)
        faults.frozen = self._happens(20)

    def skip_window(self):
        """Let claims expire, and be folded by those that go on."""
        if self._happens(30):
            self._pass(_SLACK)
            self._pass(WINDOW + 200.0)

    def _forward(self, host):
        if self.forwards:
            host.forward(
                lambda: list(self.world.hosts),
                lambda: self._happens(30),
            )

    def _happens(self, percent):
        return self.rng.randrange(100) < percent

    def _host(self):
        return self.rng.choice(list(self.world.hosts.values()))

    def _pass(self, seconds):
        self.world.passed(seconds)
        for key, _ in self.world.booking.keys[self.seen :]:
            now = self.world.clock.seconds()
            before = self.last_run.get(key)
            if before is not None and now - before < WINDOW - _SLACK:
                self.faults.append(f'{key} ran at {before} and {now}')
            self.last_run[key] = now
        self.seen = len(self.world.booking.keys)

    def _heal(self):
        self.world.store.down = False
        self.world.store.latency = 0.005
        self.world.cut.clear()
        self.world.booking.faults.refusing = False
        self.world.booking.faults.frozen = False
        for host in self.world.hosts.values():
            host.way.cut = False
            host.way.faults = []
            host.clock.resume()

    def _check_outcomes(self):
        ran = {name.partition('/')[0] for name in self.world.booking.runs}
        for ident, key, host, outcomes in self.asked:
            if host.clock.dead:
                continue
            if len(outcomes) != 1:
                self.faults.append(f'{ident} has {len(outcomes)} outcomes')
                continue
            self._check(ident, key, outcomes[0], ran)
        for name, ident in self.world.broken():
            self.faults.append(f'{name}: {ident}')

    def _check(self, ident, key, outcome, ran):
        tag = getattr(outcome, 'tag', 'crashed')
        self.counts[tag] = self.counts.get(tag, 0) + 1
        if tag == 'crashed':
            self.faults.append(f'{ident} crashed: {outcome}')
        if tag == 'not-run' and ident in ran:
            self.faults.append(f'{ident} was told not run, but ran')
        if tag != 'answered':
            return
        if self.world.requests.get(outcome.output['for']) != key:
            self.faults.append(f"{ident} got another key's answer")


_ACTIONS = (
    RandomStory.ask,
    RandomStory.ask,
    RandomStory.ask,
    RandomStory.ask,
    RandomStory.ask,
    RandomStory.replace,
    RandomStory.pause,
    RandomStory.pause,
    RandomStory.lose,
    RandomStory.lose,
    RandomStory.cut_store,
    RandomStory.cut_peers,
    RandomStory.turn_store,
    RandomStory.turn_upstream,
    RandomStory.skip_window,
)
