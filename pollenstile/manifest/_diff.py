"""Differences between two manifests, listed by path."""

import json
from dataclasses import dataclass

from pollenstile.manifest._decode import text_from_manifest

_ABSENT = None
_MAX_SHOWN = 72


@dataclass(slots=True, frozen=True)
class Change:
    """One difference between two manifests.

    Parameters
    ==========

    path : str
        Path of the value, such as
        ``'pipelines.draft.stages.rerank.attempts'``.
    before : object
        Old value as plain data; ``None`` if the path is new.
    after : object
        New value as plain data; ``None`` if the path was removed.
    """

    path: str
    before: object
    after: object


def _is_stage_list(value):
    return bool(value) and all(isinstance(item, dict) for item in value)


def _as_mapping(value):
    """Return a value as a mapping of its parts, or ``None`` if it has none.

    Stages are compared by name, so that inserting one does not report every
    later stage as changed. The order of the stages is a separate part.
    """
    if isinstance(value, dict):
        return value
    if not isinstance(value, list) or not _is_stage_list(value):
        return None
    parts = {stage['name']: stage for stage in value}
    parts['(order)'] = [stage['name'] for stage in value]
    return parts


def _changes(path, before, after):
    if before == after:
        return []
    old_parts = _as_mapping(before)
    new_parts = _as_mapping(after)
    if old_parts is None or new_parts is None:
        return [Change(path, before, after)]
    changes = []
    for key in sorted({*old_parts, *new_parts}):
        part_path = f'{path}.{key}' if path else key
        changes.extend(
            _changes(part_path, old_parts.get(key), new_parts.get(key)),
        )
    return changes


def _plain_data(manifest):
    if manifest is None:
        return {}
    return json.loads(text_from_manifest(manifest))


def manifest_diff(old, new):
    """Return the changes from one manifest to another.

    Parameters
    ==========

    old : Manifest or None
        ``None`` if there is no earlier manifest.
    new : Manifest

    Returns
    =======

    list of Change
        Ordered by path; empty if both manifests are equal.
    """
    return _changes('', _plain_data(old), _plain_data(new))


def _shorten(value):
    text = json.dumps(value, sort_keys=True)
    return text if len(text) <= _MAX_SHOWN else f'{text[: _MAX_SHOWN - 3]}...'


def diff_lines(changes):
    """Format each change as one line for a terminal.

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
            lines.append(f'+ {change.path}: {_shorten(change.after)}')
            continue
        if change.after is _ABSENT:
            lines.append(f'- {change.path}: {_shorten(change.before)}')
            continue
        before = _shorten(change.before)
        lines.append(f'~ {change.path}: {before} -> {_shorten(change.after)}')
    return lines
