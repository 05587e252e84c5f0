"""Settling of conditional writes whose answer was lost."""

from pollenstile.platform._outcome import (
    Absent,
    Found,
    InDoubt,
    NotApplied,
    Superseded,
    Unavailable,
    Written,
)
from pollenstile.platform._pause import no_pause


def field_mark(field):
    """Return a function that reads a writer's mark from a field of a value.

    Examples
    ========

    >>> field_mark('apply_id')({'apply_id': 'a1'})
    'a1'
    """

    def mark(value):
        return value.get(field) if isinstance(value, dict) else None

    return mark


async def put_with_readback(
    store,
    kind,
    name,
    value,
    if_version,
    mark,
    pause=no_pause,
    attempts=6,
):
    """Write conditionally, and find out what became of an in-doubt write.

    Explanation
    ===========

    The answer to a write can be lost after the write was applied; the write
    can also still be on its way and be applied later. So after an in-doubt
    put the object is read back and compared by the writer's mark:

    - it carries our mark: the write was applied;
    - it still has the version the put was conditional on: the same put is
      sent again. Both name the same version, so at most one is applied, and
      whichever is carries the same mark;
    - anything else: another write stands there, see ``Superseded``.

    A conflict after an in-doubt put may come from our own first try, so it
    is read back too. Once a put was in doubt, ``NotApplied`` is never said.

    Parameters
    ==========

    store : Store
        Where to write.
    kind, name, value
        What to write.
    if_version : int
        The version to write over; 0 creates.
    mark : function
        Takes a value, returns its writer's mark: unique to this write, the
        same in each of its tries.
    pause : function
        Takes the number of the failed attempt, returns a Deferred to wait
        for; see :func:`make_pause`.
    attempts : int
        Puts and reads in all.

    Returns
    =======

    Written, Conflict, Superseded, NotApplied or InDoubt
        ``InDoubt`` when the attempts are spent and it is still not known.

    Raises
    ======

    ValueError
        When the value carries no mark.

    Notes
    =====

    A create is settled only where the object isn't deleted meanwhile: an
    object that is created and deleted again looks as if it had never been.
    """
    if mark(value) is None:
        raise ValueError(f'{kind}/{name}: the value carries no mark')
    outcome = await store.put(kind, name, value, if_version)
    if not isinstance(outcome, InDoubt):
        return outcome
    doubt = outcome
    for attempt in range(attempts - 1):
        outcome = await store.get(kind, name)
        if isinstance(outcome, Unavailable):
            await pause(attempt)
            continue
        outcome = _verdict(outcome, value, if_version, mark)
        if outcome is not None:
            return outcome
        outcome = await store.put(kind, name, value, if_version)
        if isinstance(outcome, Written):
            return outcome
        if isinstance(outcome, (InDoubt, NotApplied)):
            await pause(attempt)
    return doubt


def _verdict(outcome, value, if_version, mark):
    if isinstance(outcome, Found) and mark(outcome.value) == mark(value):
        return Written(outcome.version)
    version = 0 if isinstance(outcome, Absent) else outcome.version
    if version == if_version:
        return None
    return Superseded(version)
