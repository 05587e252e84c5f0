"""Conditional writes that determine the result of lost responses."""

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
    """Return a function that reads the writer's mark from a field.

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
    """Write conditionally and determine the outcome of an in-doubt write.

    Explanation
    ===========

    The response to a write can be lost after the write was applied, or while
    the write is still in transit and will be applied later. Therefore, after
    an in-doubt put, the object is read back and its mark is compared:

    - It has the mark of this write: the write was applied.
    - It still has the version that the put requires: the same put is sent
      again. Both puts require the same version, so at most one of them is
      applied, and either leaves the same mark.
    - Otherwise another writer has written it; see ``Superseded``.

    A conflict after an in-doubt put may be caused by its own first attempt, so
    the object is read back in that case too. Once a put was in doubt,
    ``NotApplied`` is never returned.

    Parameters
    ==========

    store : Store
        Store to write to.
    kind, name, value
        Identity and new value of the object.
    if_version : int
        Version that the object must have; 0 creates it.
    mark : function
        Takes a value and returns its writer's mark, which is unique to this
        write and the same in all of its attempts.
    pause : function
        Takes the number of the failed attempt and returns a Deferred that
        fires when the next one may start; see :func:`make_pause`.
    attempts : int
        Maximum number of attempts; each but the first one reads back first.

    Returns
    =======

    Written, Conflict, Superseded, NotApplied or InDoubt
        ``InDoubt`` if the outcome is still unknown after all attempts.

    Raises
    ======

    ValueError
        If the value has no mark.

    Notes
    =====

    The outcome of a create is determined only if nobody deletes the object
    meanwhile: an object that was created and then deleted can't be
    distinguished from one that never existed.
    """
    if mark(value) is None:
        raise ValueError(f'{kind}/{name}: the value carries no mark')
    outcome = await store.put(kind, name, value, if_version)
    if not isinstance(outcome, InDoubt):
        return outcome
    in_doubt = outcome
    for attempt in range(attempts - 1):
        outcome = await store.get(kind, name)
        if isinstance(outcome, Unavailable):
            await pause(attempt)
            continue
        outcome = _resolve(outcome, value, if_version, mark)
        if outcome is not None:
            return outcome
        outcome = await store.put(kind, name, value, if_version)
        if isinstance(outcome, Written):
            return outcome
        if isinstance(outcome, (InDoubt, NotApplied)):
            await pause(attempt)
    return in_doubt


def _resolve(outcome, value, if_version, mark):
    if isinstance(outcome, Found) and mark(outcome.value) == mark(value):
        return Written(outcome.version)
    is_absent = isinstance(outcome, Absent) and if_version == 0
    if is_absent or outcome.version == if_version:
        return None
    return Superseded(outcome.version)
