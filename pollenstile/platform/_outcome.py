"""Types of the outcomes of calls to the platform.

Explanation
===========

The outcome of a call to the object store has in ``era`` how often the store had
come back from an older copy of itself when it answered; ``None`` when no answer
stated it.
"""

from dataclasses import dataclass, field
from typing import Any


def _era():
    return field(default=None, repr=False, compare=False)


@dataclass(slots=True, frozen=True)
class Found:
    """An object that was read.

    Parameters
    ==========

    kind, name : str
        Identity of the object.
    version : int
        Increases with each write of the object, also across a deletion.
    value : object
        Decoded JSON; never ``None``.
    """

    kind: str
    name: str
    version: int
    value: Any
    era: int | None = _era()


@dataclass(slots=True, frozen=True)
class Absent:
    """The object did not exist when the store was read.

    Parameters
    ==========

    version : int
        Condition of a write that requires the object to be absent still; 0 for
        a store without eras.
    """

    kind: str
    name: str
    version: int = field(default=0, repr=False)
    era: int | None = _era()


@dataclass(slots=True, frozen=True)
class Written:
    """The write was applied; ``version`` is the object's new version."""

    version: int
    era: int | None = _era()


@dataclass(slots=True, frozen=True)
class Conflict:
    """The write was not applied: the object has another version.

    Parameters
    ==========

    version : int
        Current version of the object; 0 when it is absent, or not known.
    """

    version: int
    era: int | None = _era()


@dataclass(slots=True, frozen=True)
class Superseded:
    """An in-doubt write can't be settled because of another write.

    Explanation
    ===========

    Another writer has written the object after the in-doubt put was sent. The
    in-doubt put was either not applied, or applied and then replaced. Where
    objects are never replaced (the claims log) it was not applied.
    """

    version: int


@dataclass(slots=True, frozen=True)
class Listing:
    """One page of the objects of a kind, in the order of their names.

    Parameters
    ==========

    objects : tuple of Found
        Objects of the page.
    revision : int
        Revision of the store when the page was read.
    more : bool
        Whether another page follows after the last name of this one.
    """

    objects: tuple[Found, ...]
    revision: int
    more: bool = False
    era: int | None = _era()


@dataclass(slots=True, frozen=True)
class Change:
    """One write that a watch or a list has reported.

    Parameters
    ==========

    kind, name : str
        Identity of the object.
    version : int
        Version of the object after the write. For a deletion inferred from a
        list it is the list's revision, which is no lower.
    value : object
        Decoded JSON; ``None`` when the object was deleted.
    revision : int
        Revision of the store at the write.
    after_return : bool
        Whether it comes from the first list after the store has returned from
        an older copy, so that it may be older than what was known before.
    """

    kind: str
    name: str
    version: int
    value: Any
    revision: int
    after_return: bool = False


@dataclass(slots=True, frozen=True)
class Changes:
    """Response to a watch: the changes up to a revision, possibly none."""

    revision: int
    events: tuple[Change, ...] = ()
    era: int | None = _era()


@dataclass(slots=True, frozen=True)
class Compacted:
    """The watch can't start at its revision; a new list is required."""

    revision: int
    era: int | None = _era()


@dataclass(slots=True, frozen=True)
class NotApplied:
    """The write was not applied and will not be applied later.

    Parameters
    ==========

    step : str
        ``'put'`` or ``'delete'``.
    peer : str
        Address of the store.
    reason : str
        For example ``'refused'``, ``'budget'``, ``'backing-off'``,
        ``'status 413'``.
    retry_after : float or None
        Seconds after which another attempt may succeed.
    """

    step: str
    peer: str
    reason: str
    retry_after: float | None = None
    era: int | None = _era()


@dataclass(slots=True, frozen=True)
class InDoubt:
    """The write may have been applied, or may be applied later."""

    step: str
    peer: str
    reason: str
    era: int | None = _era()


@dataclass(slots=True, frozen=True)
class Unavailable:
    """A read failed; for the fields see :class:`NotApplied`."""

    step: str
    peer: str
    reason: str
    retry_after: float | None = None
    era: int | None = _era()
