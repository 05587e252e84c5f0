"""Noticing that an upstream has fallen silent."""


class Silence:
    """Calls a function after too long a silence; never with no patience.

    Attributes
    ==========

    longest : float
        Seconds of the longest silence between two parts of a body.
    """

    __slots__ = ('clock', 'heard_at', 'longest', 'patience', 'timer')

    def __init__(self, clock, patience):
        self.clock = clock
        self.patience = patience
        self.timer = None
        self.heard_at = None
        self.longest = 0.0

    def start(self, broken):
        """Listen from now on."""
        if self.patience is not None:
            self.timer = self.clock.callLater(self.patience, broken)

    def heard(self, between=None):
        """Begin the patience anew, another one where that is given."""
        self.patience = between or self.patience
        now = self.clock.seconds()
        if self.heard_at is not None:
            self.longest = max(self.longest, now - self.heard_at)
        self.heard_at = now
        if self.timer is not None and self.timer.active():
            self.timer.reset(self.patience)

    def stop(self):
        """Listen no more."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
