"""Streams whose software version a host knows."""

from dataclasses import dataclass
from itertools import islice

from pollenstile.ops.logs import silent_log
from pollenstile.origins import events

# Bound of the memory for streams: about 10 MB.
_MAX_ORIGINS = 50_000


@dataclass(slots=True, frozen=True)
class Origin:
    """Where a stream began.

    Parameters
    ==========

    software : str
        Software version of the upstream that made its first event.
    service : str
        Its service; empty if a peer told of the stream.
    expires_at : float
        Time on the clock after which its caller does not take it up any more.
    """

    software: str
    service: str
    expires_at: float

    @property
    def is_own(self):
        """Whether this host passed on events of the stream."""
        return bool(self.service)


class OriginTable:
    """Streams by key.

    Parameters
    ==========

    clock : IReactorTime
        Provides the time.
    log : function
        Writes events.

    Attributes
    ==========

    by_key : dict
        :class:`Origin` of each stream, oldest first.
    """

    __slots__ = ('by_key', 'clock', 'log')

    def __init__(self, clock, log=silent_log):
        self.clock = clock
        self.log = log
        self.by_key = {}

    def add(self, key, origin):
        """Add a stream; return whether this is news.

        Explanation
        ===========

        The first version that is known of a stream stays: a second one would
        mean that events of both have been joined.
        """
        known = self.by_key.get(key)
        if known is None:
            self.by_key[key] = origin
            return True
        if known.software != origin.software:
            self.log(
                events.ORIGIN_CONFLICT,
                level='warning',
                key=key.hex(),
                software=known.software,
                other=origin.software,
            )
            return False
        if known.is_own or not origin.is_own:
            return False
        self.by_key[key] = origin
        return True

    def software(self, key):
        """Return the version at which a stream began, or None."""
        origin = self.by_key.get(key)
        return origin.software if origin else None

    def own(self, is_wanted):
        """Return the streams of this host, by key.

        Parameters
        ==========

        is_wanted : function
            Takes a service; returns whether its streams are wanted.
        """
        return {
            key: origin
            for key, origin in self.by_key.items()
            if origin.is_own and is_wanted(origin.service)
        }

    def forget_old(self):
        """Drop the streams that their callers don't take up any more."""
        now = self.clock.seconds()
        expired = [
            key
            for key, origin in self.by_key.items()
            if origin.expires_at <= now
        ]
        excess = max(0, len(self.by_key) - len(expired) - _MAX_ORIGINS)
        for key in expired:
            self.by_key.pop(key)
        for key in list(islice(self.by_key, excess)):
            self.by_key.pop(key)
        if excess:
            self.log(events.ORIGINS_DROPPED, level='warning', count=excess)
