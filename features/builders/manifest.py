"""Example, invalid and generated documents for the manifest feature."""

import functools
import json
import pathlib

import yaml
from hypothesis import strategies

ROOT = pathlib.Path(__file__).resolve().parents[2]
EXAMPLES = ('kowalczyk', 'liwanag')
ABSENT = 'absent'

_LEAVES = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(),
    strategies.floats(),
    strategies.text(max_size=8),
)


def example_path(name):
    """Return the path of a deployment's example manifest."""
    return ROOT / 'examples' / f'{name}.yaml'


def example_text(name):
    """Return the text of a deployment's example manifest."""
    return example_path(name).read_text()


@functools.cache
def _example_json(name):
    return json.dumps(yaml.safe_load(example_text(name)))


def example_document(name):
    """Return a new copy of a deployment's example as plain data."""
    return json.loads(_example_json(name))


def _path_step(part):
    return int(part) if part.isdigit() else part


def edit(document, path, value):
    """Set the value at a dotted path, or remove it if it is ``ABSENT``."""
    *steps, last = (_path_step(part) for part in path.split('.'))
    holder = document
    for step in steps:
        holder = holder[step]
    if value == ABSENT:
        holder.pop(last)
        return
    holder[last] = value


def document_text(document):
    """Return a document as JSON, with infinity as an overflowing number."""
    return json.dumps(document).replace('Infinity', '1e999')


def value_from_cell(cell):
    """Return the value of a table cell: JSON, or the bare word ``absent``."""
    return ABSENT if cell == ABSENT else json.loads(cell)


def many_upstreams(count):
    """Return ``count`` upstreams of one domain with distinct addresses."""
    upstreams = {}
    for number in range(count):
        address = f'10.0.{number // 250}.{number % 250 + 1}:9000'
        upstreams[f'u{number}'] = {'domain': 'erie-hall', 'address': address}
    return upstreams


def alias_bomb(levels=20, fan_out=10):
    """Return a YAML text that expands to ``fan_out ** levels`` scalars."""
    lines = [f'a0: &a0 [{", ".join("x" for _ in range(fan_out))}]']
    for level in range(1, levels):
        aliases = ', '.join(f'*a{level - 1}' for _ in range(fan_out))
        lines.append(f'a{level}: &a{level} [{aliases}]')
    return '\n'.join(lines)


_OPENING_BRACES = '{"a":' * 5000
_CLOSING_BRACES = '}' * 5000
DOCUMENTS = (
    ('an empty text', ''),
    ('a list', '- 1'),
    ('a bare string', '"kowalczyk"'),
    ('two documents', 'a: 1\n--- \nb: 1'),
    ('a key given twice in YAML', 'name: a\nteams: {}\nname: b'),
    ('a key given twice in JSON', '{"name": "a",\n"name": "b"}'),
    ('a number as a key', 'teams:\n  7: {}'),
    ('an unclosed list', 'name: [1, 2\nteams: {}'),
    ('a Python tag', 'name: !!python/object:os.system ls'),
    ('an undefined alias', 'name: *other'),
    ('an alias to itself', 'name: &self [*self]'),
    ('an alias bomb', alias_bomb()),
    ('deep nesting in YAML', '[' * 5000),
    ('deep nesting in JSON', f'{_OPENING_BRACES}1{_CLOSING_BRACES}'),
    ('too many bytes', 'x' * 1_048_577),
    ('a number with too many digits', f'name: {"9" * 5000}'),
    ('a control character', 'name: "\x00"'),
    ('bytes that are not UTF-8', b'name: \xff'),
    ('an unpaired surrogate', r'{"name": "\ud800"}'),
)


def json_values():
    """Return a strategy of arbitrary JSON values."""
    return strategies.recursive(
        _LEAVES,
        lambda inner: strategies.one_of(
            strategies.lists(inner, max_size=4),
            strategies.dictionaries(
                strategies.text(max_size=8), inner, max_size=4
            ),
        ),
        max_leaves=12,
    )


def _all_paths(value, path=()):
    paths = [path] if path else []
    pairs = ()
    if isinstance(value, dict):
        pairs = value.items()
    if isinstance(value, list):
        pairs = enumerate(value)
    for step, part in pairs:
        paths.extend(_all_paths(part, (*path, step)))
    return paths


@strategies.composite
def corrupted_documents(draw):
    """Draw an example in which one to four values are replaced at random."""
    document = example_document(draw(strategies.sampled_from(EXAMPLES)))
    for _ in range(draw(strategies.integers(1, 4))):
        paths = strategies.sampled_from(_all_paths(document))
        *steps, last = draw(paths)
        holder = document
        for step in steps:
            holder = holder[step]
        holder[last] = draw(json_values())
    return document


def _shuffled(draw, value):
    if isinstance(value, list):
        return [_shuffled(draw, part) for part in value]
    if not isinstance(value, dict):
        return value
    keys = draw(strategies.permutations(list(value)))
    return {key: _shuffled(draw, value[key]) for key in keys}


@strategies.composite
def valid_documents(draw):
    """Draw an example with other numbers, and a copy with shuffled keys."""
    document = example_document(draw(strategies.sampled_from(EXAMPLES)))
    for team in document['teams'].values():
        team['weight'] = draw(strategies.floats(0.001, 1000))
    for pool in document['pools'].values():
        pool['cost'] = draw(strategies.floats(0, 1000))
    for pipeline in document['pipelines'].values():
        pipeline['deadline_ms'] = draw(strategies.integers(4000, 3_600_000))
    return document, _shuffled(draw, document)
