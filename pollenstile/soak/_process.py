"""One operating system process in virtual time: it can freeze and die."""


class Timer:
    """A delayed call of one process, as the reactor would return it."""

    __slots__ = ('base', 'due', 'process', 'work')

    def __init__(self, process, delay, work):
        self.process = process
        self.work = work
        self.due = False
        self.base = process.clock.callLater(delay, self.fire)

    def active(self):
        """Return whether it has neither run nor been cancelled."""
        return self.due or self.base.active()

    def cancel(self):
        """Call it off."""
        # The collector of unused objects closes coroutines of dead
        # processes, and their last blocks cancel timers that are gone.
        if self.due or not self.process.alive:
            self.due = False
            return
        self.base.cancel()

    def reset(self, delay):
        """Run it so many seconds from now instead."""
        self.cancel()
        self.base = self.process.clock.callLater(delay, self.fire)

    def getTime(self):
        """Return when it runs, in seconds."""
        return self.base.getTime()

    def fire(self):
        """Run, or wait for the end of a freeze."""
        if not self.process.alive:
            return
        if self.process.frozen:
            self.due = True
            self.process.timers.append(self)
            return
        self.process.run(self.work)

    def overdue(self):
        """Run after a freeze, unless cancelled meanwhile."""
        if self.due:
            self.due = False
            self.process.run(self.work)


class Process:
    """What runs in one process: its timers, and messages to it.

    Explanation
    ===========

    A frozen process runs nothing. When it goes on, its overdue timers run
    before it reads what arrived meanwhile, as in the reactor's loop. A dead
    one never runs anything again.

    Parameters
    ==========

    clock : twisted.internet.task.Clock
        Virtual.
    crashed : function or None
        Takes an exception that a timer or a message raised; the process goes
        on, as the reactor does. None raises it.

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
        'crashed',
        'froze',
        'frozen',
        'messages',
        'timers',
    )

    def __init__(self, clock, crashed=None):
        self.clock = clock
        self.crashed = crashed
        self.alive = True
        self.frozen = False
        self.froze = []
        self.timers = []
        self.messages = []

    def seconds(self):
        """Return the time; the same for all processes."""
        return self.clock.seconds()

    def callLater(self, delay, function, *arguments, **keywords):
        """Return a timer; as of ``IReactorTime``."""
        return Timer(self, delay, lambda: function(*arguments, **keywords))

    def deliver(self, function, *arguments):
        """Hand a message to the process."""
        if not self.alive:
            return
        if self.frozen:
            self.messages.append((function, arguments))
            return
        self.run(function, *arguments)

    def run(self, function, *arguments):
        """Call a function, and go on if it raises."""
        if self.crashed is None:
            function(*arguments)
            return
        try:
            function(*arguments)
        except Exception as error:
            self.crashed(error)

    def freeze(self):
        """Stop running."""
        self.frozen = True
        self.froze.append(self.seconds())

    def thaw(self):
        """Go on, late."""
        self.frozen = False
        self.froze.append(self.seconds())
        timers = self.timers
        self.timers = []
        for timer in timers:
            timer.overdue()
        messages = self.messages
        self.messages = []
        for function, arguments in messages:
            self.deliver(function, *arguments)

    def kill(self):
        """Never run again."""
        self.alive = False
        self.timers.clear()
        self.messages.clear()
