"""Field descriptions, extracted from the data classes' docstrings."""

import dataclasses
import inspect
import re

_ROLE = re.compile(r':class:`(\w+)`')
_ENTRY = re.compile(r'^(\w+) : (.+)$')


def summary(kind):
    """Return the first line of a class's docstring."""
    return inspect.getdoc(kind).splitlines()[0]


def _without_markup(text):
    return _ROLE.sub(r'\1', text).replace('``', '`')


def field_texts(kind):
    """Return a mapping of field names to descriptions.

    Explanation
    ===========

    The descriptions are those of the class's ``Parameters`` section.

    Examples
    ========

    >>> from pollenstile.manifest._model import Domain
    >>> field_texts(Domain)
    {'region': 'Region that contains the domain.'}
    """
    texts = {}
    name = ''
    for line in inspect.getdoc(kind).splitlines():
        entry = _ENTRY.match(line)
        if entry:
            name = entry.group(1)
            texts[name] = ''
            continue
        if name and line.startswith('    '):
            texts[name] = _without_markup(
                f'{texts[name]} {line.strip()}'.strip()
            )
    names = [member.name for member in dataclasses.fields(kind)]
    return {name: texts[name] for name in names}
