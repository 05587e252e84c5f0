"""Selection of a batch's pieces by call size and result memory, without I/O."""

# Number of results without a declared size that count as fitting in memory:
# more than a call holds.
_UNBOUNDED_COUNT = 1000
# Share of all workers' planned memory in use from which a stage is short of
# memory: calls are then sent with less than they could hold.
_TIGHT_SHARE = 0.6


def batchable(pieces, is_suspect):
    """Return the pieces that may be sent in one call together.

    Explanation
    ===========

    The group of a suspect request is sent alone: a worker has crashed while
    processing the group, and the next call shows whether the cause was this
    group or another one of the same call.

    Parameters
    ==========

    pieces : list of Piece
        In rank order, the pieces of a group adjacent.
    is_suspect : function
        Takes the fingerprint of a request.
    """
    if not pieces:
        return []
    first = pieces[0].group
    if is_suspect(first.fingerprint):
        return [piece for piece in pieces if piece.group is first]
    return [
        piece for piece in pieces if not is_suspect(piece.group.fingerprint)
    ]


def unreserved_bytes(pieces, started, workers, limits, now):
    """Return the free memory of all workers that no started group needs.

    Parameters
    ==========

    pieces : list of Piece
        Waiting pieces.
    started : set
        Identifiers of groups with a piece that is done or in a call.
    """
    unreserved = sum(worker.free_bytes(limits, now) for worker in workers)
    for piece in pieces:
        if piece.group.ident in started:
            unreserved -= piece.group.result_bytes
    return unreserved


def is_tight(workers, limits, now):
    """Return whether a stage is short of memory for results."""
    free = sum(max(0, worker.free_bytes(limits, now)) for worker in workers)
    planned = sum(worker.planned_bytes(limits) for worker in workers)
    return free < (1 - _TIGHT_SHARE) * planned


def batch_for(pieces, worker, limits, now, started, unreserved):
    """Return the pieces to send to a free worker now.

    Explanation
    ===========

    The batch has as many pieces as a call may hold, in rank order, as far as
    the results fit in the worker's memory. An upstream refuses a result that
    does not fit only after the piece has waited for its turn, so such a piece
    is not sent.

    All groups but the first are added completely or not at all: a result is
    held until the last one of its group is made and read, so a group that is
    split over two calls holds its memory for twice the time. Memory is also
    reserved for complete groups. If it were reserved piece by piece, a burst
    would fill it with parts of many requests, none of which could finish until
    the results expire, seconds later.

    Parameters
    ==========

    pieces : list of Piece
        In rank order, the pieces of a group adjacent.
    started, unreserved
        See :func:`unreserved_bytes`; newly started groups are added to
        ``started``.
    """
    free_bytes = worker.free_bytes(limits, now)
    # Halve the batch for each call in a row that made nothing for lack of
    # memory.
    free_pieces = max(1, limits.batch >> worker.refusals)
    batch = []
    for group, members in _by_group(pieces):
        size = group.result_bytes
        fitting = min(
            len(members), free_pieces, _fitting_count(free_bytes, size)
        )
        if not fitting and not batch and not worker.held:
            # By the operator's settings, one result is larger than the whole
            # result memory. Its piece is sent nevertheless.
            fitting = 1
        group_bytes = 0 if group.ident in started else group.count * size
        empty = not started and not worker.held
        if not _may_begin(
            members, fitting, batch, empty or group_bytes <= unreserved
        ):
            continue
        unreserved -= group_bytes
        started.add(group.ident)
        batch.extend(members[:fitting])
        free_bytes -= fitting * size
        free_pieces -= fitting
    return batch


def _by_group(pieces):
    """Return pairs of a group and its pieces, in order of first appearance."""
    by_ident = {}
    for piece in pieces:
        by_ident.setdefault(piece.group.ident, []).append(piece)
    return [(members[0].group, members) for members in by_ident.values()]


def _fitting_count(free_bytes, size):
    """Return how many results of a size fit in memory."""
    return max(0, int(free_bytes // size)) if size else _UNBOUNDED_COUNT


def _may_begin(members, fitting, batch, has_memory):
    """Return whether a group joins a batch; only the first may be split."""
    if not fitting or (batch and fitting < len(members)):
        return False
    return has_memory
