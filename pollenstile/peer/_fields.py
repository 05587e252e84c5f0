"""Values of fields of the peer protocol."""

_MS = 1000
_MAX_UINT32 = 2**32 - 1


def uint32_ms(seconds):
    """Return a time as the value of a field of 32 bits, in milliseconds.

    Explanation
    ===========

    Times out of the field's range become the nearest one within it.

    Examples
    ========

    >>> from pollenstile.peer import uint32_ms
    >>> uint32_ms(1.5), uint32_ms(-0.5), uint32_ms(1e9)
    (1500, 0, 4294967295)
    """
    return min(_MAX_UINT32, max(0, int(seconds * _MS)))
