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
            name = self._upstream(worker).name
            worker.call_rate = self.rates.stated.rate(name)

    def may_call(self, worker):
        """Return whether a worker may be called now; ask for it if not."""
        if self.rates is None:
            return True
        upstream = self._upstream(worker)
        if self.rates.may_send(upstream):
            return True
        self.rates.note_held_back(upstream, self._held_back())
        return False

    def note_called(self, worker):
        """Count a call to a worker."""
        if self.rates is not None:
            call = f'{self.service}/{next(self.numbers)}'
            self.rates.note_sent(self._upstream(worker), call)

    def _held_back(self):
        """Return one identifier for all calls that wait for the worker.

        Explanation
        ===========

        A queue tries a worker with each piece that comes, and needs one token
        for the next call.
        """
        return self.service

    def _upstream(self, worker):
        name = f'{worker.ident}/{worker.born}'
        return RatedUpstream(name, self.service, worker.domain)
