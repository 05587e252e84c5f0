"""Positions in the history of a store that may come back from a copy.

Explanation
===========

A store that comes back from an older copy gives its revisions out again, so a
revision alone does not tell two states apart. A position has the era of the
store, which rises with each return, above the revision. It is one number, so
that positions are ordered, and what compares versions or revisions can't leave
the era out. Without eras a position is the revision.
"""

# Bits of a revision: a store that is written 3,000 times a second needs eleven
# years for them. With 13 bits of era, a position is exact as a JSON number.
_REVISION_BITS = 40
_REVISION_MASK = (1 << _REVISION_BITS) - 1


def position(era, revision):
    """Return the position of a revision in an era.

    Examples
    ========

    >>> from pollenstile.platform import position
    >>> position(0, 7), position(1, 3) > position(0, 7)
    (7, True)
    """
    return era << _REVISION_BITS | revision


def era_of(place):
    """Return the era of a position.

    Examples
    ========

    >>> from pollenstile.platform import era_of, position
    >>> era_of(position(2, 7)), era_of(7)
    (2, 0)
    """
    return place >> _REVISION_BITS


def revision_of(place):
    """Return the revision of a position.

    Examples
    ========

    >>> from pollenstile.platform import position, revision_of
    >>> revision_of(position(2, 7)), revision_of(7)
    (7, 7)
    """
    return place & _REVISION_MASK
