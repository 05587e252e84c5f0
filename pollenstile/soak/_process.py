"""Simulated operating system process that can be suspended and killed."""


class Timer:
    """A delayed call of one process, like the reactor's ``IDelayedCall``."""

    __slots__ = ('callback', 'delayed_call', 'is_overdue', 'process')

    def __init__(self, process, delay, callback):
        self.process = process
        self.callback = callback
        self.is_overdue = False
        self.delayed_call = process.clock.callLater(delay, self.fire)

    def active(self):
        """Return whether it has neither run nor been cancelled."""
        return self.is_overdue or self.delayed_call.active()

    def cancel(self):
        """Cancel the call."""
        # The garbage collector closes the coroutines of dead processes, and
        # their ``finally`` blocks cancel timers that no longer exist.
        if self.is_overdue or not self.process.alive:
            self.is_overdue = False
            return
        self.delayed_call.cancel()

    def reset(self, delay):
        """Reschedule the call to a number of seconds from now."""
        self.cancel()
        self.delayed_call = self.process.clock.callLater(delay, self.fire)

    def getTime(self):
        """Return the time of the call, in seconds."""
        return self.delayed_call.getTime()

    def fire(self):
        """Run the call, or queue it while the process is frozen."""
        if not self.process.alive:
            return
        if self.process.frozen:
            self.is_overdue = True
            self.process.timers.append(self)
            return
        self.process.run(self.callback)

    def run_if_overdue(self):
        """Run the call after a freeze, unless it was cancelled meanwhile."""
        if self.is_overdue:
            self.is_overdue = False
            self.process.run(self.callback)


class Process:
    """A process: runs timers and messages while it is alive and not frozen.

    Explanation
    ===========

    A frozen process runs nothing. When it is resumed, its overdue timers run
    before the messages that arrived meanwhile, as in the reactor's loop. A
    killed process never runs anything again.

    Parameters
    ==========

    clock : twisted.internet.task.Clock
        Virtual clock.
    on_crash : function or None
        Called with an exception that a timer or a message raised; the process
        continues, as the reactor does. With None, the exception propagates.

    Attributes
    ==========

    freeze_times : list of float
        Times at which the process was frozen or resumed, in seconds.

    Examples
    ========

    >>> from twisted.internet.task import Clock
    >>> from pollenstile.soak._process import Process
    >>> clock = Clock()
    >>> process = Process(clock)
    >>> seen = []
    >>> timer = process.callLater(1, seen.append, 'timer')
    >>> process.freeze()
    >>> process.deliver(seen.append, 'message')
    >>> clock.advance(2)
    >>> seen, timer.active()
    ([], True)
    >>> process.thaw()
    >>> seen
    ['timer', 'message']
    """

    __slots__ = (
        'alive',
        'clock',
        'freeze_times',
        'frozen',
        'messages',
        'on_crash',
        'timers',
    )

    def __init__(self, clock, on_crash=None):
        self.clock = clock
        self.on_crash = on_crash
        self.alive = True
        self.frozen = False
        self.freeze_times = []
        self.timers = []
        self.messages = []

    def seconds(self):
        """Return the current time, which all processes share."""
        return self.clock.seconds()

    def callLater(self, delay, function, *arguments, **keywords):
        """Schedule a call and return its timer, as ``IReactorTime`` does."""
        return Timer(self, delay, lambda: function(*arguments, **keywords))

    def deliver(self, function, *arguments):
        """Handle a message now, after a freeze, or never once killed."""
        if not self.alive:
            return
        if self.frozen:
            self.messages.append((function, arguments))
            return
        self.run(function, *arguments)

    def run(self, function, *arguments):
        """Call a function; pass an exception to ``on_crash`` if it is set."""
        if self.on_crash is None:
            function(*arguments)
            return
        try:
            function(*arguments)
        except Exception as error:
            self.on_crash(error)

    def freeze(self):
        """Suspend the process."""
        self.frozen = True
        self.freeze_times.append(self.seconds())

    def thaw(self):
        """Resume the process: run overdue timers, then queued messages."""
        self.frozen = False
        self.freeze_times.append(self.seconds())
        timers = self.timers
        self.timers = []
        for timer in timers:
            timer.run_if_overdue()
        messages = self.messages
        self.messages = []
        for function, arguments in messages:
            self.deliver(function, *arguments)

    def kill(self):
        """End the process; queued timers and messages are dropped."""
        self.alive = False
        self.timers.clear()
        self.messages.clear()
