"""Checks across a manifest's fields."""

from pollenstile.manifest._addresses import address_mistakes
from pollenstile.manifest._engines import engine_mistakes
from pollenstile.manifest._keys import key_mistakes
from pollenstile.manifest._names import name_mistakes
from pollenstile.manifest._order import order_mistakes
from pollenstile.manifest._references import reference_mistakes
from pollenstile.manifest._repeats import repeat_mistakes
from pollenstile.manifest._timing import timing_mistakes

_CHECKS = (
    name_mistakes,
    reference_mistakes,
    address_mistakes,
    engine_mistakes,
    key_mistakes,
    order_mistakes,
    repeat_mistakes,
    timing_mistakes,
)


def semantic_mistakes(manifest):
    """Return every mistake that shows only across fields.

    Parameters
    ==========

    manifest : Manifest
        Decoded and well typed.

    Returns
    =======

    list of Mistake
        Empty when the manifest can be served.
    """
    mistakes = []
    for check in _CHECKS:
        mistakes.extend(check(manifest))
    return mistakes
