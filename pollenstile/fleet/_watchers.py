"""Asking upstreams for their state, each by a few hosts of its domain."""

from twisted.internet.defer import Deferred

from pollenstile.peer import rank_candidates


WATCHERS = 2
POLL_SECONDS = 2.0
_TICK = 0.25
_MISSES = 2


class Poll:
    """When an upstream is asked next, and how often it did not answer."""

    __slots__ = ('asking', 'at', 'misses', 'watchers')

    def __init__(self):
        self.at = 0.0
        self.asking = False
        self.misses = 0
        self.watchers = ()


class Watchers:
    """Polls the own share of the domain's upstreams.

    Explanation
    ===========

    Each upstream has two watchers, by rendezvous over the live hosts of its
    domain, so that the work of a host stays flat while the fleet grows. The
    polls of the two are half a period apart. Where a domain has no live hosts,
    two of the whole fleet take its upstreams.

    Parameters
    ==========

    upstreams : Upstreams
        Takes what is seen.
    read_load : function
        Takes a name and an upstream; returns a Deferred of ``Load``, or of
        None when there was no answer in time.
    random : random.Random
        Source of the jitter.
    """

    __slots__ = (
        'polls',
        'random',
        'read_load',
        'sent',
        'stopped',
        'timer',
        'upstreams',
    )

    def __init__(self, upstreams, read_load, random):
        self.upstreams = upstreams
        self.read_load = read_load
        self.random = random
        self.polls = {}
        self.sent = 0
        self.timer = None
        self.stopped = False

    def start(self):
        """Poll from now on."""
        self._tick()

    def stop(self):
        """Poll no more."""
        self.stopped = True
        if self.timer is not None and self.timer.active():
            self.timer.cancel()

    def assign(self):
        """Work out the own share again."""
        hosts = self.upstreams.hosts
        own = hosts.live.get(hosts.name)
        shares = {}
        if own is not None:
            shares = self._shares(own, hosts)
        now = self.upstreams.clock.seconds()
        for name, watchers in shares.items():
            poll = self.polls.setdefault(name, Poll())
            if poll.watchers != watchers:
                # Also when the other watcher changes, or the two would go on
                # asking at one instant.
                place = watchers.index(own.name)
                poll.at = now + _first_wait(name, place, now)
                poll.watchers = watchers
        for name in self.polls.keys() - shares.keys():
            self.polls.pop(name)

    def _shares(self, own, hosts):
        shares = {}
        near = {}
        for name, (_, upstream) in self.upstreams.declared.items():
            domain = upstream.domain
            if domain not in near:
                near[domain] = hosts.near(domain)
            if own.name not in near[domain]:
                continue
            watchers = rank_candidates(name, near[domain], WATCHERS)
            if own.name in watchers:
                shares[name] = watchers
        return shares

    def _tick(self):
        clock = self.upstreams.clock
        now = clock.seconds()
        for name, poll in list(self.polls.items()):
            if not poll.asking and now >= poll.at:
                Deferred.fromCoroutine(self._ask(name, poll, now))
        self.timer = clock.callLater(_TICK, self._tick)

    async def _ask(self, name, poll, now):
        poll.asking = True
        poll.at = now + POLL_SECONDS
        self.sent += 1
        upstream = self.upstreams.declared[name][1]
        try:
            load = await self.read_load(name, upstream)
        finally:
            poll.asking = False
        if self.stopped or self.polls.get(name) is not poll:
            return
        if load is None:
            poll.misses += 1
            if poll.misses >= _MISSES:
                self.upstreams.missed(name)
            return
        poll.misses = 0
        self.upstreams.polled(name, load, now)
        self.upstreams.reached(name, poll.watchers)
        self.upstreams.tracker.reported(name, load)


def _first_wait(name, place, now):
    # Watchers of one upstream take turns: the second asks half a period
    # after the first, by the clock and not by when each began.
    offset = sum(name.encode()) % 8 * POLL_SECONDS / 8
    offset += place * POLL_SECONDS / WATCHERS
    return (offset - now) % POLL_SECONDS
