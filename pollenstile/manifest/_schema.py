"""The JSON Schema of manifests."""

import json

from pydantic import TypeAdapter

from pollenstile.manifest import _model
from pollenstile.manifest._fields import field_texts, summary
from pollenstile.manifest._model import Manifest

DIALECT = 'https://json-schema.org/draft/2020-12/schema'


def _described(schema, kind):
    schema['description'] = summary(kind)
    for name, text in field_texts(kind).items():
        part = schema['properties'][name]
        part['description'] = text
        if 'patternProperties' in part:
            part['additionalProperties'] = False


def manifest_schema():
    """Return the JSON Schema of manifests, as text.

    Explanation
    ===========

    It holds types, ranges, defaults and descriptions, for editors and build
    pipelines. What shows only across fields is left to the checks.
    """
    schema = TypeAdapter(Manifest).json_schema()
    for name, part in schema['$defs'].items():
        _described(part, getattr(_model, name))
    _described(schema, Manifest)
    schema['$schema'] = DIALECT
    return json.dumps(schema, indent=2, sort_keys=True)
