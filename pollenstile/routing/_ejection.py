"""Temporary ejection of failing upstreams, and the panic threshold."""

# An ejection lasts this base, doubled for each consecutive failure, up to the
# maximum.
_BASE_SECONDS = 0.1
_MAX_SECONDS = 5.0
# Consecutive failures after which an upstream is ejected.
_MIN_FAILURES = 2
# When more than this share of a pool is ejected, the cause is more likely the
# network path or this host than the upstreams.
_PANIC_SHARE = 0.5


def ejection_time(failures):
    """Return the seconds of an ejection after consecutive failures.

    Examples
    ========

    >>> from pollenstile.routing._ejection import ejection_time
    >>> ejection_time(1), ejection_time(2), ejection_time(20)
    (0.0, 0.4, 5.0)
    """
    if failures < _MIN_FAILURES:
        return 0.0
    return min(_MAX_SECONDS, _BASE_SECONDS * 2 ** min(failures, 10))


def is_panic(members, ejected):
    """Return whether so many upstreams are ejected that ejection is ignored.

    Explanation
    ===========

    A lost network path, a burst of timeouts under overload or a wrong deadline
    makes every upstream fail at once. If all were ejected, every request would
    fail with *no upstream* long after the cause has ended. So once more than
    half of a pool is ejected, all upstreams that are not leaving are eligible
    again, and ejection can't empty the pool.

    Parameters
    ==========

    members : int
        Upstreams of the pool that are not leaving.
    ejected : int
        Those of them that are ejected.

    Examples
    ========

    >>> from pollenstile.routing._ejection import is_panic
    >>> is_panic(4, 2), is_panic(4, 3), is_panic(1, 1)
    (False, True, True)
    """
    return ejected > _PANIC_SHARE * members
