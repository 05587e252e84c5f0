"""How long pieces would wait, and which groups may, without I/O."""

from pollenstile.stagework._calltimes import (
    LATE_CALLS,
    call_seconds,
    full_seconds,
)
from pollenstile.stagework._workers import answers, capacity

# Share by which each step of urgency lengthens a wait: while a group waits,
# others come that are more urgent and go before it, at the rate that made the
# wait. A fixed time in its place refused those with short aims on calm days.
_PUSHED_BACK = 0.3
# Calls that a short queue takes: one, and what is left of one under way. What
# is late goes last, so it is in the way only by lengthening calls.
_IDLE_CALLS = 1.6
# Share of the groups of one urgency that is taken whatever the load, if they
# can be in time at all: no kind of request is to be starved by another.
_LEAST_SHARE = 0.35


def expected_wait(ahead, workers, limits, now, rate=0):
    """Return seconds until a piece with others ahead of it is made.

    Explanation
    ===========

    Calls that are full, at the speed of the workers that answer, give the
    least wait. Results that hold their room make it longer: where the stage is
    short of room and pieces have waited for a while, the rate at which they
    were made counts. The pieces in calls under way are made before: left out,
    the wait at a stage without room is taken for half of what it is, and
    requests are taken that come too late.

    A worker whose call should have ended long ago does not answer. Counted as
    free, as the rate was without it, a domain that is cut off makes the wait
    several times too long, and nearly all callers are refused by a queue that
    stands half empty.

    Parameters
    ==========

    ahead : int
        Pieces that wait and go before it, its own group included.
    workers : list of Worker
        Those that may be called.
    rate : float
        Pieces made a second lately; 0 when it is not known, or when the room
        for results does not bound it.
    """
    full = full_seconds(limits)
    sound = [one for one in workers if answers(one, full, now)] or workers
    if not sound:
        return limits.call_seconds * 4
    rounds = ahead / (limits.batch * capacity(sound))
    frees = sorted(max(0, one.busy_until - now) for one in sound)
    last = call_seconds(limits, min(limits.batch, max(1, ahead)))
    least = frees[0] + int(rounds) * full + last
    if not rate:
        return least
    flying = sum(one.flying for one in workers)
    return max(least, (flying + ahead) / rate)


def may_join_queue(group, wait, now, full, share=1.0):
    """Return whether a group's pieces may wait.

    Explanation
    ===========

    Pieces that are made too late take the place of others that would have
    been in time, and hold room that these need. Refused at once, the caller
    can come back when the queue is shorter. A group with inputs is taken
    always: the work before it is done.

    Parameters
    ==========

    wait : float
        Seconds until its last piece would be made.
    full : float
        Seconds of a full call.
    share : float
        Of the latest groups of its urgency, those that were taken.
    """
    if not group.is_first:
        return True
    pushed = _PUSHED_BACK * group.urgency if share > _LEAST_SHARE else 0
    if now + wait * (1 + pushed) <= group.due + LATE_CALLS * full:
        return True
    # Late whatever happens: taken only where it is in nobody's way. An
    # idle first step says nothing of those after it: in a burst that
    # crowded the second one, all that was late for it was let in here.
    idle = wait <= _IDLE_CALLS * full and not group.later_crowded
    return idle and now + wait <= group.deadline
