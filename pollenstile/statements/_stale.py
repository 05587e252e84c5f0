"""Statements that were not made again for a time."""


def stale_names(by_name, oldest):
    """Return the names whose last statement was made before a time.

    Parameters
    ==========

    by_name : dict
        Statements by name of the incarnation, each with ``stated_at``.
    oldest : float
        The time, on the clock of the statements.

    Examples
    ========

    >>> from types import SimpleNamespace
    >>> from pollenstile.statements import stale_names
    >>> stale_names({'a': SimpleNamespace(stated_at=1.0)}, 2.0)
    ['a']
    >>> stale_names({'a': SimpleNamespace(stated_at=2.0)}, 2.0)
    []
    """
    return [
        name for name, stated in by_name.items() if stated.stated_at < oldest
    ]
