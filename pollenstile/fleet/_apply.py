"""Applying a reviewed manifest, and who has it in force."""

from dataclasses import dataclass

from pollenstile.fleet._platformnews import CONFIG_KIND, CONFIG_NAME
from pollenstile.platform import (
    Absent,
    Conflict,
    Found,
    Superseded,
    Written,
    field_mark,
    put_with_readback,
    no_pause,
)

MARK_FIELD = 'apply'
HISTORY_FIELD = 'history'
_MOST_TRIES = 6
_MOST_HISTORY = 16


@dataclass(slots=True, frozen=True)
class Accepted:
    """The manifest is accepted as this version."""

    version: int


@dataclass(slots=True, frozen=True)
class RaceLost:
    """Another version stands there; nothing of this one is in force.

    Parameters
    ==========

    version : int
        The one that stands there.
    """

    version: int


@dataclass(slots=True, frozen=True)
class Replaced:
    """The manifest was accepted, and another has replaced it since.

    Parameters
    ==========

    version : int
        The one that stands there now.
    """

    version: int


@dataclass(slots=True, frozen=True)
class Unsettled:
    """It is not known what became of the write.

    Parameters
    ==========

    step, peer, reason : str
        Where and why.
    """

    step: str
    peer: str
    reason: str


@dataclass(slots=True, frozen=True)
class CurrentConfig:
    """What stands in the store; version 0 and no text when nothing does.

    Parameters
    ==========

    version : int
        Its version.
    text : str
        The manifest's document.
    history : tuple of str
        Marks of the last writes, the newest last.
    """

    version: int
    text: str
    history: tuple = ()


async def current_config(store):
    """Return ``CurrentConfig``, or ``Unavailable``."""
    found = await store.get(CONFIG_KIND, CONFIG_NAME)
    if isinstance(found, Absent):
        return CurrentConfig(0, '')
    if not isinstance(found, Found):
        return found
    fields = found.value if isinstance(found.value, dict) else {}
    text = fields.get('text')
    history = fields.get(HISTORY_FIELD)
    return CurrentConfig(
        found.version,
        text if isinstance(text, str) else '',
        tuple(history) if isinstance(history, list) else (),
    )


async def apply_manifest(store, text, reviewed, apply_id, pause=no_pause):
    """Write a manifest over the version that it was reviewed against.

    Explanation
    ===========

    Of two racing writers that name the same version one wins. When the
    answer is lost the object is read back; the mark in it tells whose write
    stands there.

    Parameters
    ==========

    store : Store
        The object API.
    text : str
        The manifest's document, validated.
    reviewed : int
        The version that the change was reviewed against; 0 for none.
    apply_id : str
        Never used for another write.
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
    history = [*current.history, apply_id][-_MOST_HISTORY:]
    outcome = await put_with_readback(
        store,
        CONFIG_KIND,
        CONFIG_NAME,
        {'text': text, MARK_FIELD: apply_id, HISTORY_FIELD: history},
        reviewed,
        field_mark(MARK_FIELD),
        pause,
        _MOST_TRIES,
    )
    if isinstance(outcome, Written):
        return Accepted(outcome.version)
    if isinstance(outcome, Conflict):
        return RaceLost(outcome.version)
    if isinstance(outcome, Superseded):
        return await _superseded(store, apply_id, outcome)
    return Unsettled(outcome.step, outcome.peer, outcome.reason)


async def _superseded(store, apply_id, outcome):
    # The answer was lost and another version stands there. Either ours lost
    # the race, or it was in force and the next writer has replaced it; that
    # writer read ours first and keeps its mark in the history.
    current = await current_config(store)
    if not isinstance(current, CurrentConfig):
        return Unsettled(current.step, current.peer, current.reason)
    if apply_id in current.history:
        return Replaced(current.version)
    if current.history and len(current.history) < _MOST_HISTORY:
        return RaceLost(current.version)
    return Unsettled('put', 'object API', 'the history does not tell')


def hosts_behind(document, version):
    """Return the names of listed hosts that lack a version.

    Parameters
    ==========

    document : dict
        What an entry host's ``/fleet`` answers.
    version : int
        The one that is waited for.

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
