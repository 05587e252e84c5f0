"""Which upstreams may take the calls of one stage, by what they state."""

from pollenstile.permission import LIMITED_REASON, RESTING_REASON
from pollenstile.ratelimits import RatedUpstream
from pollenstile.upstream import NotRun


class StagePermissions:
    """Asks a host's permissions for the upstreams of one stage.

    Parameters
    ==========

    permissions : Permissions
        What upstreams state to the host.
    service : str
        Name of the stage's pool.
    pool : Pool
        The pool.
    serves : function
        Takes the name of an upstream; returns whether it serves the stage's
        model.
    """

    __slots__ = ('permissions', 'pool', 'serves', 'service')

    def __init__(self, permissions, service, pool, serves):
        self.permissions = permissions
        self.service = service
        self.pool = pool
        self.serves = serves

    def may_call(self, name):
        """Return whether an upstream may be called now."""
        return self.permissions.block(name) is None

    def note_called(self, name, attempt):
        """Count an attempt, by its identifier, at an upstream."""
        self.permissions.rates.note_sent(self._rated(name), attempt)

    def want_tokens(self, request):
        """Ask for tokens of limited upstreams, for a request and later ones."""
        rates = self.permissions.rates
        if rates.is_idle():
            return
        for name in self._blocks(LIMITED_REASON):
            rates.note_held_back(self._rated(name), request)

    def no_upstream(self):
        """Return the :class:`NotRun` of a stage without an upstream."""
        waits = {}
        limited = self._blocks(LIMITED_REASON)
        if limited:
            rated = [self._rated(name) for name in limited]
            waits[LIMITED_REASON] = self.permissions.rates.seconds_until_token(
                rated
            )
        resting = self._blocks(RESTING_REASON)
        if resting:
            waits[RESTING_REASON] = self._seconds_until_return(resting)
        if not waits:
            return NotRun('no upstream')
        reason = min(waits, key=waits.get)
        return NotRun(reason, waits[reason])

    def _seconds_until_return(self, resting):
        rests = self.permissions.rests
        for name in resting:
            rests.note_held_back(name)
        first = min(block.until for block in resting.values())
        return max(0.0, first - rests.clock.seconds())

    def _blocks(self, reason):
        """Return the upstreams that may not be called for a reason.

        Returns
        =======

        dict
            Their :class:`~pollenstile.permission.Block`, by name.
        """
        blocks = {}
        for name in self.pool.upstreams:
            if not self.serves(name):
                continue
            block = self.permissions.block(name)
            if block is not None and block.reason == reason:
                blocks[name] = block
        return blocks

    def _rated(self, name):
        domain = self.pool.upstreams[name].domain
        return RatedUpstream(name, self.service, domain)
