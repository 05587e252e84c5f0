"""Filters out changes that a watch or a list has already reported.

Explanation
===========

The version of an object is the store's revision at its last write. A full list
of revision R therefore reflects every write up to R, and an event with a
version up to R that arrives later is out of date. Deleted names are kept only
until the next list, so that memory does not grow with short-lived names.
"""

from dataclasses import replace

from pollenstile.platform._outcome import Change
from pollenstile.platform._positions import era_of


class SeenVersions:
    """Newest seen version of each name and revision of the last full list.

    Attributes
    ==========

    live : dict
        The last :class:`Change` of each existing object, by name.
    deleted : dict
        Version of each deletion since the last full list, by name.
    ahead : dict
        Version of each change that a read beside the watch has shown, and the
        watch has not yet, by name.
    """

    __slots__ = ('ahead', 'deleted', 'listed_revision', 'live')

    def __init__(self):
        self.ahead = {}
        self.listed_revision = 0
        self.live = {}
        self.deleted = {}


def filter_new_events(seen, events):
    """Return the events with versions not seen before and record them.

    Examples
    ========

    >>> seen = SeenVersions()
    >>> new = Change('config', 'manifest', 7, {}, 7)
    >>> old = Change('config', 'manifest', 6, {}, 6)
    >>> [event.version for event in filter_new_events(seen, [new, old, new])]
    [7]
    """
    changes = []
    for event in events:
        if event.version <= _latest_version(seen, event.name):
            continue
        _record(seen, event)
        changes.append(event)
    return changes


def changes_ahead(seen, listing):
    """Return the changes that a list shows before the watch; record them.

    Explanation
    ===========

    Only objects that are there are taken from it. What has come and gone again
    is left to the watch, which reports each change.

    Returns
    =======

    list of Change or None
        ``None`` if the list is of another era than what is known.
    """
    if era_of(listing.revision) != era_of(seen.listed_revision):
        return None
    events = [
        _change_of(found, after_return=False) for found in listing.objects
    ]
    changes = filter_new_events(
        seen, [event for event in events if not _is_known(seen, event)]
    )
    seen.ahead.update({change.name: change.version for change in changes})
    return changes


def without_ahead(seen, events):
    """Return the events without those that a read has shown before."""
    remaining = []
    for event in events:
        if seen.ahead.get(event.name) != event.version:
            remaining.append(event)
            continue
        seen.ahead.pop(event.name)
    return remaining


def changes_from_listing(seen, listing):
    """Return the changes that a full list implies and record them.

    Explanation
    ===========

    A list that is older than a previous one, such as the list of a lagging
    replica, is rejected because it would restore deleted objects. A seen name
    that is not listed was deleted, unless it was written after the list was
    read; in that case the deletion counts as out of date. An object whose value
    is the known one is no change, whatever its version: after a return of the
    store all versions are new.

    Returns
    =======

    list of Change or None
        ``None`` if the list is older than a previous one.
    """
    if listing.revision < seen.listed_revision:
        return None
    revision = listing.revision
    after_return = 0 < seen.listed_revision and (
        era_of(seen.listed_revision) < era_of(revision)
    )
    names = {found.name for found in listing.objects}
    events = [_change_of(found, after_return) for found in listing.objects]
    for name, known in seen.live.items():
        if name in names:
            continue
        events.append(
            Change(known.kind, name, revision, None, revision, after_return)
        )
    seen.listed_revision = 0
    seen.ahead.clear()
    events = [event for event in events if not _is_known(seen, event)]
    changes = filter_new_events(seen, events)
    seen.listed_revision = listing.revision
    seen.deleted = {
        name: version
        for name, version in seen.deleted.items()
        if version > listing.revision
    }
    return changes


def _latest_version(seen, name):
    known = seen.live.get(name)
    if known is not None:
        return known.version
    return max(seen.deleted.get(name, 0), seen.listed_revision)


def _record(seen, event):
    if event.value is None:
        seen.live.pop(event.name, None)
        seen.deleted[event.name] = event.version
        return
    seen.deleted.pop(event.name, None)
    seen.live[event.name] = event


def _is_known(seen, event):
    """Return whether an object has its known value; note its version."""
    known = seen.live.get(event.name)
    if known is None or known.value != event.value:
        return False
    if event.version > known.version:
        seen.live[event.name] = replace(known, version=event.version)
    return True


def _change_of(found, after_return):
    return Change(
        found.kind,
        found.name,
        found.version,
        found.value,
        found.version,
        after_return,
    )
