"""What goes into one call, by places and room, without I/O."""

# Results without a size: as many as a call holds.
_ANY_NUMBER = 1000
# Share of the room of all workers that is planned with, from which a stage is
# short of it: calls then go out with less than they could hold.
_TIGHT_SHARE = 0.6


def apart(pieces, is_suspect):
    """Return the pieces that may go into one call together.

    Explanation
    ===========

    A suspect's group goes alone: a worker has crashed under it, and the next
    call tells whether it is to blame, or what was beside it.

    Parameters
    ==========

    pieces : list of Piece
        Ranked, those of a group in a row.
    is_suspect : function
        Takes the fingerprint of a request.
    """
    if not pieces:
        return []
    first = pieces[0].group
    if is_suspect(first.content):
        return [piece for piece in pieces if piece.group is first]
    return [piece for piece in pieces if not is_suspect(piece.group.content)]


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
