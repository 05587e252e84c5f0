"""Detection of upstreams that stop sending."""

from dataclasses import dataclass

from pollenstile.closes import ReadPauses
from pollenstile.ops.lateness import reading_time
from pollenstile.ops.timers import cancel_timer


class SilenceWatch:
    """Reports an upstream that is silent for too long, and its return.

    Explanation
    ===========

    Silent is an upstream that sends nothing which brings its caller anything: a
    head, an event that goes on, or a part of an answer of a stated length.
    Other bytes may become an answer, but need not. The attempt itself is not
    ended: the upstream may go on at any time.

    Parameters
    ==========

    clock : IReactorTime
        Provides the time and timers.
    limit : float or None
        Seconds of silence that are allowed; None for no limit.
    on_silent : function
        Called without arguments when the limit has passed.
    on_heard : function
        Called with the seconds of a silence that was over the limit, when it
        ends.

    Attributes
    ==========

    backpressure : Backpressure or None
        Tells whether this host reads at all; None before the body.
    heard_at : float
        Time at which something for the caller was last received, or the start.
    no_progress_bytes : int
        Other bytes received since then.
    partial_at : float
        Time of the last of these that may become an answer; 0 before any.
    is_silent : bool
        Whether the limit has passed since then.
    lateness : float
        Seconds by which this host was delayed in this silence; 0 if it was not.
    longest_silence : float
        Seconds of the longest silence between two parts of a body.
    """

    __slots__ = (
        'backpressure',
        'partial_at',
        'no_progress_bytes',
        'clock',
        'due',
        'has_data',
        'heard_at',
        'is_silent',
        'lateness',
        'limit',
        'longest_silence',
        'on_heard',
        'on_silent',
        'timer',
    )

    def __init__(self, clock, limit, on_silent, on_heard):
        self.clock = clock
        self.limit = limit
        self.on_silent = on_silent
        self.on_heard = on_heard
        self.backpressure = None
        self.timer = None
        self.due = 0.0
        self.lateness = 0.0
        self.heard_at = clock.seconds()
        self.no_progress_bytes = 0
        self.partial_at = 0.0
        self.has_data = False
        self.is_silent = False
        self.longest_silence = 0.0

    def start(self):
        """Start the timer."""
        if self.limit is not None:
            self._schedule(self.limit)

    def note_head(self):
        """Restart the timer, as the head of the answer was received."""
        self._restart(self.limit)

    def note_data(self, limit):
        """Restart the timer with a new limit, as the answer goes on."""
        if self.has_data:
            silence = self.clock.seconds() - self.heard_at
            self.longest_silence = max(self.longest_silence, silence)
        self.has_data = True
        self._restart(limit)

    def note_no_progress(self, size, *, may_be_answer):
        """Count received bytes that bring the caller nothing yet.

        Parameters
        ==========

        may_be_answer : bool
            Whether they may be a part of an answer.
        """
        self.no_progress_bytes += size
        if may_be_answer:
            self.partial_at = self.clock.seconds()

    def note_resumed(self):
        """Restart the timer, as nothing was read while the caller did not."""
        if not self.is_silent:
            self.stop()
            self.start()

    def is_flowing(self):
        """Return whether bytes that may become an answer still arrive."""
        if not self.partial_at:
            return False
        return self.clock.seconds() - self.partial_at < self.limit

    def silent_seconds(self):
        """Return the seconds since something for the caller was received."""
        return self.clock.seconds() - self.heard_at

    def stop(self):
        """Cancel the timer."""
        cancel_timer(self.timer)

    def _restart(self, limit):
        silence = self.silent_seconds()
        was_silent = self.is_silent
        self.limit = limit
        self.heard_at = self.clock.seconds()
        self.no_progress_bytes = 0
        self.partial_at = 0.0
        self.is_silent = False
        self.lateness = 0.0
        self.stop()
        self.start()
        if was_silent:
            self.on_heard(silence)

    def _schedule(self, seconds):
        self.due = self.clock.seconds() + seconds
        self.timer = self.clock.callLater(seconds, self._expire)

    def _expire(self):
        now = self.clock.seconds()
        grace = reading_time(now, self.due)
        if grace and not self.lateness:
            # A host that is always late waits only once.
            self.lateness = now - self.due
            self._schedule(grace)
            return
        if self.backpressure is not None and self.backpressure.paused:
            self._schedule(self.limit)
            return
        self.is_silent = True
        self.on_silent()


@dataclass(slots=True)
class SilenceCounts:
    """What became of the attempts of silent upstreams, since the start.

    Attributes
    ==========

    silent : int
        Attempts whose upstream was silent for the limit.
    went_on : int
        Those whose upstream went on.
    taken_over : int
        Answers that another attempt has brought or went on with.
    handed_back : int
        Requests that were given up so that their callers could try again.
    without_progress : int
        Silent attempts whose upstream sent bytes that brought nothing.
    endless : int
        Attempts that were given up, as their upstream sent more bytes than an
        answer has.
    broken_off : int
        Begun answers that ended before they were complete, for any reason.
    """

    silent: int = 0
    went_on: int = 0
    taken_over: int = 0
    handed_back: int = 0
    without_progress: int = 0
    endless: int = 0
    broken_off: int = 0


class Backpressure:
    """Producer of an answer's body that the caller's reading pauses.

    Parameters
    ==========

    producer : IPushProducer
        The upstream's connection.
    on_resumed : function
        Called when the host reads again.
    clock : IReactorTime
        Provides the time.

    Attributes
    ==========

    paused : bool
        Whether nothing is read from the upstream for now.
    pauses : ReadPauses
        Tells since when a close may have gone unread.
    """

    __slots__ = ('on_resumed', 'paused', 'pauses', 'producer')

    def __init__(self, producer, on_resumed, clock):
        self.producer = producer
        self.on_resumed = on_resumed
        self.paused = False
        self.pauses = ReadPauses(clock)

    def pauseProducing(self):
        """Stop reading from the upstream; called by Twisted."""
        self.paused = True
        self.pauses.note_paused()
        self.producer.pauseProducing()

    def resumeProducing(self):
        """Read from the upstream again; called by Twisted."""
        if self.paused:
            self.on_resumed()
        self.paused = False
        self.pauses.note_resumed()
        self.producer.resumeProducing()

    def stopProducing(self):
        """Close the connection to the upstream; called by Twisted."""
        self.producer.stopProducing()
