"""Decoding of manifests from YAML or JSON."""

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
from pollenstile.manifest._repair import mend_document

_ADAPTER = TypeAdapter(Manifest)
_SHOWN = 40
_BARE = frozenset(('json_invalid', 'missing', 'unexpected_keyword_argument'))
_TEXTS = {
    'json_invalid': 'has text that is not Unicode',
    'missing': 'is required',
    'unexpected_keyword_argument': 'is not a field here',
    'dataclass_type': 'should be a mapping of fields',
    'dict_type': 'should be a mapping of names',
    'list_type': 'should be a list',
    'string_type': 'should be text; put it in quotes',
}


def _text_of(detail):
    text = _TEXTS.get(detail['type'])
    if text is None:
        text = detail['msg'].replace('Input should', 'should')
    shown = json.dumps(detail['input'])
    if detail['type'] in _BARE:
        return text
    return f'{text}, not {shown}' if len(shown) <= _SHOWN else text


def _typed_mistakes(details):
    mistakes = []
    for detail in details:
        path = '.'.join(str(part) for part in detail['loc']) or 'document'
        mistakes.append(Mistake(path, _text_of(detail)))
    return mistakes


def _decoded(document):
    # Decoding from JSON, as strict decoding of Python data would ask for
    # instances of the classes.
    return _ADAPTER.validate_json(json.dumps(document))


def _mistakes_behind(document, details):
    """Return what the checks find beside the fields that did not decode."""
    plain = json.loads(json.dumps(document))
    mend_document(plain, Manifest, details)
    try:
        manifest = _decoded(plain)
    except ValidationError:
        return []
    broken = {one.path for one in _typed_mistakes(details)}
    return independent_mistakes(semantic_mistakes(manifest), broken)


def _size_mistakes(manifest):
    size = len(text_from_manifest(manifest))
    if size <= MAX_BYTES:
        return []
    text = f'takes {size} bytes with its defaults, at most {MAX_BYTES}'
    return [Mistake('document', text)]


def manifest_from_text(text):
    """Return the checked manifest that a document declares.

    Parameters
    ==========

    text : str or bytes
        YAML, or JSON, which is a subset of it.

    Returns
    =======

    Manifest
        Well typed and checked across fields.

    Raises
    ======

    ManifestError
        With every mistake found.
    """
    document = document_from_text(text)
    try:
        manifest = _decoded(document)
    except ValidationError as error:
        details = error.errors(include_url=False)
        typed = _typed_mistakes(details)
        raise ManifestError(
            typed + _mistakes_behind(document, details),
        ) from None
    mistakes = semantic_mistakes(manifest) or _size_mistakes(manifest)
    if mistakes:
        raise ManifestError(mistakes)
    return manifest


def text_from_manifest(manifest):
    """Return the canonical JSON text of a manifest.

    Explanation
    ===========

    Every field is written, defaults too, with keys in order: hosts of two
    releases read the same values, and equal manifests have equal texts.
    """
    plain = _ADAPTER.dump_python(manifest, mode='json')
    return json.dumps(plain, sort_keys=True, separators=(',', ':'))


def manifest_digest(manifest):
    """Return the SHA-256 of a manifest's canonical text, in hexadecimal.

    Explanation
    ===========

    Equal for the same content whatever the order of keys, the comments or the
    choice of YAML or JSON. It tells reviewed versions apart, so that chance
    collisions must not happen at all; a faster checksum gains nothing at a
    few hundred changes a day.
    """
    return hashlib.sha256(text_from_manifest(manifest).encode()).hexdigest()
