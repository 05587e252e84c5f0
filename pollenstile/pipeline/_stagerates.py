"""Rates of the upstreams that may take the calls of one stage."""

from pollenstile.ratelimits import RatedUpstream
from pollenstile.upstream import NotRun


class StageRates:
    """Limits the calls of one stage to upstreams that state a request rate.

    Parameters
    ==========

    limits : RateLimits
        Rate limits of the host.
    service : str
        Name of the stage's pool.
    pool : Pool
        The pool.
    serves : function
        Takes the name of an upstream; returns whether it serves the stage's
        model.
    """

    __slots__ = ('limits', 'pool', 'serves', 'service')

    def __init__(self, limits, service, pool, serves):
        self.limits = limits
        self.service = service
        self.pool = pool
        self.serves = serves

    def may_call(self, name):
        """Return whether an upstream's rate permits a call now."""
        return self.limits.may_send(name)

    def note_called(self, name, attempt):
        """Count an attempt, by its identifier, at an upstream."""
        self.limits.note_sent(self._rated(name), attempt)

    def want_tokens(self, request):
        """Ask for tokens of limited upstreams, for a request and later ones."""
        if self.limits.is_idle():
            return
        for upstream in self._without_token():
            self.limits.note_held_back(upstream, request)

    def no_upstream(self):
        """Return the :class:`NotRun` of a stage without an upstream."""
        limited = self._without_token()
        if not limited:
            return NotRun('no upstream')
        return NotRun('limited', self.limits.seconds_until_token(limited))

    def _without_token(self):
        return [
            self._rated(name)
            for name in self.pool.upstreams
            if self.serves(name) and not self.may_call(name)
        ]

    def _rated(self, name):
        domain = self.pool.upstreams[name].domain
        return RatedUpstream(name, self.service, domain)
