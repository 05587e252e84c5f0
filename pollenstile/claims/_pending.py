"""Records on their way into the log, and what becomes of them."""

from dataclasses import dataclass

from twisted.internet.defer import Deferred

from pollenstile.claims._records import Record


@dataclass(slots=True, frozen=True)
class Held:
    """The claim is settled: this record holds the key."""

    record: Record


@dataclass(slots=True, frozen=True)
class Unreached:
    """The claim is not to be used: it is not in the log, or is released.

    Parameters
    ==========

    reason : str
        Why, in short.
    retry_after : float
        Seconds.
    """

    reason: str
    retry_after: float = 1.0


class Pending:
    """A record that waits for its place in the log.

    Parameters
    ==========

    record : Record
        What to append.
    own : bool
        Whether this host runs the request that claims.

    Attributes
    ==========

    done : Deferred
        Fires once, with :class:`Held` or :class:`Unreached`.
    is_sent : bool
        Whether it may be in the log already, or come there.
    """

    __slots__ = ('done', 'is_own', 'is_sent', 'record')

    def __init__(self, record, *, own=True):
        self.record = record
        self.is_own = own
        self.done = Deferred()
        self.is_sent = False

    @property
    def is_open(self):
        """Whether somebody still waits for a claim."""
        return self.record.step == 'claim' and not self.done.called

    @property
    def is_wanted(self):
        """Whether it still has to go into the log."""
        return self.record.step == 'release' or not self.done.called

    def settle(self, outcome):
        """Tell whoever waits."""
        if not self.done.called:
            self.done.callback(outcome)
