"""Eras of a store, which rise when it comes back from an older copy."""

from dataclasses import replace

from pollenstile.ops.logs import silent_log
from pollenstile.platform._outcome import (
    Absent,
    Changes,
    Compacted,
    Conflict,
    Found,
    InDoubt,
    Listing,
    NotApplied,
    Unavailable,
    Written,
)
from pollenstile.platform._positions import era_of, position, revision_of
from pollenstile.platform.events import STORE_ERA_FELL, STORE_RETURNED

# Digits of an era beyond which a header is taken for garbled: an era and a
# revision together must fit into a number of 64 bits.
_MAX_DIGITS = 6
_EARLIER_ERA = 'earlier era'
_PEER = 'object API'


def parse_era(text):
    """Return the era that a header states; None if it is missing or garbled.

    Examples
    ========

    >>> from pollenstile.platform import parse_era
    >>> parse_era('3'), parse_era(''), parse_era('-1'), parse_era('3.5')
    (3, None, None, None)
    """
    is_number = text.isascii() and text.isdigit()
    return int(text) if is_number and len(text) <= _MAX_DIGITS else None


class StoreEra:
    """The era of the store, as the answers to this host state it.

    Explanation
    ===========

    The store states in each answer how often it has come back from an older
    copy. Answers may arrive out of order, so a lower era than the known one
    belongs to an answer from before the return.

    Parameters
    ==========

    log : function
        Writes events.

    Attributes
    ==========

    number : int
        The highest era that was stated; 0 before any.
    known : bool
        Whether any answer has stated an era.
    listeners : list of function
        Called without arguments after each return of the store.
    on_first : function
        Called without arguments at the first answer with an era above 0: the
        store may have returned just before.
    """

    __slots__ = (
        'known',
        'listeners',
        'log',
        'number',
        'on_first',
    )

    def __init__(self, log=silent_log):
        self.log = log
        self.number = 0
        self.known = False
        self.listeners = []
        self.on_first = _ignore

    def stated(self):
        """Return the known era, or None if no answer has stated one."""
        return self.number if self.known else None

    def note(self, number):
        """Record the era of an answer; return whether it is the known one.

        Parameters
        ==========

        number : int or None
            The stated era; an answer without one counts as of the known era.
        """
        if number is None or self.known and number == self.number:
            return True
        if self.known and number < self.number:
            self.log(
                STORE_ERA_FELL, level='warning', era=number, known=self.number
            )
            return False
        self._enter(number)
        return True

    def _enter(self, number):
        previous = self.number
        was_known = self.known
        self.number = number
        self.known = True
        if not was_known:
            if number:
                self.on_first()
            return
        self.log(STORE_RETURNED, level='warning', era=number, previous=previous)
        for listener in self.listeners:
            listener()


class EraStore:
    """Store client whose versions and revisions are positions.

    Explanation
    ===========

    See :mod:`pollenstile.platform._positions`. A watch from an earlier era is
    answered with ``Compacted``, and a write on the condition of a version from
    an earlier era with ``Conflict``: the store may have given that revision to
    another content.

    Parameters
    ==========

    store : Store
        The wrapped store, whose outcomes have revisions and the stated era.
    eras : StoreEra
        Records the eras.
    """

    __slots__ = ('eras', 'store')

    def __init__(self, store, eras):
        self.store = store
        self.eras = eras

    def is_answering(self):
        """Return whether a response body is being received."""
        return self.store.is_answering()

    async def get(self, kind, name):
        """See :class:`~pollenstile.platform.Store`."""
        return self._read('get', await self.store.get(kind, name))

    async def put(self, kind, name, value, if_version=None):
        """See :class:`~pollenstile.platform.Store`."""
        if self._is_of_other_era(if_version):
            return Conflict(0)
        condition = _revision_or_none(if_version)
        outcome = await self.store.put(kind, name, value, condition)
        return self._written('put', outcome, if_version)

    async def delete(self, kind, name, if_version=None):
        """See :class:`~pollenstile.platform.Store`."""
        if self._is_of_other_era(if_version):
            return Conflict(0)
        condition = _revision_or_none(if_version)
        outcome = await self.store.delete(kind, name, condition)
        return self._written('delete', outcome, if_version)

    async def listed(self, *arguments, **options):
        """See :class:`~pollenstile.platform.Store`."""
        outcome = await self.store.listed(*arguments, **options)
        return self._read('list', outcome)

    async def watched(self, kind, since, *arguments, **options):
        """See :class:`~pollenstile.platform.Store`."""
        if self._is_of_other_era(since):
            return Compacted(position(self.eras.number, 0))
        outcome = await self.store.watched(
            kind, revision_of(since), *arguments, **options
        )
        outcome = self._read('watch', outcome)
        if isinstance(outcome, Changes) and self._is_of_other_era(since):
            # The store has counted its changes from another history.
            return Compacted(outcome.revision)
        return outcome

    def _is_of_other_era(self, place):
        return bool(place) and era_of(place) != self.eras.number

    def _read(self, step, outcome):
        if not self.eras.note(outcome.era):
            return Unavailable(step, _PEER, _EARLIER_ERA)
        return _placed(outcome, self.eras.number)

    def _written(self, step, outcome, if_version):
        if not self.eras.note(outcome.era):
            # Whether the store still has the write is not known.
            is_lost = isinstance(outcome, NotApplied)
            return outcome if is_lost else InDoubt(step, _PEER, _EARLIER_ERA)
        placed = _placed(outcome, self.eras.number)
        if isinstance(placed, Written) and self._is_of_other_era(if_version):
            # The write has replaced another content, whose revision is that of
            # the condition. The caller has to read the object.
            return Conflict(placed.version)
        return placed


def _ignore():
    """Ignore the first era."""


def _revision_or_none(place):
    return None if place is None else revision_of(place)


def _placed(outcome, era):
    """Return an outcome with positions in place of revisions."""
    if era == 0:
        return outcome
    if isinstance(outcome, (Found, Written, Conflict, Absent)):
        return replace(outcome, version=position(era, outcome.version))
    if isinstance(outcome, Listing):
        objects = tuple(_placed(found, era) for found in outcome.objects)
        revision = position(era, outcome.revision)
        return replace(outcome, objects=objects, revision=revision)
    if isinstance(outcome, Changes):
        events = tuple(_placed_change(event, era) for event in outcome.events)
        revision = position(era, outcome.revision)
        return replace(outcome, events=events, revision=revision)
    if isinstance(outcome, Compacted):
        return replace(outcome, revision=position(era, outcome.revision))
    return outcome


def _placed_change(change, era):
    return replace(
        change,
        version=position(era, change.version),
        revision=position(era, change.revision),
    )
