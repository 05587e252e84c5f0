"""Eras of a store, which rise when it comes back from an older copy."""

from pollenstile.ops.logs import silent_log
from pollenstile.platform.events import STORE_ERA_FELL, STORE_RETURNED

# Digits of an era beyond which a header is taken for garbled: an era and a
# revision together must fit into a number of 64 bits.
_MAX_DIGITS = 6
_MS = 1000


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

    clock : IReactorTime
        Seconds.
    log : function
        Writes events.

    Attributes
    ==========

    number : int
        The highest era that was stated; 0 before any.
    known : bool
        Whether any answer has stated an era.
    heard_at : float
        Time on the clock at which this era was first stated.
    listeners : list of function
        Called without arguments after each return of the store.
    """

    __slots__ = ('clock', 'heard_at', 'known', 'listeners', 'log', 'number')

    def __init__(self, clock, log=silent_log):
        self.clock = clock
        self.log = log
        self.number = 0
        self.known = False
        self.heard_at = 0.0
        self.listeners = []

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
        self.heard_at = self.clock.seconds()
        if not was_known:
            return
        self.log(STORE_RETURNED, level='warning', era=number, previous=previous)
        for listener in self.listeners:
            listener()


class EraStore:
    """Wrap a store and record the era that its answers state.

    Parameters
    ==========

    store : Store
        The wrapped store.
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
        return self._noted(await self.store.get(kind, name))

    async def put(self, kind, name, value, if_version=None):
        """See :class:`~pollenstile.platform.Store`."""
        return self._noted(await self.store.put(kind, name, value, if_version))

    async def delete(self, kind, name, if_version=None):
        """See :class:`~pollenstile.platform.Store`."""
        return self._noted(await self.store.delete(kind, name, if_version))

    async def listed(self, *arguments, **options):
        """See :class:`~pollenstile.platform.Store`."""
        return self._noted(await self.store.listed(*arguments, **options))

    async def watched(self, *arguments, **options):
        """See :class:`~pollenstile.platform.Store`."""
        return self._noted(await self.store.watched(*arguments, **options))

    def _noted(self, outcome):
        self.eras.note(outcome.era)
        return outcome
