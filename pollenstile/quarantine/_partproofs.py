"""Prompt parts on which upstreams have recently answered."""

from pollenstile.quarantine._recentevidence import RecentEvidence

# Parts that are remembered: several hundred requests a second, each with some
# parts that no other request had before.
_MAX_PARTS = 16384


class PartProofs:
    """Evidence that prompt parts do not crash upstreams.

    Explanation
    ===========

    A part that crashes upstreams does so when an answer begins. An answer that
    goes on proves all parts of its prompt, for the service that wrote it:
    upstreams of another service may run other software.

    Parameters
    ==========

    clock : IReactorTime
        Seconds.

    Attributes
    ==========

    answered : RecentEvidence
        Part and service of answers.
    answered_at : dict
        Time of this host's last such answer, by service.
    """

    __slots__ = ('answered', 'answered_at', 'clock')

    def __init__(self, clock):
        self.clock = clock
        self.answered = RecentEvidence(clock, _MAX_PARTS)
        self.answered_at = {}

    def add(self, part, service):
        """Record that an upstream of a service has answered on a part."""
        self.answered.add((part, service))

    def has_recent(self, part, service):
        """Return whether upstreams of a service recently answered on a part."""
        return self.answered.has_recent((part, service))

    def unproven(self, parts, service):
        """Return those parts on which no upstream recently answered."""
        return tuple(
            part for part in parts if not self.has_recent(part, service)
        )

    def note_working(self, service):
        """Record that an answer of a service goes on at this host."""
        self.answered_at[service] = self.clock.seconds()

    def works_since(self, service, moment):
        """Return whether answers of a service went on after a time.

        Explanation
        ===========

        While a service answers nothing at all, no part can be told from what
        ails the service.
        """
        answered_at = self.answered_at.get(service)
        return answered_at is not None and answered_at > moment
