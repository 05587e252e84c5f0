"""Markdown reference of every manifest field."""

import json
from types import MappingProxyType

from pollenstile.manifest import _model
from pollenstile.manifest._fields import field_texts, summary
from pollenstile.manifest._schema import manifest_schema

_CLASSES = (
    'Manifest',
    'Domain',
    'Model',
    'Pool',
    'Upstream',
    'Pipeline',
    'Stage',
    'Team',
    'Policy',
)
_UNITS = MappingProxyType(
    {'ms': 'ms', 's': 's', 'mb': 'MB', 'bytes': 'bytes'},
)
_EMPTY_DEFAULTS = MappingProxyType({'array': (), 'object': {}})
_HEADER_ROW = '| Field | Type | Unit | Default | Allowed | Meaning |'
_SEPARATOR_ROW = '| --- | --- | --- | --- | --- | --- |'


def _type_name(part):
    target = part.get('$ref')
    if target:
        return target.rsplit('/', 1)[1]
    if part['type'] == 'array':
        return f'list of {_type_name(part["items"])}'
    if part['type'] != 'object':
        return part['type']
    inner = next(iter(part['patternProperties'].values()))
    return f'name to {_type_name(inner)}'


def _range_text(part):
    minimum = part.get('minimum')
    exclusive_minimum = part.get('exclusiveMinimum')
    maximum = part.get('maximum')
    if exclusive_minimum is not None:
        return f'> {exclusive_minimum}'
    if minimum is None:
        return ''
    return f'>= {minimum}' if maximum is None else f'{minimum} to {maximum}'


def _allowed_text(part):
    texts = part.get('enum') or [part.get('pattern', '')]
    return ', '.join(f'`{text}`' for text in texts if text) or _range_text(part)


def _default_text(name, part, required):
    if name in required:
        return 'required'
    if '$ref' in part:
        return 'all defaults'
    empty = _EMPTY_DEFAULTS.get(part['type'])
    return f'`{json.dumps(part.get("default", empty))}`'


def _row(name, part, required, text):
    unit = _UNITS.get(name.rsplit('_', 1)[-1], '') if '_' in name else ''
    cells = (
        f'`{name}`',
        _type_name(part),
        unit,
        _default_text(name, part, required),
        _allowed_text(part),
        text,
    )
    return f'| {" | ".join(cells)} |'


def manifest_reference():
    """Return the Markdown reference of every field."""
    schema = json.loads(manifest_schema())
    lines = []
    for name in _CLASSES:
        kind = getattr(_model, name)
        part = schema if name == 'Manifest' else schema['$defs'][name]
        lines.extend(
            [f'### {name}', '', summary(kind), '', _HEADER_ROW, _SEPARATOR_ROW]
        )
        texts = field_texts(kind)
        for field, text in texts.items():
            row = _row(
                field, part['properties'][field], part.get('required', ()), text
            )
            lines.append(row)
        lines.append('')
    return '\n'.join(lines)
