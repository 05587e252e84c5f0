"""Which workers may be called, and which of them answer, without I/O."""

# A worker this much slower than its siblings only takes what they can't.
_SLOW = 1.8
# Calls past its time after which a call under way says that its worker does
# not answer: one call of another owner may go first.
_OVERDUE_CALLS = 1.0


def may_start(worker, workers, limits, waiting, now):
    """Return whether a worker takes a call now.

    Explanation
    ===========

    A slow one holds its pieces for longer than they would wait for the next
    call of a sound sibling. It gets some only while there is more than the
    sound ones take in one round.
    """
    if worker.calls >= limits.slots or worker.rest_until > now:
        return False
    if worker.speed < _SLOW:
        return True
    sound = [
        one for one in workers if one.speed < _SLOW and one.rest_until <= now
    ]
    return not sound or waiting > limits.batch * len(sound)


def answers(worker, full, now):
    """Return whether a worker neither rests nor is long overdue."""
    overdue = now > worker.busy_until + _OVERDUE_CALLS * full
    return worker.rest_until <= now and not (worker.calls and overdue)


def capacity(workers):
    """Return how many workers of usual speed these are worth."""
    return sum(1 / max(1, one.speed) for one in workers)
