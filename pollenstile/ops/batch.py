"""One call of an action for several changes that are applied together."""

from contextlib import contextmanager


class Batch:
    """Calls an action after each change, or once after several of them.

    Explanation
    ===========

    A host that starts applies hundreds of entries of one list. With an action
    for each of them, whose work grows with their number, the start takes time
    that grows with the square of the fleet.

    Parameters
    ==========

    action : function
        Called without arguments.

    Attributes
    ==========

    is_open : bool
        Whether several changes are being applied.
    is_due : bool
        Whether any of them needs the action.

    Examples
    ========

    >>> from pollenstile.ops.batch import Batch
    >>> batch = Batch(lambda: print('acted'))
    >>> with batch.opened():
    ...     batch.request()
    ...     batch.request()
    acted
    >>> batch.request()
    acted
    """

    __slots__ = ('action', 'is_due', 'is_open')

    def __init__(self, action):
        self.action = action
        self.is_open = False
        self.is_due = False

    def request(self):
        """Call the action now, or at the end of the open batch."""
        self.is_due = self.is_open
        if not self.is_open:
            self.action()

    @contextmanager
    def opened(self):
        """Return a context manager of a batch of changes."""
        self.is_open = True
        try:
            yield
        finally:
            self.is_open = False
            if self.is_due:
                self.request()
