"""YAML loader that limits expansion and rejects duplicate keys.

Explanation
===========

PyYAML's own loaders follow YAML 1.1 (``no`` is false, ``22:30`` is 1350),
silently keep the last of two equal keys, and expand aliases without limit.
"""

import re

import yaml
from yaml.composer import Composer, ComposerError
from yaml.constructor import ConstructorError
from yaml.events import AliasEvent
from yaml.resolver import BaseResolver

MAX_DEPTH = 32
MAX_EXPANDED_CHARACTERS = 4_194_304

_PREFIX = 'tag:yaml.org,2002:'
_DIGITS = '-+0123456789'
_SCALAR_PATTERNS = (
    ('null', '~|null|Null|NULL|', ('~', 'n', 'N', '')),
    ('bool', 'true|True|TRUE|false|False|FALSE', tuple('tTfF')),
    ('int', '[-+]?[0-9]+', tuple(_DIGITS)),
    (
        'float',
        r'[-+]?(?:\.[0-9]+|[0-9]+(?:\.[0-9]*)?)(?:[eE][-+]?[0-9]+)?',
        ('.', *_DIGITS),
    ),
)


class CoreResolver(BaseResolver):
    """Resolves plain scalars according to YAML 1.2's core schema."""


def _register_scalar_patterns():
    for kind, regex, first_characters in _SCALAR_PATTERNS:
        CoreResolver.add_implicit_resolver(
            f'{_PREFIX}{kind}',
            re.compile(f'^(?:{regex})$'),
            first_characters,
        )


_register_scalar_patterns()


class BoundedLoader(Composer, yaml.cyaml.CParser, CoreResolver):
    """Composes the nodes of a document and limits its depth and size.

    Parameters
    ==========

    text : str
        Text of the document.

    Raises
    ======

    yaml.YAMLError
        If the text is not valid YAML, nests deeper than ``MAX_DEPTH`` or
        would expand beyond ``MAX_EXPANDED_CHARACTERS`` characters.
    """

    def __init__(self, text):
        yaml.cyaml.CParser.__init__(self, text)
        Composer.__init__(self)
        CoreResolver.__init__(self)
        self.depth = 0
        self.expanded = 0
        self.sizes = {}

    def compose_node(self, parent, index):
        """Return the next node; the composer calls this for each node.

        An alias counts as much as the node that it refers to. Otherwise a
        text of a few hundred bytes, in which each line refers ten times to the
        line before, expands to gigabytes and exhausts the host's memory.
        """
        mark = self.peek_event().start_mark
        is_alias = self.check_event(AliasEvent)
        expanded_before = self.expanded
        self.depth += 1
        self._require(self.depth <= MAX_DEPTH, 'nests too deeply', mark)
        node = super().compose_node(parent, index)
        self.depth -= 1
        if is_alias:
            self._require(node in self.sizes, 'an alias contains itself', mark)
            self.expanded += self.sizes[node]
        else:
            self.expanded += 1 + _character_count(node)
            self.sizes[node] = self.expanded - expanded_before
        self._require(
            self.expanded <= MAX_EXPANDED_CHARACTERS,
            'alias expansion is too large',
            mark,
        )
        return node

    def close(self):
        """Free the parser's buffers."""
        self.dispose()

    def _require(self, condition, problem, mark):
        if not condition:
            raise ComposerError(None, None, problem, mark)


def _character_count(node):
    return len(node.value) if isinstance(node, yaml.ScalarNode) else 0


def _constructor_error(problem, node):
    return ConstructorError(None, None, problem, node.start_mark)


def _parse_bool(text):
    return text.lower() == 'true'


def _parse_null(_text):
    """Return ``None``."""


_SCALAR_PARSERS = {
    f'{_PREFIX}null': _parse_null,
    f'{_PREFIX}bool': _parse_bool,
    f'{_PREFIX}int': int,
    f'{_PREFIX}float': float,
    f'{_PREFIX}str': str,
}


def _scalar_value(node):
    parse = _SCALAR_PARSERS.get(node.tag)
    if parse is None:
        raise _constructor_error(f'unknown tag {node.tag}', node)
    try:
        return parse(node.value)
    except ValueError:
        raise _constructor_error(
            'the value is not valid for its tag', node
        ) from None


def _mapping_key(node):
    if isinstance(node, yaml.ScalarNode) and node.tag == f'{_PREFIX}str':
        return node.value
    raise _constructor_error('a key is not text; put it in quotes', node)


def _mapping_value(node):
    mapping = {}
    for key_node, value_node in node.value:
        key = _mapping_key(key_node)
        if key in mapping:
            raise _constructor_error(f'{key!r} is given twice', key_node)
        mapping[key] = plain_value(value_node)
    return mapping


def plain_value(node):
    """Convert a node to plain Python data.

    Explanation
    ===========

    The result consists of dicts, lists, strings, numbers, booleans and
    ``None``.

    Raises
    ======

    yaml.YAMLError
        For duplicate keys, keys that are not text, and unsupported tags.
    """
    if isinstance(node, yaml.ScalarNode):
        return _scalar_value(node)
    if node.tag not in {f'{_PREFIX}map', f'{_PREFIX}seq'}:
        raise _constructor_error(f'unknown tag {node.tag}', node)
    if isinstance(node, yaml.MappingNode):
        return _mapping_value(node)
    return [plain_value(part) for part in node.value]
