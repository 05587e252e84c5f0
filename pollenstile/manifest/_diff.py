"""What changes from one manifest to the next."""

import json
from dataclasses import dataclass

from pollenstile.manifest._decode import text_from_manifest

_ABSENT = None
_SHOWN = 72


@dataclass(slots=True, frozen=True)
class Change:
    """One difference between two manifests.

    Parameters
    ==========

    path : str
        Where, ``'pipelines.draft.stages.rerank.attempts'``.
    before : object
        Plain data; ``None`` when it is new.
    after : object
        Plain data; ``None`` when it is gone.
    """

    path: str
    before: object
    after: object


def _is_staged(value):
    return bool(value) and all(isinstance(one, dict) for one in value)


def _comparable(value):
    """Return a mapping for what is compared part by part, or ``None``.

    Stages are compared by name, so that one more in front does not show as a
    change of all that follow; their order is a part of its own.
    """
    if isinstance(value, dict):
        return value
    if not isinstance(value, list) or not _is_staged(value):
        return None
    parts = {one['name']: one for one in value}
    parts['(order)'] = [one['name'] for one in value]
    return parts


def _changes(path, before, after):
    if before == after:
        return []
    old = _comparable(before)
    new = _comparable(after)
    if old is None or new is None:
        return [Change(path, before, after)]
    found = []
    for key in sorted({*old, *new}):
        below = f'{path}.{key}' if path else key
        found.extend(_changes(below, old.get(key), new.get(key)))
    return found


def _plain(manifest):
    if manifest is None:
        return {}
    return json.loads(text_from_manifest(manifest))


def manifest_diff(old, new):
    """Return the changes from one manifest to another, by path.

    Parameters
    ==========

    old : Manifest or None
        ``None`` before the first one.
    new : Manifest

    Returns
    =======

    list of Change
        Empty when both say the same.
    """
    return _changes('', _plain(old), _plain(new))


def _shown(value):
    text = json.dumps(value, sort_keys=True)
    return text if len(text) <= _SHOWN else f'{text[: _SHOWN - 3]}...'


def diff_lines(changes):
    """Return a line for each change, for a terminal.

    Examples
    ========

    >>> diff_lines([
    ...     Change('teams.a.weight', 1.0, 2.0),
    ...     Change('teams.b', None, {'weight': 1.0}),
    ...     Change('teams.c', {'weight': 1.0}, None),
    ... ])
    ['~ teams.a.weight: 1.0 -> 2.0', '+ teams.b: {"weight": 1.0}', \
'- teams.c: {"weight": 1.0}']
    """
    lines = []
    for change in changes:
        if change.before is _ABSENT:
            lines.append(f'+ {change.path}: {_shown(change.after)}')
            continue
        if change.after is _ABSENT:
            lines.append(f'- {change.path}: {_shown(change.before)}')
            continue
        before = _shown(change.before)
        lines.append(f'~ {change.path}: {before} -> {_shown(change.after)}')
    return lines
