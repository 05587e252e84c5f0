"""Calls that a queue may make to workers that limit their request rates."""

import itertools

from pollenstile.ratelimits import RatedUpstream


class CallLimits:
    """Asks a host's rate limits for the workers of one stage service.

    Parameters
    ==========

    service : str
        The stage service.
    rates : RateLimits or None
        Rate limits of the host; None for a queue without limits.
    """

    __slots__ = ('numbers', 'rates', 'service')

    def __init__(self, service, rates=None):
        self.service = service
        self.rates = rates
        self.numbers = itertools.count()

    def update(self, workers):
        """Set the calls a second that workers accept from all hosts."""
        if self.rates is None:
            return
        for worker in workers:
            worker.call_rate = self.rates.stated.rate(worker.incarnation)

    def may_call(self, worker):
        """Return whether a worker may be called now; ask for it if not."""
        if self.rates is None or self.rates.may_send(worker.incarnation):
            return True
        # One identifier for all pieces, as the next call takes one token.
        self.rates.note_held_back(self._upstream(worker), self.service)
        return False

    def note_called(self, worker):
        """Count a call to a worker."""
        if self.rates is not None:
            call = f'{self.service}/{next(self.numbers)}'
            self.rates.note_sent(self._upstream(worker), call)

    def _upstream(self, worker):
        return RatedUpstream(worker.incarnation, self.service, worker.domain)
