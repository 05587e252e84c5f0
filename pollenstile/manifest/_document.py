"""Reading of YAML and JSON text into plain data.

Explanation
===========

JSON is read by the standard library. Everything else, and JSON that it
refuses, goes through PyYAML, whose marks give the line of a mistake. Scalars
follow YAML 1.2's core schema, in which only ``true`` and ``false`` are
booleans and a team may be named ``no`` or ``on``.
"""

import contextlib
import json

import yaml

from pollenstile.manifest._loader import BoundedLoader, plain_value
from pollenstile.manifest._mistake import ManifestError, Mistake

MAX_BYTES = 1_048_576
_WHOLE = 'document'


def _refusal(text, place=_WHOLE):
    return ManifestError([Mistake(place, text)])


def _unique(pairs):
    mapping = dict(pairs)
    if len(mapping) != len(pairs):
        raise ValueError('a key is given twice')
    return mapping


def _refused_constant(name):
    raise ValueError(f'{name} is no JSON')


def _from_json(text):
    return json.loads(
        text,
        object_pairs_hook=_unique,
        parse_constant=_refused_constant,
    )


def _from_yaml(text):
    with contextlib.closing(BoundedLoader(text)) as loader:
        node = loader.get_single_node()
    if node is None:
        raise _refusal('is empty')
    return plain_value(node)


def _yaml_refusal(error):
    mark = getattr(error, 'problem_mark', None)
    place = f'line {mark.line + 1}' if mark else _WHOLE
    said = [
        getattr(error, name, None) for name in ('context', 'problem', 'reason')
    ]
    text = ', '.join(part for part in said if part)
    return _refusal(text or 'is neither YAML nor JSON', place)


def _unicode(text):
    try:
        encoded = text.encode() if isinstance(text, str) else bytes(text)
    except UnicodeEncodeError:
        raise _refusal('is not UTF-8') from None
    if len(encoded) > MAX_BYTES:
        raise _refusal(f'has {len(encoded)} bytes, at most {MAX_BYTES}')
    try:
        return encoded.decode('utf-8-sig')
    except UnicodeDecodeError:
        raise _refusal('is not UTF-8') from None


def document_from_text(text):
    """Return the mapping that a YAML or JSON text holds.

    Parameters
    ==========

    text : str or bytes
        At most a mebibyte, the most that the object API holds.

    Raises
    ======

    ManifestError
        With one mistake; its path is the line where that is known.

    Examples
    ========

    >>> document_from_text('teams: {no: {weight: 2}}')
    {'teams': {'no': {'weight': 2}}}
    """
    text = _unicode(text)
    try:
        document = _from_json(text)
    except (ValueError, RecursionError):
        # Not JSON, or JSON with a mistake, whose line YAML's marks give.
        document = _yaml_document(text)
    if not isinstance(document, dict):
        raise _refusal('is not a mapping of fields')
    return document


def _yaml_document(text):
    try:
        return _from_yaml(text)
    except yaml.YAMLError as error:
        raise _yaml_refusal(error) from None
