"""Simulate hosts and upstreams with random times of requests and crashes."""

from random import Random

from pollenstile.bench._crashworld import RETRY_SLACK, CrashWorld
from pollenstile.bench._domainworld import DomainWorld


class SeededWorld(CrashWorld):
    """Hosts and upstreams, and events at times that a seed gives.

    Parameters
    ==========

    seed : int
        Seed of the callers and of the faults.
    """

    __slots__ = ('rng',)

    def __init__(
        self, hosts, upstreams, domains, route='resumed', slots=0, seed=1
    ):
        self.rng = Random(seed)
        super().__init__(hosts, upstreams, domains, route, slots)

    def make_fleet(self, hosts, domains):
        """Return the started hosts, which know no upstream but the world's."""
        return DomainWorld(
            hosts, domains, has_upstream=False, repeat_slack=RETRY_SLACK
        )

    def now(self):
        """Return the time on the virtual clock."""
        return self.fleet.clock.seconds()

    def later(self, seconds, call, *arguments):
        """Call a function after some seconds."""
        self.fleet.clock.callLater(seconds, call, *arguments)

    def schedule_randomly(self, rate, seconds, call):
        """Call a function at random times, ``rate`` times a second."""
        if not rate:
            return
        moment = self.rng.expovariate(rate)
        while moment < seconds:
            self.later(moment, call)
            moment += self.rng.expovariate(rate)

    def crash_upstream(self):
        """Crash a random upstream; it starts again at its address."""
        running = self.upstreams.running()
        if running:
            self.upstreams.crash(self.rng.choice(running))
