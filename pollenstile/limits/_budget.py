"""Token bucket that limits retries and hedges to a fraction of all calls."""


class RetryBudget:
    """Token bucket for retries and hedges.

    Explanation
    ===========

    Each first attempt earns a fraction of a token; each retry or hedge spends
    one. When many upstreams fail, retries can't multiply the load.

    Parameters
    ==========

    ratio : float
        Retries allowed for each first attempt.
    burst : float
        Maximum and initial number of tokens.

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
        """Add the fraction of a token that a first attempt earns."""
        self.tokens = min(self.burst, self.tokens + self.ratio)

    def spent(self):
        """Spend a token; return whether there was one."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
