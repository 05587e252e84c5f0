"""Random requests at a leaving entry host, and checks of how they end."""

from collections import Counter
from random import Random

from features.builders.entrygrace import GraceHost

_PIPELINES = ('chat', 'rank', 'book', 'rank-book', 'once-chat', 'long')
_REQUESTS = 24
_KEYED = ('book', 'rank-book', 'once-chat')
# Longest time before the signal at which a request is sent.
_LONGEST_BEFORE = 0.6
_HOLD_SHARES = (0.3, 0.7, 0.83, 0.9, 10.0)
# Upstreams that stand still, of ten.
_HELD_OF_TEN = 7
_WORK_SECONDS = (0.02, 0.2, 0.5)
_WHOLE_OR_TOLD = {
    'answered',
    'reset',
    '503 not-run',
    '502 failed',
    '502 unknown',
}


class GraceSweep:
    """One leaving host with random requests and upstreams that stand still.

    Parameters
    ==========

    grace : float
        Seconds of grace.
    seed : int
        Seed of requests, moments and silences.

    Attributes
    ==========

    sent : list of tuple
        Pipeline, key and caller of each request.
    ends : collections.Counter
        Number of requests by their end.
    """

    def __init__(self, grace, seed):
        self.rng = Random(seed)
        self.grace = grace
        self.host = GraceHost(
            grace, self.rng.choice(_WORK_SECONDS), seed, most=12
        )
        self.sent = []
        self.ends = Counter()

    def run(self):
        """Send the requests, stop the host and wait for the kill."""
        moments = [
            self.rng.uniform(0, _LONGEST_BEFORE) for _ in range(_REQUESTS)
        ]
        for number, moment in enumerate(sorted(moments)):
            passed = self.host.clock.seconds() - 1000
            self.host.advance(max(0, moment - passed))
            self._send(number)
        for name in self.host.upstreams:
            self._hold(name)
        self.host.stop()
        self.host.advance(self.grace)
        self.ends.update(caller.outcome() for _, _, caller in self.sent)

    def faults(self):
        """Return what is wrong with the ends, as a list of texts."""
        faults = [f'not told: {end}' for end in self.ends - _expected(self)]
        host = self.host
        if host.stopping != [None] or host.stopped_at >= host.killed_at:
            faults.append(f'stopped: {host.stopping} {host.stopped_at}')
        if host.node.core.ledger.broken:
            faults.append(f'broken: {host.node.core.ledger.broken}')
        for name, key, caller in self.sent:
            if caller.outcome() == '503 not-run' and self._has_run(caller):
                faults.append(f'{name} {key} ran')
        faults.extend(self._repeat_faults())
        return faults

    def _repeat_faults(self):
        """Send all keys again at the next host; none may book twice."""
        following = GraceHost(before=self.host)
        for name, key, _ in self.sent:
            if key:
                following.call(name, key)
        following.advance(3)
        booked = Counter()
        for host in (self.host, following):
            booked.update(key for key, _ in host.upstreams['b1'].keys)
        return [
            f'{key} ran {times}' for key, times in booked.items() if times > 1
        ]

    def _send(self, number):
        name = self.rng.choice(_PIPELINES)
        key = f'k{number}' if name in _KEYED else ''
        stream = self.rng.choice((True, False))
        caller = self.host.call(name, key, stream=stream)
        self.sent.append((name, key, caller))

    def _hold(self, name):
        if self.rng.randrange(10) < _HELD_OF_TEN:
            share = self.rng.choice(_HOLD_SHARES)
            self.host.hold(name, share * self.grace)

    def _has_run(self, caller):
        ident = caller.channel.request
        for upstream in self.host.upstreams.values():
            if any(run.startswith(f'{ident}/') for run in upstream.runs):
                return True
        return False


def _expected(sweep):
    return Counter(dict.fromkeys(_WHOLE_OR_TOLD, len(sweep.sent)))
