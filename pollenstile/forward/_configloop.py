"""The reads of the configuration, one after the other, also through outages."""

from twisted.internet.defer import Deferred

from pollenstile.forward import events
from pollenstile.forward._configreads import newer_config, whole_config
from pollenstile.ops.logs import silent_log
from pollenstile.platform import Compacted, Unavailable, fork_deferred, paused

# Seconds between reads. A change has to be in force within 2 s of its write;
# this leaves one failed read and the answer's way.
_READ_PERIOD = 1.2
# The same while other hosts rely on this one's reads: their word is taken for
# 1.2 s after a read was sent, a slow store's answer and the jitter included.
_FOLLOWED_PERIOD = 0.8
# Seconds for which the store may hold a read while nothing is new: it need not,
# an answer without changes is a proof at any moment.
_LEAST_HOLD = 0.001
# The same for a large configuration, whose reads follow one another. A change
# is answered at once, so a storm of them comes one by one: 25 versions of
# 350 kB in 1.5 s would be answered with nine megabytes at a time.
_LARGE_HOLD = 0.9
_FOLLOWED_HOLD = 0.4
# Characters of its text from which a configuration is large.
_LARGE_TEXT = 64_000
# Seconds between a change and the read of the whole that looks whether it was
# the last one. A watch would answer a storm of changes with every version.
_SETTLE = 0.25
# Seconds without news of the store after which the whole is read: what a watch
# over such a gap brings has no bound.
_LONG_GAP = 3.0
# Seconds after which a read of the whole that is not answered gets another one
# beside it: 350 kB take 0.6 s of a link of 5 Mbit/s.
_WHOLE_SECONDS = 1.2
# Seconds between looks whether a host that follows another one has to read.
_COVERED_PAUSE = 0.1
# Seconds beyond its hold within which a store that is sound answers a read; a
# slow one takes 0.24 s.
_HEARD_SECONDS = 0.2
# Seconds beyond its hold after which a read that is not answered gets another
# one beside it, and how many may be under way: a slow store answers within
# 0.3 s, one that is silent is not given more than one call in half a second.
_RETRY_PERIOD = 0.5
_MOST_READS = 3


