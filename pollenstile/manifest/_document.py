"""Parsing of YAML and JSON text into plain data.

Explanation
===========

The standard library parses JSON. PyYAML parses all other text, and JSON that
the standard library rejects, because PyYAML's marks give the line of an
error. Scalars follow YAML 1.2's core schema, in which only ``true`` and
``false`` are booleans and a team may be named ``no`` or ``on``.
"""

import contextlib
import json

import yaml

from pollenstile.manifest._loader import BoundedLoader, plain_value
from pollenstile.manifest._mistake import ManifestError, Mistake

MAX_BYTES = 1_048_576
_DOCUMENT_PATH = 'document'


def _document_error(text, path=_DOCUMENT_PATH):
    return ManifestError([Mistake(path, text)])


def _mapping_without_duplicates(pairs):
    mapping = dict(pairs)
    if len(mapping) != len(pairs):
        raise ValueError('a key is given twice')
    return mapping


def _reject_constant(name):
    raise ValueError(f'{name} is not valid JSON')


def _parse_json(text):
    return json.loads(
        text,
        object_pairs_hook=_mapping_without_duplicates,
        parse_constant=_reject_constant,
    )


def _parse_yaml(text):
    with contextlib.closing(BoundedLoader(text)) as loader:
        node = loader.get_single_node()
    if node is None:
        raise _document_error('is empty')
    return plain_value(node)


def _error_from_yaml(error):
    mark = getattr(error, 'problem_mark', None)
    path = f'line {mark.line + 1}' if mark else _DOCUMENT_PATH
    parts = [
        getattr(error, name, None) for name in ('context', 'problem', 'reason')
    ]
    text = ', '.join(part for part in parts if part)
    return _document_error(text or 'is neither YAML nor JSON', path)


def _decode_utf8(text):
    try:
        encoded = text.encode() if isinstance(text, str) else bytes(text)
    except UnicodeEncodeError:
        raise _document_error('is not UTF-8') from None
    if len(encoded) > MAX_BYTES:
        raise _document_error(f'has {len(encoded)} bytes, at most {MAX_BYTES}')
    try:
        return encoded.decode('utf-8-sig')
    except UnicodeDecodeError:
        raise _document_error('is not UTF-8') from None


def document_from_text(text):
    """Parse a YAML or JSON text whose top level is a mapping.

    Parameters
    ==========

    text : str or bytes
        At most one mebibyte, the largest object that the object API stores.

    Raises
    ======

    ManifestError
        If the text is invalid. The error has one mistake, whose path is the
        line number if it is known.

    Examples
    ========

    >>> document_from_text('teams: {no: {weight: 2}}')
    {'teams': {'no': {'weight': 2}}}
    """
    text = _decode_utf8(text)
    try:
        document = _parse_json(text)
    except (ValueError, RecursionError):
        # YAML, or invalid JSON: the YAML parser reports the line of the error.
        document = _document_from_yaml(text)
    if not isinstance(document, dict):
        raise _document_error('is not a mapping of fields')
    return document


def _document_from_yaml(text):
    try:
        return _parse_yaml(text)
    except yaml.YAMLError as error:
        raise _error_from_yaml(error) from None
