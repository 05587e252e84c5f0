"""JSON Schema of manifests."""

import json

from pydantic import TypeAdapter

from pollenstile.manifest import _model
from pollenstile.manifest._fields import field_texts, summary
from pollenstile.manifest._model import Manifest

DIALECT = 'https://json-schema.org/draft/2020-12/schema'


def _add_descriptions(schema, kind):
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

    The schema contains types, ranges, defaults and descriptions, for editors
    and build pipelines. It does not contain the rules that relate several
    fields; only the semantic checks enforce these.
    """
    schema = TypeAdapter(Manifest).json_schema()
    for name, part in schema['$defs'].items():
        _add_descriptions(part, getattr(_model, name))
    _add_descriptions(schema, Manifest)
    schema['$schema'] = DIALECT
    return json.dumps(schema, indent=2, sort_keys=True)
