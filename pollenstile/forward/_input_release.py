"""Release of a request's stage results once its upstream has read them."""


class InputRelease:
    """Releases stage results after the expected fetch time.

    Parameters
    ==========

    release : function
        Releases the results; may be called more than once.
    fetch_seconds : float or None
        Seconds after the send at which the upstream has fetched the results.
        None when only the first token shows that it has: an upstream with a
        full batch fetches them when it starts the request.
    """

    __slots__ = ('fetch_seconds', 'release', 'timer')

    def __init__(self, release, fetch_seconds=None):
        self.release = release
        self.fetch_seconds = fetch_seconds
        self.timer = None

    def start(self, clock):
        """Start the timer; called when the request is sent."""
        if self.fetch_seconds is not None:
            self.timer = clock.callLater(self.fetch_seconds, self.release)

    def stop(self):
        """Cancel the timer because the attempt is over."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
