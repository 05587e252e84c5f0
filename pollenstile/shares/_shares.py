"""Decides which groups a queue refuses for the sake of others."""

from pollenstile.shares._fairness import equal_level, has_deprived
from pollenstile.shares._sizes import SizeShares
from pollenstile.shares._window import Count, SlidingCounts, bucket_number

# Reasons for which a group is refused.
LESS_URGENT = 'less urgent'
TEAM_SHARE = 'team share'
# Groups after which the shares of a new owner count.
_MIN_GROUPS = 20
# Admitted share of the more urgent pieces below which less urgent ones yield.
_SERVED_SHARE = 0.95
# Admitted share of an urgency's pieces below which it yields to no other.
_MIN_URGENCY_SHARE = 0.25
# Ratio of a team's admitted share to that of all teams below which it yields to
# no team.
_MIN_TEAM_RATIO = 0.25


class TeamShares:
    """Shares of the teams of one urgency.

    Attributes
    ==========

    counts : SlidingCounts
        Pieces by team.
    level : float
        Most pieces that each team gets by max-min fairness; infinite while no
        team lacks a part of its share.
    bucket : int
        Bucket of the window for which the level holds. It is computed once per
        bucket, as a queue may serve a thousand teams.
    """

    __slots__ = ('bucket', 'counts', 'level')

    def __init__(self):
        self.counts = SlidingCounts()
        self.level = float('inf')
        self.bucket = -1

    def exceeds(self, team, total, now):
        """Return whether a team has more than its share while others lack.

        Explanation
        ===========

        A team whose pieces are admitted far more seldom than those of all
        teams never has.

        Parameters
        ==========

        total : Count
            Pieces of all teams of the urgency.
        """
        self._update_level(total, now)
        count = self.counts.totals.get(team)
        if count is None or count.admitted <= self.level:
            return False
        return count.share() >= _MIN_TEAM_RATIO * total.share()

    def _update_level(self, total, now):
        bucket = bucket_number(now)
        if bucket == self.bucket:
            return
        self.bucket = bucket
        self.counts.advance(now)
        counts = self.counts.totals.values()
        level = equal_level([count.offered for count in counts], total.admitted)
        self.level = level if has_deprived(counts, level) else float('inf')


class AdmissionShares:
    """What a stage queue was offered and admitted, and who yields to whom.

    Explanation
    ===========

    The shares only refuse groups that would be admitted by their expected wait.
    A refusal shortens the queue, so that the more urgent groups and the teams
    below their share, which arrive next, are admitted by theirs.

    Attributes
    ==========

    seen : int
        Groups recorded, up to the number from which the shares count.
    offered, admitted : dict
        Pieces since the start, by urgency.
    by_urgency : SlidingCounts
        Recent pieces by urgency.
    teams, sizes : dict
        :class:`TeamShares` and :class:`SizeShares` of each urgency.

    Examples
    ========

    >>> from pollenstile.stagework import Group
    >>> shares = AdmissionShares()
    >>> urgent = Group('a', 's', 0, 1, urgency=0)
    >>> other = Group('b', 's', 0, 1, urgency=1)
    >>> for _ in range(20):
    ...     shares.record(urgent, 0.0, accepted=False)
    >>> shares.record(other, 0.0, accepted=True)
    >>> shares.refuses(other, 0.5)
    'less urgent'
    >>> shares.refuses(urgent, 0.5), shares.refuses(other, 2.5)
    ('', '')
    """

    __slots__ = ('admitted', 'by_urgency', 'offered', 'seen', 'sizes', 'teams')

    def __init__(self):
        self.seen = 0
        self.offered = {}
        self.admitted = {}
        self.by_urgency = SlidingCounts()
        self.teams = {}
        self.sizes = {}

    def record(self, group, now, *, accepted):
        """Record that a group of a first step was offered.

        Parameters
        ==========

        group : Group
            Its ``count``, ``urgency`` and ``team`` count.
        now : float
            Seconds on the clock.
        accepted : bool
            Whether it was admitted.
        """
        urgency = group.urgency
        pieces = group.count
        if not pieces:
            return
        admitted = pieces if accepted else 0
        self.seen = min(_MIN_GROUPS, self.seen + 1)
        self.offered[urgency] = self.offered.get(urgency, 0) + pieces
        self.admitted[urgency] = self.admitted.get(urgency, 0) + admitted
        self.by_urgency.add(urgency, now, pieces, admitted)
        if urgency not in self.teams:
            self.teams[urgency] = TeamShares()
            self.sizes[urgency] = SizeShares()
        self.teams[urgency].counts.add(group.team, now, pieces, admitted)
        self.sizes[urgency].counts.add(pieces, now, 1, int(accepted))

    def refuses(self, group, now):
        """Return why a group is refused; empty if it is not.

        Explanation
        ===========

        Groups of a size that is admitted too seldom are never refused here.

        Parameters
        ==========

        group : Group
            A new group of a first step that the expected wait would admit.
        now : float
            Seconds on the clock.
        """
        if self.seen < _MIN_GROUPS or group.urgency not in self.teams:
            return ''
        if self.sizes[group.urgency].is_neglected(group.count, now):
            return ''
        if self.yields(group.urgency, now):
            return LESS_URGENT
        total = self.by_urgency.totals.get(group.urgency, Count())
        if self.teams[group.urgency].exceeds(group.team, total, now):
            return TEAM_SHARE
        return ''

    def yields(self, urgency, now):
        """Return whether an urgency yields to more urgent ones."""
        if self.seen < _MIN_GROUPS:
            return False
        self.by_urgency.advance(now)
        own = Count()
        more = Count()
        for other, count in self.by_urgency.totals.items():
            if other < urgency:
                more.add(count.offered, count.admitted)
            elif other == urgency:
                own = count
        return (
            more.share() < _SERVED_SHARE and own.share() >= _MIN_URGENCY_SHARE
        )
