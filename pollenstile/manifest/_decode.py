"""Decoding, canonical encoding and digest of manifests."""

import hashlib
import json

from pydantic import TypeAdapter, ValidationError

from pollenstile.manifest._checks import semantic_mistakes
from pollenstile.manifest._document import MAX_BYTES, document_from_text
from pollenstile.manifest._mistake import (
    ManifestError,
    Mistake,
    independent_mistakes,
)
from pollenstile.manifest._model import Manifest
from pollenstile.manifest._placeholders import insert_placeholders

_ADAPTER = TypeAdapter(Manifest)
_MAX_SHOWN = 40
_TYPES_WITHOUT_INPUT = frozenset(
    ('json_invalid', 'missing', 'unexpected_keyword_argument')
)
_TEXT_BY_TYPE = {
    'json_invalid': 'contains text that is not valid Unicode',
    'missing': 'is required',
    'unexpected_keyword_argument': 'is not a field here',
    'dataclass_type': 'should be a mapping of fields',
    'dict_type': 'should be a mapping of names',
    'list_type': 'should be a list',
    'string_type': 'should be text; put it in quotes',
}


def _detail_text(detail):
    text = _TEXT_BY_TYPE.get(detail['type'])
    if text is None:
        text = detail['msg'].replace('Input should', 'should')
    shown = json.dumps(detail['input'])
    if detail['type'] in _TYPES_WITHOUT_INPUT:
        return text
    return f'{text}, not {shown}' if len(shown) <= _MAX_SHOWN else text


def _type_mistakes(details):
    mistakes = []
    for detail in details:
        path = '.'.join(str(part) for part in detail['loc']) or 'document'
        mistakes.append(Mistake(path, _detail_text(detail)))
    return mistakes


def _decode(document):
    # Decodes from JSON, because strict decoding of Python data accepts only
    # instances of the dataclasses.
    return _ADAPTER.validate_json(json.dumps(document))


def _independent_semantic_mistakes(document, details):
    """Return semantic mistakes that don't depend on undecoded fields."""
    plain = json.loads(json.dumps(document))
    insert_placeholders(plain, Manifest, details)
    try:
        manifest = _decode(plain)
    except ValidationError:
        return []
    broken = {mistake.path for mistake in _type_mistakes(details)}
    return independent_mistakes(semantic_mistakes(manifest), broken)


def _size_mistakes(manifest):
    size = len(text_from_manifest(manifest))
    if size <= MAX_BYTES:
        return []
    text = f'takes {size} bytes with its defaults, at most {MAX_BYTES}'
    return [Mistake('document', text)]


def manifest_from_text(text):
    """Decode and validate a manifest document.

    Parameters
    ==========

    text : str or bytes
        A YAML or JSON document.

    Returns
    =======

    Manifest
        The valid manifest.

    Raises
    ======

    ManifestError
        If the document has mistakes; the error lists all that were found.
    """
    document = document_from_text(text)
    try:
        manifest = _decode(document)
    except ValidationError as error:
        details = error.errors(include_url=False)
        type_mistakes = _type_mistakes(details)
        raise ManifestError(
            type_mistakes + _independent_semantic_mistakes(document, details),
        ) from None
    mistakes = semantic_mistakes(manifest) or _size_mistakes(manifest)
    if mistakes:
        raise ManifestError(mistakes)
    return manifest


def text_from_manifest(manifest):
    """Return the canonical JSON text of a manifest.

    Explanation
    ===========

    The text contains every field, including defaults, with sorted keys. Hosts
    of different releases therefore read the same values, and equal manifests
    have equal texts.
    """
    plain = _ADAPTER.dump_python(manifest, mode='json')
    return json.dumps(plain, sort_keys=True, separators=(',', ':'))


def manifest_digest(manifest):
    """Return the SHA-256 of a manifest's canonical text, in hexadecimal.

    Explanation
    ===========

    The digest depends only on the content, not on the order of keys, comments
    or the choice of YAML or JSON. It identifies reviewed versions, so
    accidental collisions must not occur. A faster checksum would gain nothing
    at a few hundred changes a day.
    """
    return hashlib.sha256(text_from_manifest(manifest).encode()).hexdigest()
