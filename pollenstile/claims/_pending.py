"""Records that wait to be appended to a log, and the results of claims."""

from dataclasses import dataclass

from twisted.internet.defer import Deferred

from pollenstile.claims._records import Record


@dataclass(slots=True, frozen=True)
class Held:
    """Result of a claim that is decided: ``record`` holds the key."""

    record: Record


@dataclass(slots=True, frozen=True)
class NotClaimed:
    """Result of a claim that must not be used: not in the log, or released.

    Parameters
    ==========

    reason : str
        Short description of the cause.
    retry_after : float
        Seconds after which the caller may retry.
    """

    reason: str
    retry_after: float = 1.0


class Pending:
    """A record that waits to be appended to the log.

    Parameters
    ==========

    record : Record
        The record to append.
    own : bool
        Whether this host runs the request that claims.
    restored : bool
        Whether the log had the claim and has lost it.

    Attributes
    ==========

    done : Deferred
        Fires once, with :class:`Held` or :class:`NotClaimed`.
    is_sent : bool
        Whether the record may be in the log already or may still be
        written to it.
    """

    __slots__ = ('done', 'is_own', 'is_restored', 'is_sent', 'record')

    def __init__(self, record, *, own=True, restored=False):
        self.record = record
        self.is_own = own
        self.is_restored = restored
        self.done = Deferred()
        self.is_sent = False

    @property
    def is_awaited(self):
        """Whether this is a claim whose result is not yet known."""
        is_new = self.record.step == 'claim' and not self.is_restored
        return is_new and not self.done.called

    @property
    def must_append(self):
        """Whether the record still has to be appended to the log."""
        return self.is_kept or not self.done.called

    @property
    def is_kept(self):
        """Whether no caller waits, and the record must be in the log."""
        return self.record.step == 'release' or self.is_restored

    def settle(self, outcome):
        """Deliver the result, unless one was delivered before."""
        if not self.done.called:
            self.done.callback(outcome)
