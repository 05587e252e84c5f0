"""A group that an owner has admitted, with the callers waiting for it."""

from pollenstile.stagework._types import Piece


class Job:
    """An admitted group with its pieces and waiting callers.

    Parameters
    ==========

    group : Group
        Requested group.
    now : float
        Current time on the clock, in seconds.
    waited : float
        Seconds from the caller's first arrival to this attempt's.

    Attributes
    ==========

    arrived_at : float
        Time of admission.
    started_at : float
        Time when the first piece was sent in a call; 0 before.
    waiters : list of Deferred
        Receive the outcome.
    on_read : list of function
        Called when all inputs were fetched.
    """

    __slots__ = (
        'arrived_at',
        'group',
        'on_read',
        'pieces',
        'started_at',
        'timer',
        'waited',
        'waiters',
    )

    def __init__(self, group, now, waited=0.0):
        self.group = group
        self.arrived_at = now
        self.started_at = 0.0
        self.waited = waited
        self.pieces = [Piece(group, number) for number in range(group.count)]
        self.timer = None
        self.waiters = []
        self.on_read = []

    def all_inputs_read(self):
        """Return whether the inputs of every piece were fetched."""
        return all(
            piece.handle or piece.inputs_fetched for piece in self.pieces
        )

    def handles(self):
        """Return the handles so far, in order; empty for unfinished pieces."""
        return tuple(piece.handle for piece in self.pieces)

    def end(self, outcome):
        """Send the outcome to all waiters."""
        if self.timer.active():
            self.timer.cancel()
        for waiter in self.waiters:
            if not waiter.called:
                waiter.callback(outcome)

    def notify_inputs_read(self):
        """Call and clear the callbacks that await the fetched inputs."""
        listeners = self.on_read
        self.on_read = []
        for listener in listeners:
            listener()
