"""Log lines of values that can't be read, at most one in a while each."""

from pollenstile.ops.bounded import drop_oldest

_LOG_PERIOD_SECONDS = 5.0
_MAX_LOGGED_CHARACTERS = 40
# Maximum number of incarnations whose last line is remembered.
_MAX_REMEMBERED = 256


class UnreadableLog:
    """Logs values that can't be read, with a pause for each upstream.

    Parameters
    ==========

    clock : IReactorTime
        Seconds.
    log : function
        Writes events.
    event : Event
        The event that is logged.
    """

    __slots__ = ('clock', 'event', 'log', 'logged_at')

    def __init__(self, clock, log, event):
        self.clock = clock
        self.log = log
        self.event = event
        self.logged_at = {}

    def write(self, name, values):
        """Log the values that an incarnation has stated."""
        now = self.clock.seconds()
        last = self.logged_at.pop(name, -_LOG_PERIOD_SECONDS)
        is_due = now - last >= _LOG_PERIOD_SECONDS
        self.logged_at[name] = now if is_due else last
        drop_oldest(self.logged_at, _MAX_REMEMBERED)
        if is_due:
            text = ','.join(values)[:_MAX_LOGGED_CHARACTERS]
            self.log(self.event, level='warning', peer=name, value=text)
