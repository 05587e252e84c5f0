"""What owners told of their queues."""

from dataclasses import dataclass

# Seconds for which word of a backlog says something.
_WORD_SECONDS = 2.0


@dataclass(slots=True, frozen=True)
class Backlog:
    """What an owner told of its queue.

    Parameters
    ==========

    wait : float
        Seconds until a new piece would be made.
    tight : bool
        Whether the stage is short of room for results.
    told_at : float
        On the clock.
    """

    wait: float
    tight: bool
    told_at: float


class Backlogs:
    """The latest word of each owner.

    Parameters
    ==========

    clock : IReactorTime
        Dates it.

    Attributes
    ==========

    told : dict
        :class:`Backlog` by service.
    """

    __slots__ = ('clock', 'told')

    def __init__(self, clock):
        self.clock = clock
        self.told = {}

    def note(self, service, outcome):
        """Take what an owner answered a group with."""
        tight = getattr(outcome, 'tight', False)
        now = self.clock.seconds()
        self.told[service] = Backlog(outcome.wait, tight, now)

    def latest(self, service, within=_WORD_SECONDS):
        """Return what an owner told in the last seconds, or None."""
        backlog = self.told.get(service)
        if backlog is None:
            return None
        age = self.clock.seconds() - backlog.told_at
        return backlog if age < within else None
