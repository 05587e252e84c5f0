"""Periodic reads of the configuration, which continue through outages."""

from functools import partial

from twisted.internet.defer import Deferred

from pollenstile.forward import events
from pollenstile.forward._configreads import (
    ConfigRead,
    probe_store,
    read_config_changes,
    read_full_config,
)
from pollenstile.ops.logs import silent_log
from pollenstile.ops.loops import log_failure, start_step
from pollenstile.ops.timers import cancel_timer
from pollenstile.platform import Changes, Unavailable, fork_deferred, paused

# Time between reads. A change must be in force within 2 s of its write; this
# period leaves time for one failed read and for the transfer of the answer.
_READ_PERIOD_SECONDS = 1.2
# The period while other hosts follow this one. They accept an update for 1.2 s
# after its read was sent, and this time includes the answer of a slow store and
# the jitter.
_FOLLOWED_PERIOD_SECONDS = 0.8
# Time for which the store may hold a read while nothing has changed. The store
# need not hold it, as an answer without changes is a verification at any time.
_MIN_HOLD_SECONDS = 0.001
# The hold for a large configuration, whose reads follow one another without a
# pause. The store answers each change at once, so rapid changes arrive one by
# one. Otherwise 25 versions of 350 kB in 1.5 s would arrive in one answer of
# nine megabytes.
_LARGE_HOLD_SECONDS = 0.9
# The hold for a large configuration while other hosts follow this one.
_FOLLOWED_HOLD_SECONDS = 0.4
# Length of the encoded text above which a configuration counts as large.
_LARGE_TEXT_CHARACTERS = 64_000
# Time between a change and the full read that checks whether it was the last
# change. A watch would return every version of a series of rapid changes.
_SETTLE_SECONDS = 0.25
# Time without an answer of the store after which a full read is sent, as the
# size of a watch's answer over such a gap is unbounded.
_LONG_GAP_SECONDS = 3.0
# Time after which an unanswered full read gets a concurrent second one. The
# transfer of 350 kB takes 0.6 s on a 5 Mbit/s link.
_FULL_READ_SECONDS = 1.2
# Bound of the jitter before a full read after changes were forgotten.
_FULL_READ_JITTER_SECONDS = 0.1
# Time between checks whether a host that follows a reader must read itself.
_SKIPPED_READ_CHECK_SECONDS = 0.1
# Time beyond the hold within which a healthy store answers a read. A slow
# store takes 0.24 s.
_ANSWER_SECONDS = 0.2
# Time beyond the hold after which an unanswered read gets a concurrent second
# one, and the limit of concurrent reads. A slow store answers within 0.3 s; an
# unresponsive store gets at most one call in half a second.
_RETRY_PERIOD_SECONDS = 0.5
_MAX_READS_IN_FLIGHT = 3
_LOOP = 'configuration reads'
_LOOP_ERROR = 'error of this host'


