"""Decisions of the host that owns a stage's queue, without I/O.

Explanation
===========

A call costs its fixed time whatever it holds, so a stage carries most when a
free upstream takes all that waits: at 36 pieces a second and four upstreams
that take 240 ms a call and 25 ms a piece, hosts that batch alone bring 3% of
the requests through in time, one queue 100% (simulated, 60 s).
"""

# A group that can't be in time any more lets all others go first: an answer
# within its aim is worth five to ten times as much as a late one.
_LATE = 1
_IN_TIME = 0
# Seconds that a step of urgency is worth in the order of those in time. It
# decides between groups that are due about together, and nothing else, so
# that the least urgent still move when calls are short of time.
_URGENCY_SECONDS = 0.15
# A worker this much slower than its siblings only takes what they can't.
_SLOW = 1.8


def ranked(pieces, now, work):
    """Return pieces in the order in which they are to be made.

    Parameters
    ==========

    pieces : list of Piece
        Those that wait.
    now : float
        Seconds on the clock.
    work : float
        Seconds that the next call takes.
    """

    def rank(piece):
        group = piece.group
        late = _LATE if now + work > group.due else _IN_TIME
        if late:
            return late, group.urgency, group.ends, piece.number
        bias = _URGENCY_SECONDS * group.urgency
        return late, 0, group.due + bias, piece.number

    return sorted(pieces, key=rank)


def batch_for(pieces, worker, limits, now):
    """Return the pieces that a free worker takes now.

    Explanation
    ===========

    As many as a call may hold, in order, as far as there is room for the
    results. A result that does not fit is refused by the upstream after the
    piece has waited for its turn; so it is not sent.

    Parameters
    ==========

    pieces : list of Piece
        Ranked.
    """
    room = limits.room_bytes - worker.held_bytes(now) - worker.flying_bytes
    empty = not worker.held and not worker.flying
    batch = []
    for piece in pieces:
        if len(batch) >= limits.batch:
            break
        size = piece.group.result_bytes
        if size > room and not (empty and not batch):
            continue
        room -= size
        batch.append(piece)
    return batch


def call_seconds(limits, count):
    """Return the time that a call of some pieces takes at usual speed."""
    return limits.call_seconds + count * limits.piece_seconds


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
        one
        for one in workers
        if one.speed < _SLOW and one.rest_until <= now
    ]
    return not sound or waiting > limits.batch * len(sound)


def expected_wait(ahead, workers, limits, now):
    """Return seconds until a piece with others ahead of it is made.

    Parameters
    ==========

    ahead : int
        Pieces that go before it, its own group included.
    workers : list of Worker
        Those that may be called.
    """
    sound = [one for one in workers if one.rest_until <= now] or workers
    if not sound:
        return limits.call_seconds * 4
    rounds = ahead / (limits.batch * len(sound))
    full = call_seconds(limits, limits.batch)
    frees = sorted(max(0, one.busy_until - now) for one in sound)
    last = call_seconds(limits, min(limits.batch, max(1, ahead)))
    whole_rounds = max(0, rounds - 1)
    return frees[0] + whole_rounds * full + last


# A group is refused when its pieces would be made later than this share of
# the time between its due time and its end.
_LATE_SHARE = 0.25


def admitted(group, wait, now):
    """Return whether a group's pieces may wait.

    Explanation
    ===========

    Pieces that are made too late take the place of others that would have
    been in time. Refused at once, the caller can come back when the queue is
    shorter.

    Parameters
    ==========

    wait : float
        Seconds until its last piece would be made.
    """
    latest = group.due + _LATE_SHARE * max(0, group.ends - group.due)
    return now + wait <= latest or wait <= 0
