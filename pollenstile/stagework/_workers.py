"""Selection of workers that may be called, without I/O."""

# Speed (ratio of actual to expected call time) from which a worker is slow and
# gets only pieces that others cannot take.
_SLOW_SPEED = 1.8
# Calls beyond its expected end after which a call under way means that its
# worker does not answer: one call of another owner may be processed first.
_OVERDUE_CALLS = 1.0


def may_start(worker, workers, limits, waiting, now):
    """Return whether a worker may start a call now.

    Explanation
    ===========

    A slow worker holds its pieces longer than they would wait for the next call
    of a healthy one. So it gets pieces only while more of them wait than the
    healthy workers take in one call each.
    """
    if worker.calls >= limits.slots or worker.rest_until > now:
        return False
    if worker.speed < _SLOW_SPEED:
        return True
    healthy = [
        sibling
        for sibling in workers
        if sibling.speed < _SLOW_SPEED and sibling.rest_until <= now
    ]
    return not healthy or waiting > limits.batch * len(healthy)


def is_answering(worker, full, now):
    """Return whether a worker may be called and is not long overdue."""
    if worker.asked_until > now:
        return False
    overdue = now > worker.busy_until + _OVERDUE_CALLS * full
    return worker.rest_until <= now and not (worker.calls and overdue)


def is_missed(worker, workers, full, now):
    """Return whether a worker does not answer although siblings do.

    Explanation
    ===========

    While all workers are silent, nothing shows that one of them has failed.
    """
    if is_answering(worker, full, now):
        return False
    if worker.asked_until > now or worker.rest_until > now:
        return True
    overdue_at = worker.busy_until + _OVERDUE_CALLS * full
    return any(sibling.answered_at > overdue_at for sibling in workers)


def effective_workers(workers, full):
    """Return the equivalent number of workers of usual speed.

    Parameters
    ==========

    full : float
        Seconds of a full call of a worker of usual speed.
    """
    return sum(_effective_share(worker, full) for worker in workers)


def _effective_share(worker, full):
    share = 1 / max(1, worker.speed)
    if worker.call_rate:
        return min(share, worker.call_rate * full)
    return share
