"""Load polls of upstreams, each by a few hosts of its domain."""

from twisted.internet.defer import Deferred

from pollenstile.ops.timers import cancel_timer
from pollenstile.peer import rank_candidates

# Hosts that poll one upstream, and seconds between polls of each of them.
WATCHERS = 2
POLL_SECONDS = 2.0
_TICK_SECONDS = 0.25
# Misses in a row after which a host reports an upstream as unreachable.
_MAX_MISSES = 2


class Poll:
    """Due time of an upstream's next poll, and missed answers in a row."""

    __slots__ = ('due_at', 'in_flight', 'misses', 'watchers')

    def __init__(self):
        self.due_at = 0.0
        self.in_flight = False
        self.misses = 0
        self.watchers = ()


class Watchers:
    """Polls this host's share of the domain's upstreams.

    Explanation
    ===========

    Each upstream has two watchers, chosen by rendezvous hashing over the live
    hosts of its domain, so that the work of a host stays constant while the
    fleet grows. The polls of the two are half a period apart. Where a domain
    has no live hosts, two hosts of the whole fleet poll its upstreams.

    Parameters
    ==========

    upstreams : Upstreams
        Receives the results of polls.
    read_load : function
        Takes a name and an upstream; returns a Deferred of ``Load``, or of
        None when there was no answer in time.
    random : random.Random
        Source of the jitter.
    """

    __slots__ = (
        'poll_count',
        'polls',
        'random',
        'read_load',
        'stopped',
        'timer',
        'upstreams',
    )

    def __init__(self, upstreams, read_load, random):
        self.upstreams = upstreams
        self.read_load = read_load
        self.random = random
        self.polls = {}
        self.poll_count = 0
        self.timer = None
        self.stopped = False

    def start(self):
        """Start the polls."""
        self._tick()

    def stop(self):
        """Stop the polls."""
        self.stopped = True
        cancel_timer(self.timer)

    def assign(self):
        """Recompute this host's share."""
        hosts = self.upstreams.hosts
        own = hosts.live.get(hosts.name)
        shares = {}
        if own is not None:
            shares = self._shares(own, hosts)
        now = self.upstreams.clock.seconds()
        for name, watchers in shares.items():
            poll = self.polls.setdefault(name, Poll())
            if poll.watchers != watchers:
                # Also when only the other watcher changes; otherwise the two
                # could continue to poll at the same time.
                rank = watchers.index(own.name)
                poll.due_at = now + _first_delay(name, rank, now)
                poll.watchers = watchers
        for name in self.polls.keys() - shares.keys():
            self.polls.pop(name)

    def _shares(self, own, hosts):
        shares = {}
        responsible = {}
        for name, (_, upstream) in self.upstreams.declared.items():
            domain = upstream.domain
            if domain not in responsible:
                responsible[domain] = hosts.responsible_for(domain)
            if own.name not in responsible[domain]:
                continue
            watchers = rank_candidates(name, responsible[domain], WATCHERS)
            if own.name in watchers:
                shares[name] = watchers
        return shares

    def _tick(self):
        clock = self.upstreams.clock
        now = clock.seconds()
        for name, poll in list(self.polls.items()):
            if not poll.in_flight and now >= poll.due_at:
                Deferred.fromCoroutine(self._ask(name, poll, now))
        self.timer = clock.callLater(_TICK_SECONDS, self._tick)

    async def _ask(self, name, poll, now):
        poll.in_flight = True
        poll.due_at = now + POLL_SECONDS
        self.poll_count += 1
        upstream = self.upstreams.declared[name][1]
        try:
            load = await self.read_load(name, upstream)
        finally:
            poll.in_flight = False
        if self.stopped or self.polls.get(name) is not poll:
            return
        if load is None:
            poll.misses += 1
            if poll.misses >= _MAX_MISSES:
                self.upstreams.record_missed(name)
            return
        poll.misses = 0
        self.upstreams.record_poll(name, load, now)
        self.upstreams.record_reached(name, poll.watchers)
        self.upstreams.tracker.reported(name, load)


def _first_delay(name, rank, now):
    # The second watcher of an upstream polls half a period after the first, so
    # both count their offsets from zero on the clock, not from their own start.
    offset = sum(name.encode()) % 8 * POLL_SECONDS / 8
    offset += rank * POLL_SECONDS / WATCHERS
    return (offset - now) % POLL_SECONDS
