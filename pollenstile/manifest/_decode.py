"""Decoding of manifests from YAML or JSON."""

import json

import yaml
from pydantic import TypeAdapter, ValidationError

from pollenstile.manifest._checks import semantic_mistakes
from pollenstile.manifest._mistake import ManifestError, Mistake
from pollenstile.manifest._model import Manifest

_ADAPTER = TypeAdapter(Manifest)


def _parsed(text):
    try:
        return yaml.safe_load(text)
    except yaml.YAMLError as error:
        mark = getattr(error, 'problem_mark', None)
        place = f'line {mark.line + 1}' if mark else 'document'
        problem = getattr(error, 'problem', None) or 'not YAML or JSON'
    raise ManifestError([Mistake(place, problem)])


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
    document = _parsed(text)
    try:
        manifest = _ADAPTER.validate_python(document)
    except ValidationError as error:
        raise ManifestError(_typed_mistakes(error)) from None
    mistakes = semantic_mistakes(manifest)
    if mistakes:
        raise ManifestError(mistakes)
    return manifest


def _typed_mistakes(error):
    mistakes = []
    for detail in error.errors(include_url=False):
        path = '.'.join(str(part) for part in detail['loc']) or 'document'
        mistakes.append(Mistake(path, detail['msg']))
    return mistakes


def text_from_manifest(manifest):
    """Return the canonical JSON text of a manifest."""
    return _ADAPTER.dump_json(manifest).decode()


def manifest_schema():
    """Return the JSON Schema of manifests, as text."""
    return json.dumps(_ADAPTER.json_schema(), indent=2, sort_keys=True)
