"""The operators' table of every field."""

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
_EMPTY = MappingProxyType({'array': (), 'object': {}})
_HEAD = '| Field | Type | Unit | Default | Allowed | Meaning |'
_RULE = '| --- | --- | --- | --- | --- | --- |'


def _type(part):
    target = part.get('$ref')
    if target:
        return target.rsplit('/', 1)[1]
    if part['type'] == 'array':
        return f'list of {_type(part["items"])}'
    if part['type'] != 'object':
        return part['type']
    inner = next(iter(part['patternProperties'].values()))
    return f'name to {_type(inner)}'


def _range(part):
    lowest = part.get('minimum')
    above = part.get('exclusiveMinimum')
    highest = part.get('maximum')
    if above is not None:
        return f'> {above}'
    if lowest is None:
        return ''
    return f'>= {lowest}' if highest is None else f'{lowest} to {highest}'


def _allowed(part):
    texts = part.get('enum') or [part.get('pattern', '')]
    return ', '.join(f'`{one}`' for one in texts if one) or _range(part)


def _default(name, part, required):
    if name in required:
        return 'required'
    if '$ref' in part:
        return 'all defaults'
    plainest = _EMPTY.get(part['type'])
    return f'`{json.dumps(part.get("default", plainest))}`'


def _row(name, part, required, text):
    unit = _UNITS.get(name.rsplit('_', 1)[-1], '') if '_' in name else ''
    cells = (
        f'`{name}`',
        _type(part),
        unit,
        _default(name, part, required),
        _allowed(part),
        text,
    )
    return f'| {" | ".join(cells)} |'


def manifest_reference():
    """Return the reference of every field, as Markdown."""
    schema = json.loads(manifest_schema())
    lines = []
    for name in _CLASSES:
        kind = getattr(_model, name)
        part = schema if name == 'Manifest' else schema['$defs'][name]
        lines.extend([f'### {name}', '', summary(kind), '', _HEAD, _RULE])
        texts = field_texts(kind)
        for field, text in texts.items():
            row = _row(
                field, part['properties'][field], part.get('required', ()), text
            )
            lines.append(row)
        lines.append('')
    return '\n'.join(lines)
