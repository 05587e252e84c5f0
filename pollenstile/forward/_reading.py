"""When the results that an upstream reads may be released."""


class Reading:
    """When the stage results of a request may be released.

    Parameters
    ==========

    release : function
        Releases them; may be called again.
    fetched_in : float or None
        Seconds after the send at which the upstream has fetched them; None
        when that is known by its first token only: one whose batch is full
        fetches them when the request's turn comes.
    """

    __slots__ = ('fetched_in', 'release', 'timer')

    def __init__(self, release, fetched_in=None):
        self.release = release
        self.fetched_in = fetched_in
        self.timer = None

    def begin(self, clock):
        """Count from the send."""
        if self.fetched_in is not None:
            self.timer = clock.callLater(self.fetched_in, self.release)

    def stop(self):
        """Release nothing any more: the attempt is over."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
