"""A group that an owner has taken, and who waits for it."""

from pollenstile.stagework._types import Piece


class Job:
    """A group, its pieces, and who waits for them.

    Parameters
    ==========

    group : Group
        What is asked for.
    now : float
        Seconds on the clock.
    waited : float
        Seconds from the caller's first arrival to this one's.

    Attributes
    ==========

    begun : float
        When the first piece went into a call; 0 before.
    waiters : list of Deferred
        Get the outcome.
    on_read : list of function
        Called when all inputs were fetched.
    """

    __slots__ = (
        'begun',
        'came',
        'group',
        'on_read',
        'pieces',
        'timer',
        'waited',
        'waiters',
    )

    def __init__(self, group, now, waited=0.0):
        self.group = group
        self.came = now
        self.begun = 0.0
        self.waited = waited
        self.pieces = [Piece(group, number) for number in range(group.count)]
        self.timer = None
        self.waiters = []
        self.on_read = []

    def all_read(self):
        """Return whether every piece has fetched its inputs."""
        return all(piece.handle or piece.read for piece in self.pieces)

    def handles(self):
        """Return the handles so far, in order; empty for what is not made."""
        return tuple(piece.handle for piece in self.pieces)

    def end(self, outcome):
        """Hand the outcome to all who wait."""
        if self.timer.active():
            self.timer.cancel()
        for waiter in self.waiters:
            if not waiter.called:
                waiter.callback(outcome)

    def tell_read(self):
        """Call once who waits for the inputs to be fetched."""
        listeners = self.on_read
        self.on_read = []
        for listener in listeners:
            listener()