class ConfigurationLoop:
    """Reads the configuration over and over.

    Parameters
    ==========

    store : Store
        Linearizable reads.
    clock : IReactorTime
        Paces them.
    random : random.Random
        Source of the jitter.
    configuration : Configuration
        Takes what they show.

    Attributes
    ==========

    failures : int
        Reads in a row without an answer.
    away_at : float
        On the suspend clock: when a read has shown last that the store is out
        of reach, as it failed or had no answer where a sound store gives one.
    silent : bool
        Whether a read had no answer in its time, and none came since.
    under_way, whole_under_way : int
        Reads that are not answered yet, and those of the whole among them.
    whole_at, whole_took : float
        When the whole was asked for last, and seconds until it was there.
    read_at : float
        On the suspend clock: when the latest read that was answered here was
        sent; another host's proof does not count.
    idle : Deferred or None
        Fires when it is time to look whether a read is needed.
    covered : function
        Returns whether another host's word makes reads needless.
    is_answering : function
        Returns whether an answer of the store is coming in now.
    followed : function
        Returns whether other hosts rely on this one's reads.
    on_read : function or None
        Called with whether a read was answered.
    """

    __slots__ = (
        'unreachable_at',
        'clock',
        'configuration',
        'can_skip_reads',
        'failures',
        'has_followers',
        'idle',
        'is_answering',
        'log',
        'on_read',
        'random',
        'read_at',
        'running',
        'silent',
        'store',
        'under_way',
        'whole_at',
        'whole_took',
        'whole_under_way',
    )

    def __init__(self, store, clock, random, configuration, log=silent_log):
        self.store = store
        self.clock = clock
        self.random = random
        self.configuration = configuration
        self.log = log
        self.can_skip_reads = _never
        self.has_followers = _never
        self.is_answering = _never
        self.on_read = None
        self.idle = None
        self.failures = 0
        self.silent = False
        self.unreachable_at = -1000.0
        self.under_way = 0
        self.whole_under_way = 0
        self.whole_at = -1000.0
        self.whole_took = 0.0
        self.read_at = -1000.0
        self.running = True

    async def run(self):
        """Read until stopped.

        Explanation
        ===========

        A read that is on its way as the store falls silent is given up late.
        Others are sent meanwhile, so that the store's return is noticed by
        the first that it answers.
        """
        while self.running:
            if self.can_skip_reads():
                await self._idle()
                continue
            began = self.clock.seconds()
            hold = self._hold()
            if self._may_read():
                await self._answered(hold)
            spent = self.clock.seconds() - began
            pause = self.random.uniform(0.75, 1) * self._period() - spent
            await paused(self.clock, max(0, pause))

    def wake(self):
        """Look at once whether a read is needed."""
        if self.idle is not None and not self.idle.called:
            self.idle.callback(None)

    def _idle(self):
        """Return a Deferred of the next look while reads are needless."""
        self.idle = Deferred()
        return self.idle.addTimeout(
            _COVERED_PAUSE, self.clock, onTimeoutCancel=_nothing
        )

    def is_failing(self):
        """Return whether the store has not answered the latest read."""
        return self.failures > 0

    def _answered(self, hold):
        """Return a Deferred of a read's end, or of the time for another."""
        reading = fork_deferred(Deferred.fromCoroutine(self._read(hold)))
        limit = hold + _RETRY_PERIOD
        return reading.addTimeout(
            limit, self.clock, onTimeoutCancel=self._unanswered
        )

    def _unanswered(self, *_):
        """Note a read that is not answered in its time."""
        if self.silent:
            return
        self.silent = True
        self.log(
            events.STORE_SILENT,
            level='warning',
            reads=self.under_way,
            age_ms=self.configuration.age_ms(),
        )

    def _hold(self):
        if not self._is_large():
            return _LEAST_HOLD
        return _FOLLOWED_HOLD if self.has_followers() else _LARGE_HOLD

    def _is_large(self):
        return len(self.configuration.text) > _LARGE_TEXT

    def _period(self):
        """Return seconds from one read's start to the next one's."""
        if self.failures or self.under_way:
            return _RETRY_PERIOD
        if self._is_large() or self.configuration.in_storm:
            return _SETTLE
        return _FOLLOWED_PERIOD if self.has_followers() else _READ_PERIOD

    def _may_read(self):
        """Return whether a further read may be sent now.

        Explanation
        ===========

        The whole is fetched once at a time: on a slow link a second one would
        only delay the first. One that a silent connection swallowed must not
        keep a change from this host, so that ends after a while.
        """
        if self.under_way >= _MOST_READS:
            return False
        if self.under_way and self.is_answering():
            # Not silent: a large answer is coming in over a full link, and a
            # second one beside it would double what the link has to carry.
            return False
        waits = (
            self.configuration.suspend_clock() - self.whole_at < _WHOLE_SECONDS
        )
        return not (waits and self.whole_under_way)

    def _needs_whole(self):
        configuration = self.configuration
        if configuration.seen is None or configuration.in_storm:
            return True
        # On a link that takes seconds for the whole, what it brought is as old.
        gap = configuration.suspend_clock() - configuration.seen_at
        return gap - self.whole_took > _LONG_GAP

    async def _read(self, hold):
        configuration = self.configuration
        began = configuration.suspend_clock()
        whole = self._needs_whole()
        self.under_way += 1
        self.whole_under_way += whole
        if whole:
            self.whole_at = began
        late = self.clock.callLater(hold + _HEARD_SECONDS, self._look_late)
        if whole:
            outcome = await whole_config(self.store)
        else:
            outcome = await newer_config(self.store, configuration.seen, hold)
        if late.active():
            late.cancel()
        self.under_way -= 1
        self.whole_under_way -= whole
        if whole:
            self.whole_took = configuration.suspend_clock() - began
        answered = not isinstance(outcome, Unavailable)
        if answered:
            self.read_at = max(self.read_at, began)
        if isinstance(outcome, Compacted):
            configuration.seen = None
        elif answered:
            configuration.take_news(outcome, began, whole=whole)
        self._note(outcome, answered=answered)

    def _look_late(self):
        # An answer that came while the process stood still is taken before the
        # next call.
        self.clock.callLater(0, self._note_late)

    def _note_late(self):
        if self.under_way and not self.is_answering():
            self._note_away()

    def _note_away(self):
        self.unreachable_at = self.configuration.suspend_clock()

    def _note(self, outcome, *, answered):
        if answered and self.failures:
            self.log(events.STORE_REGAINED, failures=self.failures)
        if answered:
            self.failures = 0
            self.silent = False
        else:
            self._note_away()
            self.failures += 1
            if self.failures == 1:
                self.log(
                    events.STORE_LOST,
                    level='warning',
                    reason=getattr(outcome, 'reason', outcome.__class__),
                    age_ms=self.configuration.age_ms(),
                )
        if self.on_read is not None:
            self.on_read(answered)


def _never():
    return False


def _nothing(*_):
    """Stand for a pause that has ended."""
