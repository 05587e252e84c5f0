"""The interface of the object store."""

from typing import Protocol

VALUE_LIMIT = 1_000_000
PAGE_LIMIT = 500
POLL_SECONDS = 30.0


class Store(Protocol):
    """What the rest of the system asks of the platform's object API.

    Explanation
    ===========

    Implemented over HTTP by :class:`~pollenstile.platform.HttpStore`, in
    memory by :class:`~pollenstile.standin.objectapi.MemoryStore`, and by
    :class:`~pollenstile.platform.PacedStore`, which wraps either. A failure
    is returned as a tagged outcome, never raised. Values are what JSON can
    say, at most ``VALUE_LIMIT`` bytes encoded, and not ``None``.
    """

    def is_answering(self):
        """Return whether an answer has begun to come in and has not ended."""

    async def get(self, kind, name):
        """Return ``Found``, ``Absent`` or ``Unavailable``."""

    async def put(self, kind, name, value, if_version=None):
        """Write a value.

        Parameters
        ==========

        if_version : int or None
            Only over this version; 0 creates, if the object is absent;
            ``None`` always writes.

        Returns
        =======

        Written, Conflict, NotApplied or InDoubt
        """

    async def delete(self, kind, name, if_version=None):
        """Delete an object; outcomes as of ``put``.

        ``Written(0)`` answers an unconditional delete of an absent object.
        """

    async def listed(self, kind, prefix='', after='', limit=PAGE_LIMIT):
        """Return ``Listing`` or ``Unavailable``.

        A page holds names that sort after ``after``, at most ``limit`` and
        about ``VALUE_LIMIT`` bytes of values, but at least one.
        """

    async def watched(self, kind, since, prefix='', timeout=POLL_SECONDS):
        """Wait for changes after a revision, for ``timeout`` seconds.

        Returns
        =======

        Changes, Compacted or Unavailable
            ``Changes`` without events when nothing changed in that time.
        """
