"""How long requests, their work and the grace of hosts last in a live run."""

from dataclasses import dataclass
from zlib import crc32


@dataclass(slots=True, frozen=True)
class Lengths:
    """Durations of a run, in seconds.

    Parameters
    ==========

    deadline : float
        Deadline of all requests.
    grace : float
        Time that a host has to shut down after SIGTERM before it is killed.
    lookups : tuple of float
        Time that a lookup takes; the request decides which.
    gaps : tuple of float
        Time between the events of a stream; the request decides which.
    """

    deadline: float
    grace: float
    lookups: tuple
    gaps: tuple

    def lookup_seconds(self, ident):
        """Return the time that a lookup takes."""
        return _choice(self.lookups, ident)

    def event_gap(self, ident):
        """Return the time between the events of a stream."""
        return _choice(self.gaps, ident)


def _choice(values, ident):
    return values[crc32(ident.encode()) % len(values)]


# The grace is the time for which a leaving host still accepts requests, and the
# longest deadline.
USUAL = Lengths(deadline=5.0, grace=8.0, lookups=(0.08,), gaps=(0.04, 0.14))
