"""Placeholders for the fields of a document that do not decode.

Explanation
===========

Operators see all mistakes in one run only if the checks across fields can run
on a document in which some field has the wrong type. Such a field takes its
default, or the plainest value of its type where it has none.
"""

import dataclasses
import functools
from typing import Literal, get_args, get_origin, get_type_hints

_PLAINEST = {str: '-', int: 1, float: 1.0, bool: False, list: [], dict: {}}
_EXTRA = 'unexpected_keyword_argument'


def _bare(kind):
    while hasattr(kind, '__metadata__'):
        kind = kind.__origin__
    return kind


@functools.cache
def _hints(kind):
    return get_type_hints(kind, include_extras=True)


def _required(kind):
    names = []
    for one in dataclasses.fields(kind):
        if one.default is not dataclasses.MISSING:
            continue
        if one.default_factory is not dataclasses.MISSING:
            continue
        names.append(one.name)
    return names


def _placeholder(kind):
    kind = _bare(kind)
    if dataclasses.is_dataclass(kind):
        hints = _hints(kind)
        return {name: _placeholder(hints[name]) for name in _required(kind)}
    if get_origin(kind) is Literal:
        return get_args(kind)[0]
    plainest = _PLAINEST[get_origin(kind) or kind]
    return plainest.copy() if isinstance(plainest, (list, dict)) else plainest


def _part(kind, step):
    kind = _bare(kind)
    if dataclasses.is_dataclass(kind):
        return _hints(kind).get(step)
    return get_args(kind)[-1]


def _mend(document, kind, detail):
    *steps, last = detail['loc']
    holder = document
    for step in steps:
        holder = holder[step]
        kind = _part(kind, step)
    kind = _bare(kind)
    optional = dataclasses.is_dataclass(kind) and last not in _required(kind)
    if detail['type'] == _EXTRA or optional:
        holder.pop(last, None)
        return
    holder[last] = _placeholder(_part(kind, last))


def mend_document(document, kind, details):
    """Put placeholders in a document where decoding found mistakes.

    Parameters
    ==========

    document : dict
        Changed in place.
    kind : type
        The dataclass that it was decoded as.
    details : list of dict
        Pydantic's errors, with ``loc`` and ``type``.
    """
    for detail in details:
        if detail['loc']:
            _mend(document, kind, detail)
