"""Selection of pieces for a worker by input location, without I/O."""

from pollenstile.stagework._calltimes import LATE_CALLS
from pollenstile.stagework._workers import is_answering

# Slack, in calls, that a piece must keep to wait for a worker near its inputs.
_LOCALITY_SLACK_CALLS = 0.6
# Maximum wait, in calls, for such a worker if the piece is late anyway.
_LATE_LOCALITY_WAIT_CALLS = 1.0


def eligible_pieces(pieces, domain, free_in, now, work, round_size):
    """Return the pieces that a worker in a failure domain may take.

    Explanation
    ===========

    Transfers between domains have a cost: each piece of a late step reads all
    results of the step before, 1.4 to 7.7 MB a request. A piece is therefore
    made in another domain only if its request is then in time, or if the wait
    for a worker near its inputs is long. A piece that is late anyway gains
    nothing from a worker in another domain.

    Parameters
    ==========

    free_in : dict
        Seconds until a worker is free, by domain.
    work : float
        Seconds that the next call takes.
    round_size : int
        Number of pieces that all workers together take in one call each. When
        more pieces wait, call capacity is the bottleneck, and calls restricted
        to nearby inputs would be sent half empty.
    """
    if len(pieces) > round_size:
        return list(pieces)
    selected = []
    for piece in pieces:
        group = piece.group
        waits = [free_in[name] for name in group.near if name in free_in]
        is_near = domain in group.near or not waits
        if is_near or _may_cross_domains(group, min(waits), now, work):
            selected.append(piece)
    return selected


def _may_cross_domains(group, wait, now, work):
    """Return whether a group should be made away from its inputs now."""
    nearby_end = now + wait + work
    if now + work > group.due + LATE_CALLS * work:
        return (
            wait > _LATE_LOCALITY_WAIT_CALLS * work
            or nearby_end > group.deadline
        )
    return nearby_end + _LOCALITY_SLACK_CALLS * work > group.due


def seconds_until_free(workers, free, now, full):
    """Return seconds until a worker is free, by failure domain.

    Parameters
    ==========

    free : collection of Worker
        Workers that are free now.
    full : float
        Seconds of a full call.
    """
    free_in = {}
    for worker in workers:
        wait = max(0, worker.busy_until - now)
        if worker in free:
            wait = 0
        elif not worker.calls or not is_answering(worker, full, now):
            # The worker may be cut off, and pieces must not wait for it.
            continue
        free_in[worker.domain] = min(wait, free_in.get(worker.domain, wait))
    return free_in
