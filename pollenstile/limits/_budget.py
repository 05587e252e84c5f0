"""Token bucket that keeps retries and hedges a fraction of all calls."""


class RetryBudget:
    """Retries and hedges that may be sent now.

    Explanation
    ===========

    Each first attempt earns a fraction of a token; each retry or hedge spends
    one. When upstreams fail in numbers, retries can't multiply the load.

    Parameters
    ==========

    ratio : float
        Retries allowed for each first attempt.
    burst : float
        Tokens kept at most, and at the start.

    Examples
    ========

    >>> from pollenstile.limits import RetryBudget
    >>> budget = RetryBudget(0.5, burst=1)
    >>> budget.spent(), budget.spent()
    (True, False)
    >>> budget.earn()
    >>> budget.earn()
    >>> budget.spent()
    True
    """

    __slots__ = ('burst', 'ratio', 'tokens')

    def __init__(self, ratio, burst=20):
        self.ratio = ratio
        self.burst = burst
        self.tokens = burst

    def earn(self):
        """Note a first attempt."""
        self.tokens = min(self.burst, self.tokens + self.ratio)

    def spent(self):
        """Take a token; return whether there was one."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
