"""A YAML loader with bounds and unique keys.

Explanation
===========

PyYAML's own loaders follow YAML 1.1 (``no`` is false, ``22:30`` is 1350), keep
the last of two equal keys without a word, and expand aliases without bound.
"""

import re

import yaml
from yaml.composer import Composer, ComposerError
from yaml.constructor import ConstructorError
from yaml.events import AliasEvent
from yaml.resolver import BaseResolver

MAX_DEPTH = 32
MAX_EXPANDED = 4_194_304

_PREFIX = 'tag:yaml.org,2002:'
_DIGITS = '-+0123456789'
_PLAIN_SCALARS = (
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
    """Resolves plain scalars by YAML 1.2's core schema."""


def _define_scalars():
    for kind, regex, first in _PLAIN_SCALARS:
        CoreResolver.add_implicit_resolver(
            f'{_PREFIX}{kind}',
            re.compile(f'^(?:{regex})$'),
            first,
        )


_define_scalars()


class BoundedLoader(Composer, yaml.cyaml.CParser, CoreResolver):
    """Composes a document's nodes within bounds.

    Parameters
    ==========

    text : str
        The document.

    Raises
    ======

    yaml.YAMLError
        When the text is no YAML, nests deeper than ``MAX_DEPTH`` or would
        expand beyond ``MAX_EXPANDED`` characters.
    """

    def __init__(self, text):
        yaml.cyaml.CParser.__init__(self, text)
        Composer.__init__(self)
        CoreResolver.__init__(self)
        self.depth = 0
        self.expanded = 0
        self.sizes = {}

    def compose_node(self, parent, index):
        """Return the next node; called by the composer for each.

        An alias counts with all that it stands for. Without this a text of a
        few hundred bytes, each line of which names the line before ten times,
        expands to gigabytes and takes the host's memory.
        """
        mark = self.peek_event().start_mark
        aliased = self.check_event(AliasEvent)
        before = self.expanded
        self.depth += 1
        self._hold(self.depth <= MAX_DEPTH, 'nests too deeply', mark)
        node = super().compose_node(parent, index)
        self.depth -= 1
        if aliased:
            self._hold(node in self.sizes, 'an alias holds itself', mark)
            self.expanded += self.sizes[node]
        else:
            self.expanded += 1 + _width(node)
            self.sizes[node] = self.expanded - before
        self._hold(
            self.expanded <= MAX_EXPANDED, 'aliases expand too far', mark
        )
        return node

    def close(self):
        """Free the parser's buffers."""
        self.dispose()

    def _hold(self, condition, problem, mark):
        if not condition:
            raise ComposerError(None, None, problem, mark)


def _width(node):
    return len(node.value) if isinstance(node, yaml.ScalarNode) else 0


def _refusal(problem, node):
    return ConstructorError(None, None, problem, node.start_mark)


def _as_bool(text):
    return text.lower() == 'true'


def _as_none(_text):
    """Return ``None``."""


_SCALARS = {
    f'{_PREFIX}null': _as_none,
    f'{_PREFIX}bool': _as_bool,
    f'{_PREFIX}int': int,
    f'{_PREFIX}float': float,
    f'{_PREFIX}str': str,
}


def _scalar(node):
    convert = _SCALARS.get(node.tag)
    if convert is None:
        raise _refusal(f'unknown tag {node.tag}', node)
    try:
        return convert(node.value)
    except ValueError:
        raise _refusal('not the value that its tag says', node) from None


def _key(node):
    if isinstance(node, yaml.ScalarNode) and node.tag == f'{_PREFIX}str':
        return node.value
    raise _refusal('a key is not text; put it in quotes', node)


def _mapping(node):
    mapping = {}
    for key_node, value_node in node.value:
        key = _key(key_node)
        if key in mapping:
            raise _refusal(f'{key!r} is given twice', key_node)
        mapping[key] = plain_value(value_node)
    return mapping


def plain_value(node):
    """Return a node's dicts, lists, texts, numbers, booleans and ``None``.

    Raises
    ======

    yaml.YAMLError
        For keys that are given twice or are not text, and for other tags.
    """
    if isinstance(node, yaml.ScalarNode):
        return _scalar(node)
    if node.tag not in {f'{_PREFIX}map', f'{_PREFIX}seq'}:
        raise _refusal(f'unknown tag {node.tag}', node)
    if isinstance(node, yaml.MappingNode):
        return _mapping(node)
    return [plain_value(part) for part in node.value]
