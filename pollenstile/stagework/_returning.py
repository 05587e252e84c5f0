"""Promised return times at an owner's queue: refusals and admissions."""

from pollenstile.stagework._admission import BUSY, LATE
from pollenstile.stagework._calltimes import full_seconds, long_wait
from pollenstile.stagework._types import GroupRefused
from pollenstile.stagework._waiting import answering_workers
from pollenstile.stagework._workers import effective_workers


def admits_due(owner, group):
    """Return whether a group is admitted because its caller is due.

    Explanation
    ===========

    The group is then due when its wait behind all waiting pieces ends, and is
    not ranked as late after that. Its own due time counts from the caller's
    first arrival and has often passed. Ranked first, it would make those late
    that were admitted before it. If its wait is too long for its deadline, or
    more urgent groups are refused, the usual rule decides.
    """
    now = owner.clock.seconds()
    if owner.returns is None or not owner.returns.is_due(group, now):
        return False
    if yields(owner, group, now):
        return False
    wait = owner.wait(group.count)
    if now + wait + _later_seconds(owner, group) > group.deadline:
        return False
    group.is_returning = True
    group.due = max(group.due, now + wait)
    owner.returns.record_return(group)
    if group.is_first:
        owner.stats.record_admission(group.urgency, accepted=True)
        if owner.shares is not None:
            owner.shares.record(group, now, accepted=True)
    return True


def forget_promise(owner, group):
    """Drop the promise to a caller that was admitted as a new one."""
    if owner.returns is not None:
        owner.returns.forget(group)


def refusal(owner, group, waited):
    """Return the refusal of a group that may not join the queue.

    Explanation
    ===========

    A caller whose urgency yields to more urgent ones is promised nothing. It is
    told the wait, like others: told the length of the shares' window, callers
    came back too late for their target latency.

    Parameters
    ==========

    waited : float
        Seconds from the caller's first arrival to this attempt's.
    """
    wait = owner.wait(group.count)
    if not group.is_first:
        return GroupRefused(LATE, wait, wait, waited)
    now = owner.clock.seconds()
    if owner.returns is None or yields(owner, group, now):
        return GroupRefused(BUSY, wait, wait, waited)
    seconds = owner.returns.promise(group, now, wait, queue_rate(owner))
    if seconds is None:
        return GroupRefused(BUSY, wait, wait, waited)
    return GroupRefused(BUSY, seconds, wait, waited, promised=True)


def yields(owner, group, now):
    """Return whether a group's urgency yields to more urgent ones."""
    return owner.shares is not None and owner.shares.yields(group.urgency, now)


def queue_rate(owner):
    """Return the pieces per second that a queue makes.

    Explanation
    ===========

    The measured rate counts where it is known, and otherwise full calls of the
    workers that answer.
    """
    now = owner.clock.seconds()
    measured = owner.stats.rate(now, queued=bool(owner.waiting))
    if measured:
        return measured
    full = full_seconds(owner.limits)
    workers = answering_workers(list(owner.workers.values()), full, now)
    return effective_workers(workers, full) * owner.limits.batch / full


def _later_seconds(owner, group):
    """Return the seconds to leave for later steps.

    Explanation
    ===========

    Of the later steps, a group only knows that one of their queues is long. It
    is taken to be as long, in this stage's calls, as a queue that counts as
    long.
    """
    return long_wait(owner.limits) if group.later_crowded else 0.0
