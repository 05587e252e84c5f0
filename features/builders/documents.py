"""Manifests with something in them replaced."""

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
    """Return an example's document as plain values."""
    with open('examples/kowalczyk.yaml', encoding='utf8') as source:
        return yaml.safe_load(source)


def replaced(document, steps, content):
    """Return a document with what lies at the end of some steps replaced.

    Parameters
    ==========

    steps : list of int
        Each chooses one of the entries that there are.
    """
    holder = [copy.deepcopy(document)]
    whole = holder
    place = 0
    for step in steps:
        inner = holder[place]
        if not isinstance(inner, (dict, list)) or not inner:
            break
        holder = inner
        keys = list(inner) if isinstance(inner, dict) else range(len(inner))
        place = keys[step % len(keys)]
    holder[place] = content
    return whole[0]


def as_text(document):
    """Return a document's YAML."""
    return yaml.safe_dump(document)
