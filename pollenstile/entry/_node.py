"""One entry host's shared state."""

import itertools

from twisted.internet.defer import Deferred, succeed

from pollenstile.ops.usage import process_usage
from pollenstile.outcomes import Refused

_UNAVAILABLE = 503


class Node:
    """What the faces of a host share.

    Parameters
    ==========

    core : Core
        What requests depend on.
    in_force : InForce
        The configuration.
    boot : str
        Differs with every start, so that identifiers never repeat.

    Attributes
    ==========

    claims : Claims or None
        What requests with a key are run through.
    placement : Placement or None
        Orders engines, and knows which model each one holds.
    """

    __slots__ = (
        'boot',
        'claims',
        'core',
        'idle_waiters',
        'in_flight',
        'in_force',
        'leaving',
        'metrics',
        'numbers',
        'placement',
    )

    def __init__(self, core, in_force, metrics, boot):
        self.core = core
        self.in_force = in_force
        self.metrics = metrics
        self.boot = boot
        self.claims = None
        self.placement = None
        self.numbers = itertools.count(1)
        self.leaving = False
        self.in_flight = 0
        self.idle_waiters = []

    def next_ident(self):
        """Return a request identifier, unique over hosts and restarts."""
        return f'{self.core.host}-{self.boot}-{next(self.numbers)}'

    def refusal(self):
        """Return why no request is taken now, or None."""
        if self.leaving:
            return Refused(
                _UNAVAILABLE,
                'this host is leaving',
                retry_after=1,
            )
        if self.in_force.snapshot is None:
            return Refused(
                _UNAVAILABLE,
                'no configuration yet',
                retry_after=1,
            )
        return None

    def track(self, running):
        """Count a running request until it ends."""
        self.in_flight += 1
        running.addBoth(self._ended)

    def when_idle(self):
        """Return a Deferred that fires when nothing is in flight."""
        if not self.in_flight:
            return succeed(None)
        waiter = Deferred()
        self.idle_waiters.append(waiter)
        return waiter

    def status(self):
        """Return what operators ask for, as a document."""
        snapshot = self.in_force.snapshot
        return {
            'host': self.core.host,
            'domain': self.core.domain,
            'version': snapshot.version if snapshot else 0,
            'digest': snapshot.digest if snapshot else '',
            'leaving': self.leaving,
            'in_flight': self.in_flight,
            'broken_invariants': len(self.core.ledger.broken),
            'totals': self.metrics.all_totals(),
            'cost': self.core.costs.document(),
            'wasted_share': round(self.core.costs.wasted_share(), 4),
            'usage': process_usage(),
        }

    def _ended(self, result):
        self.in_flight -= 1
        if not self.in_flight:
            waiters = self.idle_waiters
            self.idle_waiters = []
            for waiter in waiters:
                waiter.callback(None)
        return result
