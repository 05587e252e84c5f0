"""How long ago a caller came first."""


class Patience:
    """How long callers of a route wait in all.

    Explanation
    ===========

    A caller that was refused and comes back has less time left than one that
    comes first, and its aim counts from the first time. Taken for a new one,
    it would go before others that can still be in time.

    Attributes
    ==========

    longest : dict
        Seconds that callers of a route had left at most, by its name.

    Examples
    ========

    >>> from pollenstile.forward._patience import Patience
    >>> patience = Patience()
    >>> patience.waited('draft', 15.0), patience.waited('draft', 14.0)
    (0.0, 1.0)
    """

    __slots__ = ('longest',)

    def __init__(self):
        self.longest = {}

    def waited(self, route, left):
        """Return seconds since a caller came first, as far as is known."""
        longest = max(left, self.longest.get(route, left))
        self.longest[route] = longest
        return longest - left
