"""Decisions of the host that owns a stage's queue, without I/O.

Explanation
===========

A call costs its fixed time whatever it holds, so a stage carries most when a
free upstream takes all that waits: at 36 pieces a second and four upstreams
that take 240 ms a call and 25 ms a piece, hosts that batch alone bring 6% of
the requests through in their aim, one queue 99% (virtual time, 20 s).
"""

# A group that can't be in time any more lets all others go first: an answer
# within its aim is worth five to ten times as much as a late one.
_LATE = 1
_IN_TIME = 0
# Calls that a step of urgency is worth in the order of those in time. It
# decides between groups that are due about together, and nothing else, so
# that the least urgent still move when calls are short of time.
_URGENCY_CALLS = 0.9
# Results without a size: as many as a call holds.
_ANY_NUMBER = 1000
# Calls to spare with which a piece waits for a worker near its inputs, and
# calls that one waits which is late anyway.
_NEAR_CALLS = 0.6
_NEAR_LATE_CALLS = 1.0
# A worker this much slower than its siblings only takes what they can't.
_SLOW = 1.8
# Calls past its due time up to which a group is taken. The estimate ends with
# a whole call, of which a piece waits half on average.
_LATE_CALLS = 0.55
# Share by which each step of urgency lengthens a wait: while a group waits,
# others come that are more urgent and go before it, at the rate that made the
# wait. A fixed time in its place, 0.4 s a step, refused on a calm day a tenth
# of what had an aim of 1 s, 266 ms of wait and 214 ms to spare.
_PUSHED_BACK = 0.3
# Share of the room of all workers that is planned with, from which a stage is
# short of it: calls then go out with less than they could hold.
_TIGHT_SHARE = 0.6
# Calls past its time after which a call under way says that its worker does
# not answer: one call of another owner may go first.
_OVERDUE_CALLS = 1.0
# Calls that a short queue takes: one, and what is left of one under way. What
# is late goes last, so it is in the way only by lengthening calls.
_IDLE_CALLS = 1.6
# Calls of a later step's queue from which it takes nothing that is late. At a
# call and a half, 5% of a heavy day's requests were refused that would have
# been answered late, and no more were in time.
_LONG_CALLS = 1.8
# Share of the groups of one urgency that is taken whatever the load, if they
# can be in time at all: no kind of request is to be starved by another.
_LEAST_SHARE = 0.35


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
        return *_rank(piece.group, now, work), piece.number

    return sorted(pieces, key=rank)


def ahead_of(group, pieces, now, work):
    """Return how many waiting pieces go before those of a new group.

    Explanation
    ===========

    Those that are as urgent count wherever they stand: more of them will come
    and be due sooner. Without them the least urgent were taken for a wait that
    they never had, and given up seconds later.

    Counting all that waits, an urgent request with small pieces was refused
    for a queue that it would have passed: in a burst of large ones, 30% of the
    most urgent requests of a played day.
    """
    rank = _rank(group, now, work)
    return sum(
        piece.group.urgency <= group.urgency
        or _rank(piece.group, now, work) < rank
        for piece in pieces
    )


def _rank(group, now, work):
    if now + work > group.due:
        return _LATE, group.urgency, group.due, group.ident
    bias = _URGENCY_CALLS * work * group.urgency
    return _IN_TIME, 0, group.due + bias, group.ident


def eligible(pieces, domain, frees_in, now, work, round_size):
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
        empty: a heavy day served 0.761 of its worth in place of 0.776.
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
    if now + work > group.due + _LATE_CALLS * work:
        return wait > _NEAR_LATE_CALLS * work or near > group.ends
    return near + _NEAR_CALLS * work > group.due


def frees_by_domain(workers, free, now, full):
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
        elif not worker.calls or not _answers(worker, full, now):
            # What is near one that was cut off would wait for it in vain.
            continue
        found[worker.domain] = min(wait, found.get(worker.domain, wait))
    return found


def spare_bytes(pieces, started, workers, limits, now):
    """Return room that no group under way will need, over all workers.

    Parameters
    ==========

    pieces : list of Piece
        Those that wait.
    started : set
        Identifiers of groups of which some piece is made or being made.
    """
    spare = sum(worker.free_bytes(limits, now) for worker in workers)
    for piece in pieces:
        if piece.group.ident in started:
            spare -= piece.group.result_bytes
    return spare


def is_tight(workers, limits, now):
    """Return whether a stage is short of room for results."""
    free = sum(max(0, one.free_bytes(limits, now)) for one in workers)
    planned = sum(one.planned_bytes(limits) for one in workers)
    return free < (1 - _TIGHT_SHARE) * planned


