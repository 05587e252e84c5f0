"""Validation rules that relate several fields of a manifest."""

from pollenstile.manifest._addresses import address_mistakes
from pollenstile.manifest._engines import engine_mistakes
from pollenstile.manifest._idempotency import idempotency_mistakes
from pollenstile.manifest._keys import key_mistakes
from pollenstile.manifest._names import name_mistakes
from pollenstile.manifest._order import order_mistakes
from pollenstile.manifest._references import reference_mistakes
from pollenstile.manifest._timing import timing_mistakes

_CHECKS = (
    name_mistakes,
    reference_mistakes,
    address_mistakes,
    engine_mistakes,
    key_mistakes,
    order_mistakes,
    idempotency_mistakes,
    timing_mistakes,
)


def semantic_mistakes(manifest):
    """Return the violations of all rules that relate several fields.

    Parameters
    ==========

    manifest : Manifest
        Decoded, with every field of its declared type.

    Returns
    =======

    list of Mistake
        Empty when the manifest is valid.
    """
    mistakes = []
    for check in _CHECKS:
        mistakes.extend(check(manifest))
    return mistakes
