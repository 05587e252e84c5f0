"""Latest backlogs that owners of queues have reported."""

from dataclasses import dataclass

# Seconds for which a reported backlog is used.
_BACKLOG_VALID_SECONDS = 2.0


@dataclass(slots=True, frozen=True)
class Backlog:
    """A queue's backlog as its owner reported it.

    Parameters
    ==========

    wait : float
        Expected wait of a new piece, in seconds.
    tight : bool
        Whether the stage is short of memory for results.
    received_at : float
        Time of receipt on the clock.
    """

    wait: float
    tight: bool
    received_at: float


class Backlogs:
    """Latest reported backlog of each service.

    Parameters
    ==========

    clock : IReactorTime
        Source of the receipt times.

    Attributes
    ==========

    by_service : dict
        :class:`Backlog` by service.
    """

    __slots__ = ('by_service', 'clock')

    def __init__(self, clock):
        self.clock = clock
        self.by_service = {}

    def record(self, service, outcome):
        """Record the backlog in an owner's answer."""
        tight = getattr(outcome, 'tight', False)
        now = self.clock.seconds()
        self.by_service[service] = Backlog(outcome.wait, tight, now)

    def latest(self, service, within=_BACKLOG_VALID_SECONDS):
        """Return the backlog received within some seconds, or None."""
        backlog = self.by_service.get(service)
        if backlog is None:
            return None
        age = self.clock.seconds() - backlog.received_at
        return backlog if age < within else None