def batch_for(pieces, worker, limits, now, started, spare):
    """Return the pieces that a free worker takes now.

    Explanation
    ===========

    As many as a call may hold, in order, as far as there is room for the
    results. A result that does not fit is refused by the upstream after the
    piece has waited for its turn; so it is not sent.

    Groups go whole, all but the first: a result is held until the last of its
    group is made and read, so a group in two calls holds its room for twice
    the time. And room is granted to whole groups: by pieces, a burst would
    fill all room with parts of many requests, none of which could be finished
    until the results lapse, seconds later.

    Parameters
    ==========

    pieces : list of Piece
        Ranked, those of a group in a row.
    started, spare
        See :func:`spare_bytes`; ``started`` gets the groups that are begun.
    """
    room = worker.free_bytes(limits, now)
    # After a call that made nothing for want of room, fewer and fewer ask.
    places = max(1, limits.batch >> worker.refusals)
    batch = []
    for group, mine in _by_group(pieces):
        size = group.result_bytes
        fitting = min(len(mine), places, _fitting(room, size))
        if not fitting and not batch and not worker.held:
            # Larger than all the room there is, by what the operator says.
            fitting = 1
        whole = 0 if group.ident in started else group.count * size
        empty = not started and not worker.held
        if not _may_begin(mine, fitting, batch, empty or whole <= spare):
            continue
        spare -= whole
        started.add(group.ident)
        batch.extend(mine[:fitting])
        room -= fitting * size
        places -= fitting
    return batch


def _by_group(pieces):
    """Return groups in their order, each with its pieces."""
    found = {}
    for piece in pieces:
        found.setdefault(piece.group.ident, []).append(piece)
    return [(mine[0].group, mine) for mine in found.values()]


def _fitting(room, size):
    """Return how many results of a size fit."""
    return max(0, int(room // size)) if size else _ANY_NUMBER


def _may_begin(mine, fitting, batch, has_room):
    """Return whether a group goes into a batch: whole, unless it is first."""
    if not fitting or (batch and fitting < len(mine)):
        return False
    return has_room


def call_seconds(limits, count):
    """Return the time that a call of some pieces takes at usual speed."""
    return limits.call_seconds + count * limits.piece_seconds


def full_seconds(limits):
    """Return the time of a call that holds all it can.

    Explanation
    ===========

    The unit of all margins of a queue: with seconds that suit calls of 0.44 s,
    a service whose calls take 0.28 s refused what it could have served.

    Examples
    ========

    >>> from pollenstile.routes import StageLimits
    >>> from pollenstile.stagework import full_seconds
    >>> round(full_seconds(StageLimits(1, 8, 0.24, 0.025)), 2)
    0.44
    """
    return call_seconds(limits, limits.batch)


def long_wait(limits):
    """Return the wait from which a queue takes nothing that is late."""
    return _LONG_CALLS * full_seconds(limits)


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


def expected_wait(ahead, workers, limits, now, rate=0):
    """Return seconds until a piece with others ahead of it is made.

    Explanation
    ===========

    Calls that are full, at the speed of the workers that answer, give the
    least wait. Results that hold their room make it longer: where the stage is
    short of room and pieces have waited for a while, the rate at which they
    were made counts. The pieces in calls under way are made before: left out,
    the wait at a stage without room was estimated at 0.6 s where it was 1.3 s,
    and requests were taken that came too late.

    A worker whose call should have ended long ago does not answer. Counted as
    free, as the rate was without it, a domain that was cut off made the wait
    of 15 pieces 3.8 s where it was 0.6 s, and nearly all callers were refused
    by a queue that stood half empty.

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
    sound = [one for one in workers if _answers(one, full, now)] or workers
    if not sound:
        return limits.call_seconds * 4
    rounds = ahead / (limits.batch * _capacity(sound))
    frees = sorted(max(0, one.busy_until - now) for one in sound)
    last = call_seconds(limits, min(limits.batch, max(1, ahead)))
    least = frees[0] + int(rounds) * full + last
    if not rate:
        return least
    flying = sum(one.flying for one in workers)
    return max(least, (flying + ahead) / rate)


def _answers(worker, full, now):
    """Return whether a worker neither rests nor is long overdue."""
    overdue = now > worker.busy_until + _OVERDUE_CALLS * full
    return worker.rest_until <= now and not (worker.calls and overdue)


def _capacity(workers):
    """Return how many workers of usual speed these are worth."""
    return sum(1 / max(1, one.speed) for one in workers)


def admitted(group, wait, now, full, share=1.0):
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
    if now + wait * (1 + pushed) <= group.due + _LATE_CALLS * full:
        return True
    # Late whatever happens: taken only where it is in nobody's way. An
    # idle first step says nothing of those after it: in a burst that
    # crowded the second one, all that was late for it was let in here.
    idle = wait <= _IDLE_CALLS * full and not group.later_crowded
    return idle and now + wait <= group.ends
