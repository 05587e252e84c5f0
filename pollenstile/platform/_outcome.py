"""Outcomes of calls to the platform, each a tagged value."""

from dataclasses import dataclass
from typing import Any


@dataclass(slots=True, frozen=True)
class Found:
    """An object as it was read.

    Parameters
    ==========

    kind, name : str
        Which object.
    version : int
        Rises with each write of the object, also over a deletion.
    value : object
        Decoded JSON; never ``None``.
    """

    kind: str
    name: str
    version: int
    value: Any


@dataclass(slots=True, frozen=True)
class Absent:
    """There was no such object when the store was read."""

    kind: str
    name: str


@dataclass(slots=True, frozen=True)
class Written:
    """The write was applied; ``version`` is the object's new one."""

    version: int


@dataclass(slots=True, frozen=True)
class Conflict:
    """The write was not applied: the object has another version.

    Parameters
    ==========

    version : int
        The one it has; 0 when it is absent.
    """

    version: int


@dataclass(slots=True, frozen=True)
class Superseded:
    """An in-doubt write can't be settled: another write stands there.

    Explanation
    ===========

    The object was written by another after the in-doubt put was sent. Ours
    either lost to it or was applied and then replaced. Where objects are
    never replaced (the claims log) it has lost.
    """

    version: int


@dataclass(slots=True, frozen=True)
class Listing:
    """One page of the objects of a kind, in the order of their names.

    Parameters
    ==========

    objects : tuple of Found
        The page.
    revision : int
        The store's revision when the page was read.
    more : bool
        Whether another page follows, after the last name of this one.
    """

    objects: tuple[Found, ...]
    revision: int
    more: bool = False


@dataclass(slots=True, frozen=True)
class Change:
    """One write that a watch or a list has shown.

    Parameters
    ==========

    kind, name : str
        Which object.
    version : int
        Its version after the write. Of a deletion that only a list has
        shown, the list's revision, which is no lower.
    value : object
        Decoded JSON; ``None`` when the object was deleted.
    revision : int
        The store's revision of the write.
    """

    kind: str
    name: str
    version: int
    value: Any
    revision: int


@dataclass(slots=True, frozen=True)
class Changes:
    """What a watch has answered: changes up to a revision, maybe none."""

    revision: int
    events: tuple[Change, ...] = ()


@dataclass(slots=True, frozen=True)
class Compacted:
    """The watch can't start there; list again and watch from the list."""

    revision: int


@dataclass(slots=True, frozen=True)
class NotApplied:
    """The write was surely not applied, and won't be.

    Parameters
    ==========

    step : str
        ``'put'`` or ``'delete'``.
    peer : str
        Address of the store.
    reason : str
        Such as ``'refused'``, ``'budget'``, ``'backing-off'``,
        ``'status 413'``.
    retry_after : float or None
        Seconds after which a further try may go through.
    """

    step: str
    peer: str
    reason: str
    retry_after: float | None = None


@dataclass(slots=True, frozen=True)
class InDoubt:
    """The write may have been applied, or may be applied later."""

    step: str
    peer: str
    reason: str


@dataclass(slots=True, frozen=True)
class Unavailable:
    """The store gave no answer to a read; see :class:`NotApplied`."""

    step: str
    peer: str
    reason: str
    retry_after: float | None = None
