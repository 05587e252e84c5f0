"""How long model engines take to fetch the stage results they need."""

# Seconds of a call that carries no results: a handshake, the request's own
# trip, and the engine's calls to the makers, across failure domains.
_LEAST_SECONDS = 0.05
# Times the bare transfer for which results are kept: links carry the results
# of several requests at once.
_LINK_FACTOR = 4.0
# Doublings of the time after results that were gone, and how much of one an
# answer without such takes back.
_MOST_DOUBLINGS = 6
_TAKEN_BACK = 0.02


class Fetching:
    """When an engine that was sent a request has fetched its results.

    Explanation
    ===========

    Results keep their room until the engine has them. Until its first token
    they were kept for 0.25 s and more after that, half as long again as the
    call that made them; released when the fetch is surely over, the room
    serves more requests. An engine that comes too late says so and has run
    nothing; the time is then doubled at once and shortened slowly.

    Examples
    ========

    >>> from pollenstile.estimates import Fetching
    >>> fetching = Fetching()
    >>> round(fetching.seconds('model', 9_000_000, 1.25e9), 3)
    0.079
    >>> fetching.note_gone('model')
    >>> round(fetching.seconds('model', 9_000_000, 1.25e9), 3)
    0.158
    """

    __slots__ = ('doublings',)

    def __init__(self):
        self.doublings = {}

    def seconds(self, service, size, link):
        """Return seconds after the send at which results may be released.

        Parameters
        ==========

        size : int
            Bytes of all results.
        link : float
            Bytes a second of one maker's link.
        """
        least = _LEAST_SECONDS + _LINK_FACTOR * size / link
        return least * 2 ** self.doublings.get(service, 0.0)

    def note_failed_fetch(self, service):
        """Note that an engine came for results that were released."""
        doublings = self.doublings.get(service, 0.0)
        self.doublings[service] = min(_MOST_DOUBLINGS, doublings + 1)

    def note_fetched(self, service):
        """Note that an engine has read its results."""
        doublings = self.doublings.get(service, 0.0)
        self.doublings[service] = max(0.0, doublings - _TAKEN_BACK)
