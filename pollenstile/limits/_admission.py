"""Whether a request may start."""

from pollenstile.outcomes import Refused

_TOO_BUSY = 503
_MS = 1000


class Admission:
    """Requests that run now, and the bound on them.

    Parameters
    ==========

    clock : IReactorTime
        For what is left of deadlines.
    tracker : Tracker
        Measured times of stages.
    most : int
        Requests that may run side by side.
    """

    __slots__ = ('clock', 'most', 'running', 'tracker')

    def __init__(self, clock, tracker, most=2000):
        self.clock = clock
        self.tracker = tracker
        self.most = most
        self.running = 0

    async def entered(self, request):
        """Return None when a request may start, or a refusal.

        Explanation
        ===========

        A request that can't meet its deadline is refused before anything of
        it is sent, so that *not run* is true. Whoever gets None calls
        :meth:`leave` once.
        """
        if self.running >= self.most:
            return Refused(_TOO_BUSY, 'too busy', retry_after=1)
        needed = expected_total(request, self.tracker)
        if self.clock.seconds() + needed > request.deadline:
            return Refused(
                _TOO_BUSY,
                'the deadline can not be met now',
                retry_after=max(1, needed),
            )
        self.running += 1
        return None

    def leave(self, request):
        """Note that an admitted request has ended."""
        self.running -= 1


def expected_total(request, tracker):
    """Return the usual time of a whole request, in seconds."""
    total = 0
    for stage in request.pipeline.stages:
        total += expected_time(request.name, stage, tracker)
    return total


def expected_time(pipeline, stage, tracker):
    """Return the usual time of a stage, in seconds."""
    declared = stage.expect_ms / _MS
    return tracker.quantile((pipeline, stage.name), 50, declared)
