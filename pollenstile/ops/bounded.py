"""Dictionaries that keep a limited number of entries."""


def drop_oldest(entries, limit):
    """Drop the first entries of a dictionary until a limit is kept.

    Parameters
    ==========

    entries : dict
        Its entries, the oldest first.
    limit : int
        Number of entries that may be left.

    Examples
    ========

    >>> from pollenstile.ops.bounded import drop_oldest
    >>> entries = {'a': 1, 'b': 2, 'c': 3}
    >>> drop_oldest(entries, 2)
    >>> entries
    {'b': 2, 'c': 3}
    """
    while len(entries) > limit:
        entries.pop(next(iter(entries)))
