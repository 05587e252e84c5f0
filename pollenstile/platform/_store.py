"""Interface of the object store."""

from typing import Protocol

VALUE_LIMIT = 1_000_000
PAGE_LIMIT = 500
POLL_SECONDS = 30.0


class Store(Protocol):
    """Operations of the platform's object API.

    Explanation
    ===========

    :class:`~pollenstile.platform.HttpStore` implements it over HTTP,
    :class:`~pollenstile.standin.objectapi.MemoryStore` in memory, and
    :class:`~pollenstile.platform.PacedStore` wraps either. Failures are
    returned as outcome types and never raised. A value is a JSON document of
    at most ``VALUE_LIMIT`` encoded bytes and not ``None``.
    """

    def is_answering(self):
        """Return whether a response body is being received."""

    async def get(self, kind, name):
        """Return ``Found``, ``Absent`` or ``Unavailable``."""

    async def put(self, kind, name, value, if_version=None):
        """Write a value.

        Parameters
        ==========

        if_version : int or None
            Version that the object must have; 0 requires that the object is
            absent, ``None`` writes unconditionally.

        Returns
        =======

        Written, Conflict, NotApplied or InDoubt
        """

    async def delete(self, kind, name, if_version=None):
        """Delete an object; the outcomes are those of ``put``.

        An unconditional delete of an absent object returns ``Written(0)``.
        """

    async def listed(self, kind, prefix='', after='', limit=PAGE_LIMIT):
        """Return ``Listing`` or ``Unavailable``.

        A page holds objects whose names sort after ``after``: at most ``limit``
        objects and about ``VALUE_LIMIT`` bytes of values, but at least one.
        """

    async def watched(self, kind, since, prefix='', timeout=POLL_SECONDS):
        """Wait up to ``timeout`` seconds for changes after a revision.

        Returns
        =======

        Changes, Compacted or Unavailable
            ``Changes`` without events if nothing changed in that time.
        """
