"""Entries that a host keeps for a time although the store lacks them."""


class AbsentEntries:
    """Timers of entries that may be written again.

    Explanation
    ===========

    After an outage, or a return from an older copy, the store may lack what is
    still true. Its writer has some seconds to write it again.

    Parameters
    ==========

    clock : IReactorTime
        Schedules the ends.

    Attributes
    ==========

    timers : dict
        Timers by name of the entry.

    Examples
    ========

    >>> from twisted.internet.task import Clock
    >>> clock = Clock()
    >>> absent = AbsentEntries(clock)
    >>> absent.keep('a', 2.0, lambda: print('dropped'))
    >>> clock.advance(2.0)
    dropped
    """

    __slots__ = ('clock', 'timers')

    def __init__(self, clock):
        self.clock = clock
        self.timers = {}

    def keep(self, name, seconds, drop):
        """Call a function without arguments once an entry's time is over."""
        self.end(name)
        self.timers[name] = self.clock.callLater(
            seconds, self._expire, name, drop
        )

    def end(self, name):
        """Stop the time of an entry, which was written again or dropped."""
        timer = self.timers.pop(name, None)
        if timer is not None:
            timer.cancel()

    def _expire(self, name, drop):
        self.timers.pop(name)
        drop()
