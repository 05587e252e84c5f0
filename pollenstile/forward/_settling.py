"""Which answers of the store prove that a configuration is the newest."""

from pollenstile.platform import era_of

# Time after the first answer of a store that came back from an older copy.
# Until then the operator may not have written again what the copy lacks.
_REWRITE_SECONDS = 2.0
# Time beyond it at which a read is sent, so that its answer is a proof.
_MARGIN_SECONDS = 0.01
_LONG_AGO = -1000.0


class Settling:
    """Whether the operator has written again after a return of the store.

    Explanation
    ===========

    A store that has come back from an older copy shows an older configuration
    until the operator, who knows the newest one, writes it again. Whether the
    copy lacks anything can't be read from it. So its answers prove nothing for
    a time, or until the configuration is seen to be written.

    Parameters
    ==========

    suspend_clock : function
        Returns seconds, suspended time included.

    Attributes
    ==========

    until : float
        Time on the suspend clock from which answers are proofs again.
    first_revision : int
        Revision of the first read after the last return.
    unproven_at : float
        Time on the suspend clock of the last read that proved nothing.
    returned_at : float
        Time on the suspend clock of the last return of the store.
    """

    __slots__ = (
        'first_revision',
        'returned_at',
        'suspend_clock',
        'unproven_at',
        'until',
    )

    def __init__(self, suspend_clock):
        self.suspend_clock = suspend_clock
        self.until = _LONG_AGO
        self.first_revision = 0
        self.unproven_at = _LONG_AGO
        self.returned_at = _LONG_AGO

    def begin(self):
        """Record that the store has returned from an older copy."""
        self.returned_at = self.suspend_clock()
        self.until = self.returned_at + _REWRITE_SECONDS
        # What a reader tells of the new era is no own read, after which a write
        # could be seen.
        self.first_revision = 0

    def end(self):
        """Record that nothing more has to be written again."""
        self.until = _LONG_AGO

    def note_read(self, revision):
        """Record the revision of a read."""
        if era_of(revision) > era_of(self.first_revision):
            self.first_revision = revision

    def note_written(self, revision):
        """Record the revision at which the configuration was written."""
        if self.first_revision and revision > self.first_revision:
            self.end()

    def until_proof(self):
        """Return the seconds until answers are proofs again; 0 if they are."""
        remaining = self.until - self.suspend_clock()
        return remaining + _MARGIN_SECONDS if remaining > 0 else 0

    def is_over(self):
        """Return whether answers to calls of now are proofs."""
        return self.is_proof(self.suspend_clock())

    def is_proof(self, began):
        """Return whether an answer to a read of that time is a proof."""
        return began >= self.until
