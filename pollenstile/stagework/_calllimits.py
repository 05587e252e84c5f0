"""Calls that a queue may make to its workers, by what these state."""

import itertools

from pollenstile.permission import LIMITED_REASON
from pollenstile.ratelimits import RatedUpstream


class CallLimits:
    """Asks a host's permissions for the workers of one stage service.

    Parameters
    ==========

    service : str
        The stage service.
    permissions : Permissions or None
        What upstreams state to the host; None for a queue without limits.
    """

    __slots__ = ('numbers', 'permissions', 'service')

    def __init__(self, service, permissions=None):
        self.service = service
        self.permissions = permissions
        self.numbers = itertools.count()

    def update(self, workers):
        """Set what workers accept: calls a second, and from when on."""
        if self.permissions is None:
            return
        rates = self.permissions.rates.stated
        for worker in workers:
            name = worker.incarnation
            worker.call_rate = rates.rate(name)
            worker.asked_until = self.permissions.rests.until(name)

    def may_call(self, worker):
        """Return whether a worker may be called; ask for tokens if it has none.

        Explanation
        ===========

        One identifier stands for all pieces, as the next call takes one token.
        """
        if self.permissions is None:
            return True
        block = self.permissions.block(worker.incarnation)
        if block is None:
            return True
        if block.reason == LIMITED_REASON:
            upstream = self._upstream(worker)
            self.permissions.rates.note_held_back(upstream, self.service)
        return False

    def note_called(self, worker):
        """Count a call to a worker."""
        if self.permissions is not None:
            call = f'{self.service}/{next(self.numbers)}'
            self.permissions.rates.note_sent(self._upstream(worker), call)

    def _upstream(self, worker):
        return RatedUpstream(worker.incarnation, self.service, worker.domain)
