"""Conditional writes of a reviewed manifest, and the hosts that lack it."""

from dataclasses import dataclass

from pollenstile.fleet._platform_reader import (
    CONFIG_KIND,
    CONFIG_NAME,
    HISTORY_FIELD,
    MARK_FIELD,
    lineage_of,
)
from pollenstile.platform import (
    Absent,
    Conflict,
    Found,
    Superseded,
    Written,
    field_mark,
    no_pause,
    put_with_readback,
)

_MAX_TRIES = 6
_MAX_HISTORY = 16


@dataclass(slots=True, frozen=True)
class Accepted:
    """The manifest was written as this version."""

    version: int


@dataclass(slots=True, frozen=True)
class RaceLost:
    """The store has another version; this manifest was not written.

    Parameters
    ==========

    version : int
        The version in the store.
    """

    version: int


@dataclass(slots=True, frozen=True)
class Replaced:
    """The manifest was written, and another one has replaced it since.

    Parameters
    ==========

    version : int
        The version in the store now.
    """

    version: int


@dataclass(slots=True, frozen=True)
class Unsettled:
    """The outcome of the write is unknown.

    Parameters
    ==========

    step, peer, reason : str
        The call that failed, the peer, and the reason.
    """

    step: str
    peer: str
    reason: str


@dataclass(slots=True, frozen=True)
class CurrentConfig:
    """The manifest in the store; version 0 and no text when there is none.

    Parameters
    ==========

    version : int
        Version of the object.
    text : str
        The manifest's document.
    history : tuple of str
        Marks of the last writes, the newest last.
    """

    version: int
    text: str
    history: tuple = ()


async def current_config(store):
    """Read the manifest; return ``CurrentConfig`` or ``Unavailable``."""
    found = await store.get(CONFIG_KIND, CONFIG_NAME)
    if isinstance(found, Absent):
        return CurrentConfig(0, '')
    if not isinstance(found, Found):
        return found
    fields = found.value if isinstance(found.value, dict) else {}
    text = fields.get('text')
    return CurrentConfig(
        found.version,
        text if isinstance(text, str) else '',
        lineage_of(fields).history,
    )


async def apply_manifest(store, text, reviewed, apply_id, pause=no_pause):
    """Write a manifest if the version it was reviewed against is current.

    Explanation
    ===========

    Of two racing writers that name the same version one succeeds. When the
    answer is lost the object is read back; its mark identifies the write that
    the store contains.

    Parameters
    ==========

    store : Store
        The object API.
    text : str
        The manifest's document, validated.
    reviewed : int
        The version that the change was reviewed against; 0 for none.
    apply_id : str
        Mark of this write; never used for another one.
    pause : function
        See :func:`~pollenstile.platform.put_with_readback`.

    Returns
    =======

    Accepted, RaceLost, Replaced or Unsettled
    """
    current = await current_config(store)
    if not isinstance(current, CurrentConfig):
        return Unsettled(current.step, current.peer, current.reason)
    if current.version != reviewed:
        return RaceLost(current.version)
    history = [*current.history, apply_id][-_MAX_HISTORY:]
    outcome = await put_with_readback(
        store,
        CONFIG_KIND,
        CONFIG_NAME,
        {'text': text, MARK_FIELD: apply_id, HISTORY_FIELD: history},
        reviewed,
        field_mark(MARK_FIELD),
        pause,
        _MAX_TRIES,
    )
    if isinstance(outcome, Written):
        return Accepted(outcome.version)
    if isinstance(outcome, Conflict):
        return RaceLost(outcome.version)
    if isinstance(outcome, Superseded):
        return await _settle_superseded(store, apply_id, outcome)
    return Unsettled(outcome.step, outcome.peer, outcome.reason)


async def _settle_superseded(store, apply_id, outcome):
    # The answer was lost and the store has another version. Either this write
    # lost the race, or the next writer has replaced it; that writer read this
    # version first and keeps its mark in the history.
    current = await current_config(store)
    if not isinstance(current, CurrentConfig):
        return Unsettled(current.step, current.peer, current.reason)
    if apply_id in current.history:
        return Replaced(current.version)
    if current.history and len(current.history) < _MAX_HISTORY:
        return RaceLost(current.version)
    return Unsettled('put', 'object API', 'the history does not tell')


def hosts_behind(document, version):
    """Return the names of listed hosts that lack a version.

    Parameters
    ==========

    document : dict
        Answer of an entry host to ``/fleet``.
    version : int
        The awaited version.

    Examples
    ========

    >>> from pollenstile.fleet import hosts_behind
    >>> one = {'host': 'a', 'version': 3, 'leaving': False}
    >>> other = {'host': 'b', 'version': 2, 'leaving': False}
    >>> hosts_behind({'hosts': [one, other]}, 3)
    ['b']
    """
    behind = []
    for host in document['hosts']:
        if not host['leaving'] and host['version'] < version:
            behind.append(host['host'])
    return behind
