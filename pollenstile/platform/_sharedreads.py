"""Reads that begin after they were asked for, shared by all who wait."""

import enum

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from pollenstile.ops.logs import silent_log
from pollenstile.platform.events import SHARED_READ_FAILED


class ReadResult(enum.Enum):
    """What came of a read."""

    # What is known now includes all that was written before the read.
    CURRENT = 'current'
    # The store did not take it.
    REFUSED = 'refused'
    # It was not answered in time, or its answer proves nothing.
    UNPROVEN = 'unproven'


class SharedReads:
    """Reads whose result must not be older than the question.

    Explanation
    ===========

    A read in progress may have been answered before the question came. So who
    asks meanwhile waits for the next one, with all others who do.

    Parameters
    ==========

    clock : IReactorTime
        Provides the time.
    read : function
        Returns a coroutine of a :class:`ReadResult`.
    period : function
        Returns the minimum seconds between the starts of two reads.
    log : function
        Writes events.
    failed : object
        Result of a read that was not answered in time, or ended with an error.

    Attributes
    ==========

    waiting : list of Deferred
        Fire with the outcome of the next read.
    is_busy : bool
        Whether a read is in progress or scheduled.
    began_at : float
        Time on the clock at which the last read began.

    Examples
    ========

    >>> from twisted.internet.task import Clock
    >>> from pollenstile.platform import ReadResult, SharedReads
    >>> async def read():
    ...     return ReadResult.CURRENT
    >>> reads = SharedReads(Clock(), read, lambda: 0.25)
    >>> reads.begun_now(0.5).result.value
    'current'
    """

    __slots__ = (
        'began_at',
        'clock',
        'failed',
        'is_busy',
        'log',
        'period',
        'read',
        'waiting',
    )

    def __init__(
        self,
        clock,
        read,
        period,
        log=silent_log,
        failed=ReadResult.UNPROVEN,
    ):
        self.clock = clock
        self.read = read
        self.period = period
        self.log = log
        self.failed = failed
        self.waiting = []
        self.is_busy = False
        self.began_at = float('-inf')

    def begun_now(self, seconds):
        """Return a Deferred of the result of a read that begins from now on.

        Parameters
        ==========

        seconds : float
            Time after which it counts as failed.
        """
        outcome = Deferred()
        self.waiting.append(outcome)
        if not self.is_busy:
            self._schedule()
        return outcome.addTimeout(
            seconds, self.clock, onTimeoutCancel=self._late_result
        )

    def _schedule(self):
        self.is_busy = True
        due = self.began_at + self.period() - self.clock.seconds()
        if due > 0:
            self.clock.callLater(due, self._start)
            return
        self._start()

    def _start(self):
        waiting = self.waiting
        self.waiting = []
        self.began_at = self.clock.seconds()
        reading = Deferred.fromCoroutine(self.read())
        reading.addBoth(self._end, waiting)

    def _late_result(self, *_):
        return self.failed

    def _end(self, outcome, waiting):
        self.is_busy = False
        if isinstance(outcome, Failure):
            error = repr(outcome.value)
            self.log(SHARED_READ_FAILED, level='error', error=error)
            outcome = self.failed
        for done in waiting:
            done.callback(outcome)
        if self.waiting and not self.is_busy:
            self._schedule()
