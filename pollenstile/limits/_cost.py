"""What work costs, by stage and team, and how much of it was for nothing."""

USEFUL = 'useful'
# An attempt whose answer did not come, or came broken.
FAILED = 'failed'
# An attempt that another one overtook, or whose caller is gone.
CANCELLED = 'cancelled'
# Finished stages of a request that has no answer in the end.
ABANDONED = 'abandoned'
_MILLI = 1000


def silent_count(name, number=1):
    """Count nothing."""


class CostAccount:
    """Cost in the manifest's unit since the start.

    Parameters
    ==========

    count : function
        Takes a metric's name and a number; thousandths of the unit.

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
        """Note what a stage's attempt has cost a team."""
        key = (stage, team, kind)
        self.amounts[key] = self.amounts.get(key, 0.0) + cost
        self.count(f'cost.stage.{stage}.{kind}', round(cost * _MILLI))
        self.count(f'cost.team.{team}.{kind}', round(cost * _MILLI))

    def abandon(self, stage, team, cost):
        """Note that a finished stage was for nothing."""
        self.add(stage, team, USEFUL, -cost)
        self.add(stage, team, ABANDONED, cost)

    def total(self, *, stage=None, team=None, kind=None):
        """Return the cost of all that matches what is given."""
        wanted = (stage, team, kind)
        total = 0.0
        for key, cost in self.amounts.items():
            if _matches(key, wanted):
                total += cost
        return total

    def wasted_share(self):
        """Return the part of all cost that no answer came from."""
        total = self.total()
        if total <= 0:
            return 0.0
        return 1 - self.total(kind=USEFUL) / total

    def document(self):
        """Return the costs by stage and team, of JSON's types."""
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