class ConfigurationLoop:
    """Reads the configuration periodically.

    Parameters
    ==========

    store : Store
        Provides linearizable reads.
    clock : IReactorTime
        Schedules the reads.
    random : random.Random
        Source of the jitter.
    configuration : Configuration
        Receives the results of the reads.

    Attributes
    ==========

    failures : int
        Consecutive reads without an answer.
    unreachable_at : float
        Time on the suspend clock at which the store was last found to be
        unreachable: a read failed, or had no answer within the time in which
        a healthy store answers.
    silent : bool
        Whether a read had no answer in time, and no answer arrived since.
    reads_in_flight, full_reads_in_flight : int
        Reads that are not answered yet, and the full reads among them.
    full_read_at : float
        Time on the suspend clock at which the latest full read was sent.
    full_read_seconds : float
        Duration of the latest full read.
    read_at : float
        Time on the suspend clock at which the latest answered read of this
        host was sent; verifications received from other hosts do not count.
    next_check : Deferred or None
        Fires when it is time to check whether a read is needed.
    can_skip_reads : function
        Returns whether the updates of a reader make own reads unnecessary.
    is_answering : function
        Returns whether an answer of the store is being received.
    has_followers : function
        Returns whether other hosts rely on the reads of this one.
    has_reader : function
        Returns whether this host could follow another one once the store is
        back from an outage.
    on_probe : function
        Called when a probe has shown that the store is back.
    is_probed : bool
        Whether the latest read was an answered probe.
    on_read : function or None
        Called after each read with whether it was answered.
    """

    __slots__ = (
        'can_skip_reads',
        'clock',
        'configuration',
        'failures',
        'full_read_at',
        'full_read_seconds',
        'full_reads_in_flight',
        'has_followers',
        'has_reader',
        'is_answering',
        'is_probed',
        'log',
        'next_check',
        'on_probe',
        'on_read',
        'random',
        'read_at',
        'reads_in_flight',
        'running',
        'silent',
        'store',
        'unreachable_at',
    )

    def __init__(self, store, clock, random, configuration, log=silent_log):
        self.store = store
        self.clock = clock
        self.random = random
        self.configuration = configuration
        self.log = log
        self.can_skip_reads = _never
        self.has_followers = _never
        self.has_reader = _never
        self.is_answering = _never
        self.is_probed = False
        self.on_probe = _ignore
        self.on_read = None
        self.next_check = None
        self.failures = 0
        self.silent = False
        self.unreachable_at = -1000.0
        self.reads_in_flight = 0
        self.full_reads_in_flight = 0
        self.full_read_at = -1000.0
        self.full_read_seconds = 0.0
        self.read_at = -1000.0
        self.running = True

    async def run(self):
        """Read until stopped.

        Explanation
        ===========

        A read that is in flight when the store becomes unresponsive times out
        late. Other reads are sent meanwhile, so that the first answer shows
        that the store is available again.
        """
        while self.running:
            if self.can_skip_reads():
                await self._next_check()
                continue
            began = self.clock.seconds()
            hold = self._hold()
            if self._may_read():
                await self._read_or_timeout(hold)
            if self._must_read_again():
                self.is_probed = False
                jitter = self.random.uniform(0, _FULL_READ_JITTER_SECONDS)
                await paused(self.clock, jitter)
                continue
            spent = self.clock.seconds() - began
            pause = self.random.uniform(0.75, 1) * self._period() - spent
            proof = self.configuration.settling.until_proof()
            if proof:
                pause = min(pause, proof)
            await paused(self.clock, max(0, pause))

    def _must_read_again(self):
        """Return whether the store has just stated that it lacks the changes.

        Explanation
        ===========

        It has compacted them or has returned from an older copy. A store that
        states so each time is read at the usual pace.
        """
        if self.is_probed:
            return True
        if self.configuration.known_revision is not None or self.failures:
            return False
        age = self.configuration.suspend_clock() - self.full_read_at
        return age > _READ_PERIOD_SECONDS

    def wake(self):
        """Check at once whether a read is needed."""
        if self.next_check is not None and not self.next_check.called:
            self.next_check.callback(None)

    def _next_check(self):
        """Return a Deferred that fires when a read may be needed again."""
        self.next_check = Deferred()
        return self.next_check.addTimeout(
            _SKIPPED_READ_CHECK_SECONDS,
            self.clock,
            onTimeoutCancel=_ignore_timeout,
        )

    def is_failing(self):
        """Return whether the store has not answered the latest read."""
        return self.failures > 0

    def _read_or_timeout(self, hold):
        """Return a Deferred that fires when a read ends or times out."""
        reading = fork_deferred(start_step(self.log, _LOOP, self._read(hold)))
        limit = hold + _RETRY_PERIOD_SECONDS
        return reading.addTimeout(
            limit, self.clock, onTimeoutCancel=self._record_silence
        )

    def _record_silence(self, *_):
        """Record that a read was not answered in time."""
        if self.silent:
            return
        self.silent = True
        self.log(
            events.STORE_SILENT,
            level='warning',
            reads=self.reads_in_flight,
            age_ms=self.configuration.age_ms(),
        )

    def _hold(self):
        if not self._is_large():
            return _MIN_HOLD_SECONDS
        return (
            _FOLLOWED_HOLD_SECONDS
            if self.has_followers()
            else _LARGE_HOLD_SECONDS
        )

    def _is_large(self):
        return len(self.configuration.text) > _LARGE_TEXT_CHARACTERS

    def _period(self):
        """Return the seconds between the starts of consecutive reads."""
        if self.failures or self.reads_in_flight:
            return _RETRY_PERIOD_SECONDS
        if self._is_large() or self.configuration.in_storm:
            return _SETTLE_SECONDS
        return (
            _FOLLOWED_PERIOD_SECONDS
            if self.has_followers()
            else _READ_PERIOD_SECONDS
        )

    def _may_read(self):
        """Return whether another read may be sent now.

        Explanation
        ===========

        Only one full read is sent at a time, as on a slow link a second one
        would only delay the first. This restriction ends after a timeout, so
        that a full read lost on an unresponsive connection does not keep
        changes from this host.
        """
        if self.reads_in_flight >= _MAX_READS_IN_FLIGHT:
            return False
        if self.reads_in_flight and self.is_answering():
            # The store is not silent: a large answer is being received over a
            # saturated link. A second answer would double the traffic there.
            return False
        is_recent = (
            self.configuration.suspend_clock() - self.full_read_at
            < _FULL_READ_SECONDS
        )
        return not (is_recent and self.full_reads_in_flight)

    def _needs_full_read(self):
        configuration = self.configuration
        if configuration.known_revision is None or configuration.in_storm:
            return True
        # On a slow link, the result of a full read is already as old as the
        # read took, which may be seconds. This part of the gap does not count.
        gap = configuration.suspend_clock() - configuration.known_at
        return gap - self.full_read_seconds > _LONG_GAP_SECONDS

    async def _read(self, hold):
        configuration = self.configuration
        began = configuration.suspend_clock()
        is_full = self._needs_full_read()
        is_probe = is_full and _must_probe(self)
        is_full = is_full and not is_probe
        self.reads_in_flight += 1
        self.full_reads_in_flight += is_full
        if is_full:
            self.full_read_at = began
        overdue_check = self.clock.callLater(
            hold + _ANSWER_SECONDS, self._check_overdue
        )
        outcome = await _call_store(
            self, hold, is_full=is_full, is_probe=is_probe
        )
        cancel_timer(overdue_check)
        self.reads_in_flight -= 1
        self.full_reads_in_flight -= is_full
        if is_full:
            self.full_read_seconds = configuration.suspend_clock() - began
        answered = not isinstance(outcome, Unavailable)
        if answered:
            self.read_at = max(self.read_at, began)
            _apply_answer(self, outcome, began, is_full)
        self._record_outcome(outcome, answered=answered)

    def _check_overdue(self):
        # An answer that arrived while the process was stalled is handled before
        # the next scheduled call.
        self.clock.callLater(0, self._record_overdue)

    def _record_overdue(self):
        if self.reads_in_flight and not self.is_answering():
            self._record_unreachable()

    def _record_unreachable(self):
        self.unreachable_at = self.configuration.suspend_clock()

    def _record_outcome(self, outcome, *, answered):
        if answered and self.failures:
            self.log(events.STORE_REGAINED, failures=self.failures)
        if answered:
            self.failures = 0
            self.silent = False
        else:
            self._record_unreachable()
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


