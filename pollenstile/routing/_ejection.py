"""When an upstream is kept out for a while, and when none may be."""

_FIRST_BAR = 0.1
_LONGEST_BAR = 5.0
_IN_A_ROW = 2
# With more than this part of a pool kept out, failures say more of the path
# or of this host than of upstreams.
_PANIC = 0.5


def bar_time(failures):
    """Return how long an upstream gets no calls after failures in a row.

    Examples
    ========

    >>> from pollenstile.routing._ejection import bar_time
    >>> bar_time(1), bar_time(2), bar_time(20)
    (0.0, 0.4, 5.0)
    """
    if failures < _IN_A_ROW:
        return 0.0
    return min(_LONGEST_BAR, _FIRST_BAR * 2 ** min(failures, 10))


def is_panic(members, barred):
    """Return whether too many are kept out to believe it.

    Explanation
    ===========

    A lost path, a burst of timeouts under overload or a wrong deadline makes
    every upstream fail at once. It shows as *no upstream* for every request,
    long after the cause is gone. So once more than half of a pool are out,
    all that do not leave are taken again, and the pool can't be emptied.

    Parameters
    ==========

    members : int
        Upstreams of the pool that do not leave.
    barred : int
        Those of them that are kept out.

    Examples
    ========

    >>> from pollenstile.routing._ejection import is_panic
    >>> is_panic(4, 2), is_panic(4, 3), is_panic(1, 1)
    (False, True, True)
    """
    return barred > _PANIC * members
