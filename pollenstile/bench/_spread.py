"""How long news takes to reach all hosts of a simulated fleet."""

_MS = 1000


class SpreadWatch:
    """Times at which the first and the last host know of something.

    Parameters
    ==========

    fleet : DomainWorld
        The hosts.
    knows : function
        Takes a host; returns whether it knows.
    """

    __slots__ = ('first_at', 'fleet', 'knows', 'last_at')

    def __init__(self, fleet, knows):
        self.fleet = fleet
        self.knows = knows
        self.first_at = None
        self.last_at = None

    def look(self):
        """Note which hosts know by now."""
        if self.last_at is not None:
            return
        know = [self.knows(host) for host in self.fleet.running()]
        now = self.fleet.clock.seconds()
        if any(know) and self.first_at is None:
            self.first_at = now
        if all(know):
            self.last_at = now

    def ms_since_first(self):
        """Return milliseconds from the first to the last; -1 if not all."""
        if self.last_at is None:
            return -1
        return round((self.last_at - self.first_at) * _MS)
