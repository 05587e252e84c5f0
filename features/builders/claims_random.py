"""Random scenarios of claims, checked for invariants."""

from random import Random

from features.builders.claims import WINDOW, ClaimsWorld

_KEYS = ('a', 'b', 'c', 'd')
_FAULTS = ('answer-lost', 'request-lost', 'late')
# A run starts after its claim, within the request's deadline.
_RUN_SLACK_SECONDS = 5.0
_ACTION_COUNT = 70


class RandomScenario:
    """A world, and a sequence of random actions derived from one seed.

    Explanation
    ===========

    With an even seed, hosts forward appends of claims to each other.

    Attributes
    ==========

    violations : list of str
        Descriptions of the violations found.
    counts : dict
        Number of outcomes by tag.
    """

    def __init__(self, seed):
        self.rng = Random(seed)
        self.world = ClaimsWorld(hosts=4, seed=seed, shards=2)
        self.world.store.timeout = 0.5
        self.is_forwarding = seed % 2 == 0
        for host in self.world.hosts.values():
            self._forward(host)
        self.sent_requests = []
        self.checked_runs = 0
        self.last_run = {}
        self.violations = []
        self.counts = {}

    def run(self):
        """Run the actions, heal all faults, check; return the scenario."""
        for _ in range(_ACTION_COUNT):
            self.rng.choice(_ACTIONS)(self)
            self._advance(self.rng.choice((0.003, 0.01, 0.05, 0.3, 2.0)))
        self._heal()
        self._advance(10.0)
        self._check_outcomes()
        return self

    def ask(self):
        """Send a request with one of four keys to one host or to two."""
        key = self.rng.choice(_KEYS)
        for _ in range(self.rng.choice((1, 1, 2))):
            host = self._pick_host()
            outcome = host.ask(key)
            ident = list(self.world.requests)[-1]
            self.sent_requests.append((ident, key, host, outcome))

    def replace(self):
        """Kill a host and start one of the same name."""
        host = self._pick_host()
        host.kill()
        self._forward(self.world.start(host.name))

    def pause(self):
        """Pause a host, or resume it if it is paused."""
        host = self._pick_host()
        if host.clock.paused:
            host.clock.resume()
            return
        host.clock.paused = True

    def fail_writes(self):
        """Inject faults into the next writes of a host."""
        store_link = self._pick_host().store_link
        store_link.faults = self.rng.choices(_FAULTS, k=self.rng.randint(1, 3))

    def cut_store(self):
        """Cut a host off from the store, or reconnect it."""
        self._pick_host().store_link.cut = self._chance(30)

    def cut_peers(self):
        """Cut up to two hosts off from their peers, or reconnect all."""
        self.world.cut = {self._pick_host().name, self._pick_host().name}
        if self._chance(50):
            self.world.cut.clear()

    def change_store(self):
        """Make the store unavailable, slow or healthy."""
        self.world.store.down = self._chance(15)
        self.world.store.latency = self.rng.choice((0.005, 0.005, 0.3))

    def change_upstream(self):
        """Make the service refuse, freeze or work."""
        faults = self.world.booking.faults
        faults.refusing = self._chance(30)
        faults.frozen = self._chance(20)

    def skip_window(self):
        """Advance past the window, so that claims expire and are truncated."""
        if self._chance(30):
            self._advance(_RUN_SLACK_SECONDS)
            self._advance(WINDOW + 200.0)

    def _forward(self, host):
        if self.is_forwarding:
            host.forward(
                lambda: list(self.world.hosts),
                lambda: self._chance(30),
            )

    def _chance(self, percent):
        return self.rng.randrange(100) < percent

    def _pick_host(self):
        return self.rng.choice(list(self.world.hosts.values()))

    def _advance(self, seconds):
        self.world.advance(seconds)
        for key, _ in self.world.booking.keys[self.checked_runs :]:
            now = self.world.clock.seconds()
            before = self.last_run.get(key)
            if (
                before is not None
                and now - before < WINDOW - _RUN_SLACK_SECONDS
            ):
                self.violations.append(f'{key} ran at {before} and {now}')
            self.last_run[key] = now
        self.checked_runs = len(self.world.booking.keys)

    def _heal(self):
        self.world.store.down = False
        self.world.store.latency = 0.005
        self.world.cut.clear()
        self.world.booking.faults.refusing = False
        self.world.booking.faults.frozen = False
        for host in self.world.hosts.values():
            host.store_link.cut = False
            host.store_link.faults = []
            host.clock.resume()

    def _check_outcomes(self):
        ran = {name.partition('/')[0] for name in self.world.booking.runs}
        for ident, key, host, outcomes in self.sent_requests:
            if host.clock.dead:
                continue
            if len(outcomes) != 1:
                self.violations.append(f'{ident} has {len(outcomes)} outcomes')
                continue
            self._check(ident, key, outcomes[0], ran)
        for name, ident in self.world.broken_invariants():
            self.violations.append(f'{name}: {ident}')

    def _check(self, ident, key, outcome, ran):
        tag = getattr(outcome, 'tag', 'crashed')
        self.counts[tag] = self.counts.get(tag, 0) + 1
        if tag == 'crashed':
            self.violations.append(f'{ident} crashed: {outcome}')
        if tag == 'not-run' and ident in ran:
            self.violations.append(f'{ident} was told not run, but ran')
        if tag != 'answered':
            return
        if self.world.requests.get(outcome.output['for']) != key:
            self.violations.append(f"{ident} got another key's answer")


_ACTIONS = (
    RandomScenario.ask,
    RandomScenario.ask,
    RandomScenario.ask,
    RandomScenario.ask,
    RandomScenario.ask,
    RandomScenario.replace,
    RandomScenario.pause,
    RandomScenario.pause,
    RandomScenario.fail_writes,
    RandomScenario.fail_writes,
    RandomScenario.cut_store,
    RandomScenario.cut_peers,
    RandomScenario.change_store,
    RandomScenario.change_upstream,
    RandomScenario.skip_window,
)
