"""When a leaving host does what, within the time until it is killed."""

from dataclasses import dataclass

# Part of the grace that remains after requests without an answer were told
# how they ended: for them to be read, and for claims to be written.
_TOLD_BEFORE_SHARE = 1 / 6
_MAX_TOLD_BEFORE_SECONDS = 2.0
# Parts of that time that remain when begun answers are reset, and when the
# last connections are.
_RESET_BEFORE_SHARE = 0.5
_CLOSED_BEFORE_SHARE = 0.25


@dataclass(slots=True, frozen=True)
class GracePlan:
    """Times of a shutdown, on the clock, in seconds.

    Parameters
    ==========

    listens_until : float
        The port is closed.
    tells_at : float
        Requests without an answer are told how they ended.
    resets_at : float
        Answers that have begun are reset.
    closes_at : float
        Connections whose callers don't read are reset, and the host stops.
    """

    listens_until: float
    tells_at: float
    resets_at: float
    closes_at: float


def plan_grace(now, grace, lame_duck):
    """Return the plan of a host that gets its stop signal now.

    Parameters
    ==========

    grace : float
        Seconds until the host is killed.
    lame_duck : float
        Declared seconds for which a leaving host still listens.

    Examples
    ========

    >>> from pollenstile.entry._grace import plan_grace
    >>> plan_grace(0.0, 30.0, 2.0)
    GracePlan(listens_until=2.0, tells_at=28.0, resets_at=29.0, closes_at=29.5)
    >>> plan_grace(0.0, 1.2, 2.0).listens_until
    1.0
    """
    told_before = min(_MAX_TOLD_BEFORE_SECONDS, grace * _TOLD_BEFORE_SHARE)
    killed_at = now + grace
    tells_at = killed_at - told_before
    return GracePlan(
        listens_until=min(now + lame_duck, tells_at),
        tells_at=tells_at,
        resets_at=killed_at - told_before * _RESET_BEFORE_SHARE,
        closes_at=killed_at - told_before * _CLOSED_BEFORE_SHARE,
    )
