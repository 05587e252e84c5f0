"""Detection of upstreams that stop sending."""


class SilenceTimer:
    """Calls a function when an upstream is silent for too long.

    Parameters
    ==========

    clock : IReactorTime
        Provides the time and timers.
    limit : float or None
        Seconds of silence that are allowed; None for no limit.

    Attributes
    ==========

    due : float
        Time on the clock at which the timer expires.
    longest_silence : float
        Seconds of the longest silence between two parts of a body.
    """

    __slots__ = (
        'clock',
        'due',
        'limit',
        'longest_silence',
        'received_at',
        'timer',
    )

    def __init__(self, clock, limit):
        self.clock = clock
        self.limit = limit
        self.timer = None
        self.due = 0.0
        self.received_at = None
        self.longest_silence = 0.0

    def start(self, on_silence):
        """Start the timer; call a function when it expires."""
        if self.limit is not None:
            self.timer = self.clock.callLater(self.limit, on_silence)
            self.due = self.clock.seconds() + self.limit

    def lateness(self):
        """Return the seconds by which the timer has expired too late."""
        return self.clock.seconds() - self.due

    def note_received(self, new_limit=None):
        """Restart the timer after received data, with a new limit if given."""
        self.limit = new_limit or self.limit
        now = self.clock.seconds()
        if self.received_at is not None:
            self.longest_silence = max(
                self.longest_silence, now - self.received_at
            )
        self.received_at = now
        if self.timer is not None and self.timer.active():
            self.timer.reset(self.limit)
            self.due = now + self.limit

    def stop(self):
        """Cancel the timer."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