async def _call_store(loop, hold, *, is_full, is_probe):
    """Return the outcome of a read; Unavailable after an error.

    Explanation
    ===========

    A read that ended with an error would count as in flight for ever, and no
    other one would be sent after the third of them.
    """
    since = loop.configuration.known_revision
    read = partial(read_config_changes, loop.store, since, hold)
    if is_probe:
        read = partial(probe_store, loop.store, since)
    elif is_full:
        read = partial(read_full_config, loop.store)
    try:
        return await read()
    except Exception as error:
        log_failure(loop.log, _LOOP, error)
        return Unavailable('read', 'object API', _LOOP_ERROR)


def _apply_answer(loop, outcome, began, is_full):
    """Apply the answer to a read or to a probe."""
    configuration = loop.configuration
    if isinstance(outcome, ConfigRead):
        configuration.apply_read(outcome, began, is_full=is_full)
        return
    if isinstance(outcome, Changes):
        loop.is_probed = True
        loop.on_probe()
        return
    configuration.known_revision = None


def _must_probe(loop):
    """Return whether a small call shows first that the store is back.

    Explanation
    ===========

    With full reads, the first answer after a long outage would be the whole
    configuration for each host of a domain. A host that can follow a reader
    needs none.
    """
    is_known = loop.configuration.known_revision is not None
    return is_known and loop.failures > 0 and loop.has_reader()


def _never():
    return False


def _ignore():
    """Ignore that the store is back."""


def _ignore_timeout(*_):
    """Replace the timeout of a pause by a normal result."""
