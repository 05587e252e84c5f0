"""Expected waits of pieces, and admission of groups by them, without I/O."""

from pollenstile.stagework._calltimes import (
    LATE_CALLS,
    call_seconds,
    full_seconds,
)
from pollenstile.stagework._workers import effective_workers, is_missed

# Share by which each step of urgency lengthens the expected wait: while a group
# waits, more urgent groups arrive and overtake it, at the rate that caused the
# wait. A fixed time instead refused groups with short target latencies under
# light load.
_OVERTAKEN_SHARE = 0.3
# Wait in calls up to which a queue counts as short: one call, and the remainder
# of one under way. Late groups are ranked last, so they only delay others by
# lengthening calls.
_IDLE_CALLS = 1.6
# Share of the groups of one urgency that are admitted at any load if they can
# be in time at all, so that no kind of request is starved by another.
_MIN_ADMITTED_SHARE = 0.35


def expected_wait(ahead, workers, limits, now, rate=0):
    """Return the expected seconds until a piece behind others is made.

    Explanation
    ===========

    The lower bound assumes full calls at the speed of the workers that answer.
    When a stage is short of memory for results and pieces have waited for a
    while, the measured rate of finished pieces gives another lower bound. This
    one counts the pieces in calls under way too, because they are finished
    first. Without them, the expected wait at a stage without free memory is
    half of the actual one, and requests are admitted that finish too late.

    A worker whose call is long overdue while others answer is missed. If such
    workers counted as free while the rate excludes them, a failure domain that
    is cut off would make the expected wait several times too long, and nearly
    all callers would be refused by a queue that is half empty.

    Parameters
    ==========

    ahead : int
        Waiting pieces that are made before the piece, its own group included.
    workers : list of Worker
        Workers that may be called.
    rate : float
        Recent pieces per second; 0 when it is unknown, or when memory for
        results does not limit it.
    """
    full = full_seconds(limits)
    answering = answering_workers(workers, full, now)
    if not answering:
        return limits.call_seconds * 4
    rounds = ahead / (limits.batch * effective_workers(answering, full))
    free_in = sorted(
        max(0, worker.busy_until - now, worker.asked_until - now)
        for worker in answering
    )
    last_call = call_seconds(limits, min(limits.batch, max(1, ahead)))
    lower_bound = free_in[0] + int(rounds) * full + last_call
    if not rate:
        return lower_bound
    pieces_in_flight = sum(worker.pieces_in_flight for worker in workers)
    return max(lower_bound, (pieces_in_flight + ahead) / rate)


def answering_workers(workers, full, now):
    """Return the workers that are not missed, or all if all are missed.

    Parameters
    ==========

    full : float
        Seconds of a full call.
    """
    return [
        worker
        for worker in workers
        if not is_missed(worker, workers, full, now)
    ] or workers


def may_join_queue(group, wait, now, full, share=1.0):
    """Return whether a group's pieces may join the queue.

    Explanation
    ===========

    Pieces that are made too late delay others that would have been in time, and
    take up memory that the others need. After an immediate refusal, the caller
    can retry when the queue is shorter. A group of a later step may always
    join here, because the work of earlier steps is done; a graded queue still
    refuses it if it can't be made before its deadline.

    Parameters
    ==========

    wait : float
        Expected seconds until its last piece is made.
    full : float
        Seconds of a full call.
    share : float
        Share of recent groups of the same urgency that were admitted.
    """
    if not group.is_first:
        return True
    overtaken = (
        _OVERTAKEN_SHARE * group.urgency if share > _MIN_ADMITTED_SHARE else 0
    )
    if now + wait * (1 + overtaken) <= group.due + LATE_CALLS * full:
        return True
    # A group that is late in any case is admitted only where it delays no
    # others.
    return is_short(group, wait, full) and now + wait <= group.deadline


def is_short(group, wait, full):
    """Return whether a group that joins a queue delays no others.

    Explanation
    ===========

    An idle first step says nothing about later steps: in a burst that crowded
    the second step, all groups that were late for it were admitted at the first
    one.
    """
    return wait <= _IDLE_CALLS * full and not group.later_crowded
