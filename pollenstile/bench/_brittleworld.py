"""Simulate entry hosts whose upstreams fall over when they are pressed."""

from pollenstile.bench._crashworld import is_deadly
from pollenstile.bench._rateworld import RateWorld
from pollenstile.standin.brittle import BrittleUpstreams

# Requests that an upstream runs at a time.
_SLOTS = 4
# Falls in one time of brittleness that are allowed: a number, and a share of
# the upstreams.
_ALLOWED_FALLS = 2
_ALLOWED_SHARE = 0.1


class BrittleWorld(RateWorld):
    """Hosts over upstreams with few places."""

    __slots__ = ()

    def __init__(self, hosts, upstreams, domains, limit=None, seed=1):
        super().__init__(hosts, upstreams, domains, seed=seed, slots=_SLOTS)
        self.upstreams.limit = limit

    def make_upstreams(self):
        """Return the upstreams, none of them started."""
        return BrittleUpstreams(self.fleet.clock, self._write, is_deadly)

    def schedule_share(self, share, seconds):
        """Schedule requests at a share of what all upstreams can run."""
        upstreams = self.upstreams
        places = upstreams.slots * len(upstreams.processes)
        self.schedule_traffic(share * places / upstreams.work, seconds)

    def falls_since(self, since):
        """Return the number of falls after a time."""
        return sum(at >= since for at in self.upstreams.falls)

    def allowed_falls(self):
        """Return the number of falls that is allowed."""
        count = len(self.upstreams.processes)
        return _ALLOWED_FALLS + _ALLOWED_SHARE * count

    def served_share(self):
        """Return the share of the requests that were answered completely."""
        ends = [sent.answer.end for sent in self.sent]
        return ends.count('whole') / len(ends)
