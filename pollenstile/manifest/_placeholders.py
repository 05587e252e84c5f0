"""Placeholders for document fields that fail to decode.

Explanation
===========

Operators see all mistakes in one run only if the semantic checks can run on a
document in which some field has the wrong type. Such a field is set to its
default, or to the simplest value of its type if it has no default.
"""

import dataclasses
import functools
from typing import Literal, get_args, get_origin, get_type_hints

_SIMPLEST_VALUES = {
    str: '-',
    int: 1,
    float: 1.0,
    bool: False,
    list: [],
    dict: {},
}
_UNKNOWN_FIELD = 'unexpected_keyword_argument'


def _without_annotations(kind):
    while hasattr(kind, '__metadata__'):
        kind = kind.__origin__
    return kind


@functools.cache
def _field_types(kind):
    return get_type_hints(kind, include_extras=True)


def _required(kind):
    names = []
    for member in dataclasses.fields(kind):
        if member.default is not dataclasses.MISSING:
            continue
        if member.default_factory is not dataclasses.MISSING:
            continue
        names.append(member.name)
    return names


def _placeholder(kind):
    kind = _without_annotations(kind)
    if dataclasses.is_dataclass(kind):
        types = _field_types(kind)
        return {name: _placeholder(types[name]) for name in _required(kind)}
    if get_origin(kind) is Literal:
        return get_args(kind)[0]
    simplest = _SIMPLEST_VALUES[get_origin(kind) or kind]
    return simplest.copy() if isinstance(simplest, (list, dict)) else simplest


def _member_type(kind, step):
    kind = _without_annotations(kind)
    if dataclasses.is_dataclass(kind):
        return _field_types(kind).get(step)
    return get_args(kind)[-1]


def _replace_invalid(document, kind, detail):
    *steps, last = detail['loc']
    holder = document
    for step in steps:
        holder = holder[step]
        kind = _member_type(kind, step)
    kind = _without_annotations(kind)
    optional = dataclasses.is_dataclass(kind) and last not in _required(kind)
    if detail['type'] == _UNKNOWN_FIELD or optional:
        holder.pop(last, None)
        return
    holder[last] = _placeholder(_member_type(kind, last))


def insert_placeholders(document, kind, details):
    """Replace each value that failed to decode by a placeholder.

    Parameters
    ==========

    document : dict
        Plain data of the document; changed in place.
    kind : type
        Dataclass that the document should decode to.
    details : list of dict
        Pydantic's error details, with ``loc`` and ``type``.
    """
    for detail in details:
        if detail['loc']:
            _replace_invalid(document, kind, detail)
