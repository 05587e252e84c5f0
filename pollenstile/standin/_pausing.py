"""Timers of a simulated process that can stand still."""


class PausableTimers:
    """Timers that keep their remaining time while their process stands still.

    Parameters
    ==========

    clock : IReactorTime
        Virtual clock.

    Attributes
    ==========

    paused_until : float or None
        Time in seconds at which the process goes on, infinite for never; None
        while it runs.

    Examples
    ========

    >>> from twisted.internet.task import Clock
    >>> clock = Clock()
    >>> timers = PausableTimers(clock)
    >>> timer = timers.later(1.0, print, 'an event')
    >>> timers.pause(2.0)
    >>> clock.advance(2.0)
    >>> clock.advance(1.0)
    an event
    """

    __slots__ = ('clock', 'paused_until', 'pending')

    def __init__(self, clock):
        self.clock = clock
        self.paused_until = None
        # Times and calls that are due: seconds that remain while the process
        # stands still, the clock's timer while it runs.
        self.pending = {}

    @property
    def is_paused(self):
        """Whether the process stands still."""
        return self.paused_until is not None

    def later(self, seconds, call, *arguments):
        """Call a function after some seconds in which the process runs.

        Returns
        =======

        object
            What :meth:`cancel` takes.
        """
        entry = object()
        if self.is_paused:
            self.pending[entry] = seconds, call, arguments
        else:
            self._start(entry, seconds, call, arguments)
        return entry

    def at_once(self, call, *arguments):
        """Call a function now, or when the process goes on."""
        if self.is_paused:
            self.later(0, call, *arguments)
            return
        call(*arguments)

    def cancel(self, entry):
        """Cancel a call that :meth:`later` has scheduled."""
        timer, _, _ = self.pending.pop(entry)
        if not self.is_paused:
            timer.cancel()

    def pause(self, seconds):
        """Stand still for some seconds from now, infinite for good."""
        now = self.clock.seconds()
        if not self.is_paused:
            self.pending = {
                entry: (max(0.0, timer.getTime() - now), call, arguments)
                for entry, (timer, call, arguments) in self._stopped()
            }
        self.paused_until = max(self.paused_until or 0.0, now + seconds)
        if seconds < float('inf'):
            self.clock.callLater(seconds, self._wake)

    def resume(self):
        """Go on at once, if the process stands still."""
        if not self.is_paused:
            return
        self.paused_until = None
        waiting = sorted(self.pending.items(), key=_remaining)
        for entry, (seconds, call, arguments) in waiting:
            self._start(entry, seconds, call, arguments)

    def _start(self, entry, seconds, call, arguments):
        timer = self.clock.callLater(seconds, self._run, entry)
        self.pending[entry] = timer, call, arguments

    def _run(self, entry):
        _, call, arguments = self.pending.pop(entry)
        call(*arguments)

    def _stopped(self):
        """Return the pending entries after their timers were cancelled."""
        for timer, _, _ in self.pending.values():
            timer.cancel()
        return list(self.pending.items())

    def _wake(self):
        until = self.paused_until
        if until is not None and until <= self.clock.seconds():
            self.resume()


def _remaining(entry):
    """Return the remaining seconds of a pending entry."""
    return entry[1][0]
