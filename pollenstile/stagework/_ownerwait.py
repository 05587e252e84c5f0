"""Wait of a host that has just started for the owners of stage queues."""

from pollenstile.platform import paused

# Seconds for which a host that can serve waits until it may link to peers, and
# from then on until the links are open.
_JOIN_SECONDS = 2.0
_LINK_SECONDS = 1.0
_CHECK_SECONDS = 0.02
_NEVER = float('-inf')
_UNBOUNDED = float('inf')


class OwnerWait:
    """Whether a host leaves its pieces to owners that it is not linked to yet.

    Explanation
    ===========

    A host without links queues its pieces itself. If all hosts do that when
    they come back at the same time, the servers of a stage get calls of few
    pieces from dozens of queues, refuse most of them, and the hosts refuse
    their callers.

    Parameters
    ==========

    clock : IReactorTime
        Times the wait.
    ownership : Ownership
        The owners, and the links to them.

    Attributes
    ==========

    until : float
        Time on the clock at which the wait ends.
    is_joined : bool
        Whether the host links to peers.
    is_known : function
        Returns whether the host knows the other hosts.
    """

    __slots__ = ('clock', 'is_joined', 'is_known', 'ownership', 'until')

    def __init__(self, clock, ownership):
        self.clock = clock
        self.ownership = ownership
        self.until = _NEVER
        self.is_joined = False
        self.is_known = _always

    def expect(self):
        """Wait from now on: the host has started."""
        self.until = _UNBOUNDED

    def note_state(self):
        """Limit the wait: the host can serve."""
        self.until = self.clock.seconds() + _JOIN_SECONDS

    def note_joined(self):
        """Limit the wait further: the host links to its peers."""
        self.is_joined = True
        self.until = self.clock.seconds() + _LINK_SECONDS

    def is_on(self, service):
        """Return whether pieces of a service wait for its owner."""
        if self.clock.seconds() >= self.until:
            return False
        if self.is_joined and self.is_known():
            return self.ownership.awaits_link(service)
        return True

    async def pass_by(self, service, deadline):
        """Return when the owner is linked, or is not waited for any more."""
        while self.is_on(service) and self.clock.seconds() < deadline:
            await paused(self.clock, _CHECK_SECONDS)


def _always():
    return True
