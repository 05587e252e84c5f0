"""Builders of manifests with replaced values."""

import copy

import yaml
from hypothesis import strategies as st

_NUMBERS = st.integers() | st.floats(allow_nan=False, allow_infinity=False)
_PLAIN = st.none() | st.booleans() | _NUMBERS | st.text(max_size=12)
VALUES = st.recursive(
    _PLAIN,
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=6,
)
STEPS = st.lists(st.integers(min_value=0, max_value=50), max_size=6)


def example():
    """Return the example manifest as plain values."""
    with open('examples/kowalczyk.yaml', encoding='utf8') as source:
        return yaml.safe_load(source)


def replace_at(document, steps, content):
    """Return a copy of a document with the value at a path replaced.

    Parameters
    ==========

    steps : list of int
        Path into the document; each step selects an entry, modulo their
        number.
    """
    holder = [copy.deepcopy(document)]
    root = holder
    key = 0
    for step in steps:
        inner = holder[key]
        if not isinstance(inner, (dict, list)) or not inner:
            break
        holder = inner
        keys = list(inner) if isinstance(inner, dict) else range(len(inner))
        key = keys[step % len(keys)]
    holder[key] = content
    return root[0]


def yaml_text(document):
    """Return the YAML of a document."""
    return yaml.safe_dump(document)
