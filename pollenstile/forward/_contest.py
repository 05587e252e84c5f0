"""Attempts of one request beside each other, of which one answers."""

from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure

from pollenstile.forward._outcomes import Delivered, UpstreamFailure
from pollenstile.forward._types import Lost, NotRun


class Contest:
    """Attempts of a request that are in flight at the same time.

    Explanation
    ===========

    The first attempt that has something for the caller holds the answer, and
    all others are closed. So the caller gets the events of one attempt at a
    time: an attempt that is sent beside another goes on after the last event
    that was passed on, and is closed when the other has a further one first.

    Parameters
    ==========

    answer : Answer
        Writes to the caller.

    Attributes
    ==========

    ended : Deferred
        Fires with :class:`Delivered`, or with the outcome of the last attempt
        when all have failed.
    first : Attempt or None
        The attempt that was started first.
    holder : Attempt or None
        The attempt that holds the answer.
    running : dict
        Deferreds of the attempts in flight, by attempt.
    failed : Attempt or None
        The attempt that has ended last.
    outcome : object
        Its outcome.
    runs : int
        Number of attempts that have failed or were closed and may have run.
    is_given_up : bool
        Whether the request is handed back to its caller.
    on_failed : function
        Called with each attempt that has failed.
    on_closed : function
        Called with an attempt that has closed others, and a list of these.
    is_preparing : function
        Returns whether another attempt is about to be started.
    """

    __slots__ = (
        'answer',
        'ended',
        'failed',
        'first',
        'holder',
        'is_given_up',
        'is_preparing',
        'on_closed',
        'on_failed',
        'outcome',
        'producer',
        'running',
        'runs',
    )

    def __init__(self, answer):
        self.answer = answer
        self.ended = Deferred()
        self.first = None
        self.holder = None
        self.producer = None
        self.running = {}
        self.failed = None
        self.outcome = None
        self.runs = 0
        self.is_given_up = False
        self.on_failed = _ignore
        self.on_closed = _do_nothing
        self.is_preparing = _is_nothing_prepared

    @property
    def leader(self):
        """The attempt that the caller's answer is from, or may be first."""
        return self.holder or self.first

    def start(self, attempt, coroutine):
        """Start an attempt with the coroutine that returns its outcome."""
        self.first = self.first or attempt
        self.running[attempt] = None
        work = Deferred.fromCoroutine(coroutine)
        if not work.called:
            self.running[attempt] = work
        work.addBoth(self._handle_end, attempt)

    def is_contested(self, attempt):
        """Return whether others are in flight beside an attempt."""
        return any(other is not attempt for other in self.running)

    def all_silent(self):
        """Return whether attempts are in flight, all of them silent."""
        attempts = list(self.running)
        return bool(attempts) and all(
            attempt.silence.is_silent for attempt in attempts
        )

    def claim(self, attempt):
        """Let an attempt pass on its answer, and close all others."""
        if attempt is not self.holder:
            self.end_production()
            self.holder = attempt
            self.producer = attempt.silence.backpressure
            self.answer.produce(self.producer)
        if self.is_contested(attempt):
            self.on_closed(attempt, self._close_others(attempt))

    def end_production(self):
        """Take the caller's hold off the upstream whose answer has ended."""
        if self.producer is not None:
            self.producer = None
            self.answer.unproduce()

    def runs_in_flight(self):
        """Return the number of attempts in flight that may have run."""
        return sum(attempt.may_have_run() for attempt in self.running)

    def stop(self):
        """Close all attempts in flight."""
        self._close_others(None)

    def give_up(self):
        """End the request, as its silent attempts have no chance left."""
        self.is_given_up = True
        self.failed = self.leader
        self.outcome = Lost('silent', self.leader.view.ident)
        self._close_others(None)
        self._finish(self.outcome)

    def check_over(self):
        """End the contest if nothing is in flight or about to be started."""
        if not self.running and self.failed and not self.is_preparing():
            self._finish(self.outcome)

    def _close_others(self, kept):
        """Close the attempts in flight except one; return them."""
        others = [attempt for attempt in self.running if attempt is not kept]
        for attempt in others:
            work = self.running.pop(attempt)
            self.runs += attempt.may_have_run()
            if work is not None:
                work.cancel()
        return others

    def _handle_end(self, outcome, attempt):
        if attempt is self.holder:
            self.end_production()
        if attempt not in self.running:
            return _end_of_closed(outcome)
        self.running.pop(attempt)
        self.failed = attempt
        self.outcome = outcome
        if self._is_final(outcome):
            self._close_others(None)
            self._finish(outcome)
            return None
        self.runs += not isinstance(outcome, NotRun)
        self.on_failed(attempt)
        self.check_over()
        return None

    def _is_final(self, outcome):
        """Return whether no other attempt can end the request any better.

        Explanation
        ===========

        A failure can't be passed on once another attempt has begun the answer,
        so that one is still awaited.
        """
        if isinstance(outcome, UpstreamFailure):
            return not outcome.is_retryable and not self.answer.begun
        return isinstance(outcome, (Delivered, Failure))

    def _finish(self, outcome):
        if not self.ended.called:
            self.ended.callback(outcome)


def _ignore(attempt):
    """Do nothing when an attempt has failed."""


def _do_nothing(attempt, closed):
    """Do nothing when an attempt has closed others."""


def _is_nothing_prepared():
    """Return False: no attempt is about to be started."""
    return False


def _end_of_closed(outcome):
    """Return the end of a closed attempt: None, or an unexpected failure."""
    if isinstance(outcome, Failure) and not outcome.check(CancelledError):
        return outcome
    return None
