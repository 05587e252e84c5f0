"""Release of a request's stage results once its upstreams have read them."""

from pollenstile.ops.timers import cancel_timer

# Parts of the expected fetch time in each of which an upstream must be heard.
# One that stands still after the request has reached it fetches nothing.
_PARTS = 2
# Parts after which results are released for want of memory, though nothing
# shows that the upstream lives.
_MAX_PARTS = 8


class ResultReaders:
    """The attempts in flight that read the same stage results.

    Explanation
    ===========

    Several attempts may be in flight beside each other. The results are
    released once one has read them and none is left that has not.

    Parameters
    ==========

    release : function
        Releases the results; may be called more than once.

    Attributes
    ==========

    unread : set of InputRelease
        Those that may not have read the results yet.
    is_read : bool
        Whether one has read them.
    """

    __slots__ = ('is_read', 'release', 'unread')

    def __init__(self, release):
        self.release = release
        self.unread = set()
        self.is_read = False

    def note_read(self, reader):
        """Record that an attempt has read the results."""
        self.is_read = True
        self.note_over(reader)

    def note_over(self, reader):
        """Record that an attempt needs the results no longer."""
        self.unread.discard(reader)
        if self.is_read and not self.unread:
            self.release()


class InputRelease:
    """Tells when the upstream of one attempt has read the stage results.

    Explanation
    ===========

    Before the first event, an upstream counts as having read them after the
    expected fetch time if it was heard in all of that time: one that stands
    still reads nothing, and would find the results gone when it goes on.
    Without other streams of it in flight nothing can be heard; the results are
    then kept until the first event. While their memory is short, they are kept
    for the fetch time without such streams, and else for some times as long.

    Parameters
    ==========

    readers : ResultReaders
        The attempts that read the same results.
    view : UpstreamView
        The upstream.
    is_memory_short : function
        Returns whether the memory for results is short.
    fetch_seconds : float or None
        Seconds in which the upstream fetches the results. None when only the
        first token shows that it has: an upstream with a full batch fetches
        them when it starts the request.
    """

    __slots__ = (
        'clock',
        'due',
        'fetch_seconds',
        'heard_parts',
        'parts',
        'is_memory_short',
        'readers',
        'timer',
        'view',
    )

    def __init__(self, readers, view, is_memory_short, fetch_seconds=None):
        self.readers = readers
        self.view = view
        self.is_memory_short = is_memory_short
        self.fetch_seconds = fetch_seconds
        self.clock = None
        self.timer = None
        self.due = 0.0
        self.heard_parts = 0
        self.parts = 0

    def start(self, clock):
        """Start the timer; called when the request is sent."""
        self.readers.unread.add(self)
        self.clock = clock
        self.due = clock.seconds()
        if self.fetch_seconds is not None:
            self._schedule()

    def release(self):
        """Record that the upstream has read the results."""
        cancel_timer(self.timer)
        self.readers.note_read(self)

    def stop(self):
        """Cancel the timer because the attempt is over."""
        cancel_timer(self.timer)
        self.readers.note_over(self)

    def _schedule(self):
        part_began = self.due
        self.due += self.fetch_seconds / _PARTS
        wait = max(0, self.due - self.clock.seconds())
        self.timer = self.clock.callLater(wait, self._look, part_began)

    def _look(self, part_began):
        self.parts += 1
        is_heard = self.view.heard_at >= part_began
        self.heard_parts = self.heard_parts + 1 if is_heard else 0
        if self.heard_parts >= _PARTS or self._is_memory_needed():
            self.release()
            return
        self._schedule()

    def _is_memory_needed(self):
        """Return whether the results are released by time."""
        limit = _MAX_PARTS if self.view.streams else _PARTS
        return self.parts >= limit and self.is_memory_short()
