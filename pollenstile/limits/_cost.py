"""Cost accounting by stage and team, with the share of wasted work."""

USEFUL = 'useful'
# Kinds of wasted cost: an attempt without an answer, or with an incomplete one.
FAILED = 'failed'
# An attempt that lost to another one, or whose caller disconnected.
CANCELLED = 'cancelled'
# A completed stage of a request that ends without an answer.
ABANDONED = 'abandoned'
_MILLI = 1000


def silent_count(name, number=1):
    """Ignore a count; the default of metrics callbacks."""


class CostAccount:
    """Costs since the start of the process, in the unit of the manifest.

    Parameters
    ==========

    count : function
        Takes a metric's name and a number, in thousandths of the unit.

    Examples
    ========

    >>> from pollenstile.limits import CostAccount
    >>> costs = CostAccount()
    >>> costs.add('rerank', 'dispatchers', 'useful', 3.0)
    >>> costs.add('rerank', 'dispatchers', 'cancelled', 1.0)
    >>> costs.wasted_share()
    0.25
    """

    __slots__ = ('amounts', 'count')

    def __init__(self, count=silent_count):
        self.amounts = {}
        self.count = count

    def add(self, stage, team, kind, cost):
        """Add the cost of a stage attempt to a team's account."""
        key = (stage, team, kind)
        self.amounts[key] = self.amounts.get(key, 0.0) + cost
        self.count(f'cost.stage.{stage}.{kind}', round(cost * _MILLI))
        self.count(f'cost.team.{team}.{kind}', round(cost * _MILLI))

    def abandon(self, stage, team, cost):
        """Move the cost of a completed stage from useful to abandoned."""
        self.add(stage, team, USEFUL, -cost)
        self.add(stage, team, ABANDONED, cost)

    def total(self, *, stage=None, team=None, kind=None):
        """Return the total cost that matches all given criteria."""
        wanted = (stage, team, kind)
        total = 0.0
        for key, cost in self.amounts.items():
            if _matches(key, wanted):
                total += cost
        return total

    def wasted_share(self):
        """Return the share of the total cost that was not useful."""
        total = self.total()
        if total <= 0:
            return 0.0
        return 1 - self.total(kind=USEFUL) / total

    def document(self):
        """Return the costs by stage and team as JSON types."""
        rows = []
        for key, cost in sorted(self.amounts.items()):
            stage, team, kind = key
            rows.append(
                {
                    'stage': stage,
                    'team': team,
                    'kind': kind,
                    'cost': round(cost, 3),
                },
            )
        return rows


def _matches(key, wanted):
    for part, value in zip(key, wanted, strict=True):
        if value not in {None, part}:
            return False
    return True
