"""Which of the changes that a watch or a list shows are new.

Explanation
===========

A version is the store's revision at the write, so all that a whole list of
revision R shows or doesn't show settles everything up to R. A later event
with a version up to R is old. Deleted names are kept only until the next
list, so memory does not grow with the names that come and go.
"""

from pollenstile.platform._outcome import Change


class Known:
    """The newest version seen of each name, and the last list's revision."""

    __slots__ = ('deleted', 'floor', 'live')

    def __init__(self):
        self.floor = 0
        self.live = {}
        self.deleted = {}


def news_of_events(known, events):
    """Return those events that are newer than what is known, and note them.

    Examples
    ========

    >>> known = Known()
    >>> new = Change('config', 'manifest', 7, {}, 7)
    >>> old = Change('config', 'manifest', 6, {}, 6)
    >>> [event.version for event in news_of_events(known, [new, old, new])]
    [7]
    """
    news = []
    for event in events:
        if event.version <= _newest(known, event.name):
            continue
        _note(known, event)
        news.append(event)
    return news


def news_of_listing(known, listing):
    """Return the changes that a whole list shows, and note them.

    Explanation
    ===========

    A list that is older than one before, as a lagging replica gives it, has
    nothing to say: it would bring deleted objects back. A name that is known
    but not listed was deleted, unless it was written after the list: then
    the deletion counts as old.

    Returns
    =======

    list of Change or None
        ``None`` for such an older list.
    """
    if listing.revision < known.floor:
        return None
    revision = listing.revision
    names = {found.name for found in listing.objects}
    events = [_change_of(found) for found in listing.objects]
    for name, (kind, _) in known.live.items():
        if name in names:
            continue
        events.append(Change(kind, name, revision, None, revision))
    known.floor = 0
    news = news_of_events(known, events)
    known.floor = listing.revision
    known.deleted = {
        name: version
        for name, version in known.deleted.items()
        if version > listing.revision
    }
    return news


def _newest(known, name):
    row = known.live.get(name)
    version = row[1] if row else known.deleted.get(name, 0)
    return max(version, known.floor if row is None else 0)


def _note(known, event):
    if event.value is None:
        known.live.pop(event.name, None)
        known.deleted[event.name] = event.version
        return
    known.deleted.pop(event.name, None)
    known.live[event.name] = (event.kind, event.version)


def _change_of(found):
    return Change(
        found.kind,
        found.name,
        found.version,
        found.value,
        found.version,
    )
