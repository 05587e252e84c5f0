"""Estimated time until model engines have fetched their stage results."""

# Seconds without the transfer itself: a handshake, the trip of the request, and
# the engine's calls to the upstreams that hold the results, across failure
# domains.
_BASE_SECONDS = 0.05
# Multiple of the bare transfer time for which results are kept, because links
# carry the results of several requests at once.
_LINK_FACTOR = 4.0
# Maximum number of doublings after failed fetches, and the fraction of a
# doubling that each successful fetch removes.
_MAX_DOUBLINGS = 6
_DOUBLING_DECAY = 0.02


class Fetching:
    """Time after which an engine has fetched the results of a request.

    Explanation
    ===========

    Results occupy result memory until they are released. When they were kept
    until the engine's first token, they stayed 0.25 s and more after the fetch,
    half as long again as the call that made them. They are instead released as
    soon as the fetch must be over, so that the memory serves more requests. An
    engine that fetches too late reports this and has run nothing; the estimate
    is then doubled at once, and reduced slowly by successful fetches.

    Examples
    ========

    >>> from pollenstile.estimates import Fetching
    >>> fetching = Fetching()
    >>> round(fetching.seconds('model', 9_000_000, 1.25e9), 3)
    0.079
    >>> fetching.note_failed_fetch('model')
    >>> round(fetching.seconds('model', 9_000_000, 1.25e9), 3)
    0.158
    """

    __slots__ = ('doublings',)

    def __init__(self):
        self.doublings = {}

    def seconds(self, service, size, link):
        """Return the seconds after the send when results may be released.

        Parameters
        ==========

        size : int
            Total bytes of the results.
        link : float
            Bytes per second of the link of one upstream that holds results.
        """
        base = _BASE_SECONDS + _LINK_FACTOR * size / link
        return base * 2 ** self.doublings.get(service, 0.0)

    def note_failed_fetch(self, service):
        """Record that an engine tried to fetch results after their release."""
        doublings = self.doublings.get(service, 0.0)
        self.doublings[service] = min(_MAX_DOUBLINGS, doublings + 1)

    def note_fetched(self, service):
        """Record that an engine has fetched its results."""
        doublings = self.doublings.get(service, 0.0)
        self.doublings[service] = max(0.0, doublings - _DOUBLING_DECAY)
