"""Which pieces a worker takes, by where their inputs lie, without I/O."""

from pollenstile.stagework._calltimes import LATE_CALLS
from pollenstile.stagework._workers import answers

# Calls to spare with which a piece waits for a worker near its inputs, and
# calls that one waits which is late anyway.
_NEAR_CALLS = 0.6
_NEAR_LATE_CALLS = 1.0


def eligible_pieces(pieces, domain, frees_in, now, work, round_size):
    """Return the pieces that a worker of a failure domain may take.

    Explanation
    ===========

    Inputs that cross domains are paid for: each piece of a late step reads
    all results of the step before, 1.4 to 7.7 MB a request. So a piece crosses
    only if that makes its request in time, or when the wait for a worker near
    its inputs is long; one that is late anyway gains nothing by crossing.

    Parameters
    ==========

    frees_in : dict
        Seconds until a worker is free, by domain.
    work : float
        Seconds that the next call takes.
    round_size : int
        Pieces that all workers take in one call each. When more wait, calls
        are the bound, and those that hold only what lies near go out half
        empty.
    """
    if len(pieces) > round_size:
        return list(pieces)
    found = []
    for piece in pieces:
        group = piece.group
        waits = [frees_in[one] for one in group.near if one in frees_in]
        is_near = domain in group.near or not waits
        if is_near or _crosses(group, min(waits), now, work):
            found.append(piece)
    return found


def _crosses(group, wait, now, work):
    """Return whether a group is better made far from its inputs, now."""
    near = now + wait + work
    if now + work > group.due + LATE_CALLS * work:
        return wait > _NEAR_LATE_CALLS * work or near > group.ends
    return near + _NEAR_CALLS * work > group.due


def seconds_until_free(workers, free, now, full):
    """Return seconds until a worker of each failure domain is free.

    Parameters
    ==========

    free : collection of Worker
        Those that are free now.
    full : float
        Seconds of a full call.
    """
    found = {}
    for worker in workers:
        wait = max(0, worker.busy_until - now)
        if worker in free:
            wait = 0
        elif not worker.calls or not answers(worker, full, now):
            # What is near one that was cut off would wait for it in vain.
            continue
        found[worker.domain] = min(wait, found.get(worker.domain, wait))
    return found
