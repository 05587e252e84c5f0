"""Requests that ran to their end on some upstream lately."""

from collections import OrderedDict

# Seconds for which a whole run shows that a request crashes nothing, and how
# many requests are remembered.
_SHOWN_SECONDS = 30.0
_MOST = 4096


class WholeRuns:
    """Moments of whole runs, by fingerprint.

    Parameters
    ==========

    clock : IReactorTime
        Seconds.
    """

    __slots__ = ('clock', 'moments')

    def __init__(self, clock):
        self.clock = clock
        self.moments = OrderedDict()

    def note(self, content):
        """Note that a request has run to its end now."""
        self.moments[content] = self.clock.seconds()
        self.moments.move_to_end(content)
        if len(self.moments) > _MOST:
            self.moments.popitem(last=False)

    def is_shown(self, content):
        """Return whether a request ran to its end lately."""
        moment = self.moments.get(content)
        if moment is None:
            return False
        return self.clock.seconds() - moment < _SHOWN_SECONDS
