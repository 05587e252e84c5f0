"""Shared state of one entry host."""

import itertools

from twisted.internet.defer import Deferred, succeed

from pollenstile.ops.usage import process_usage
from pollenstile.outcomes import Refused

_UNAVAILABLE = 503


class Node:
    """State that the HTTP resources of a host share.

    Parameters
    ==========

    core : Core
        Components that requests use.
    in_force : InForce
        The configuration in use.
    metrics : Metrics
        Counters and timings of the host.
    boot : str
        Identifier of this start, so that request identifiers never repeat.

    Attributes
    ==========

    claims : Claims or None
        Runs requests with an idempotency key at most once.
    placement : Placement or None
        Sends orders to engines, and tracks which model each one serves.
    in_flight : int
        Number of running requests.
    leaving : bool
        Whether the host is shutting down.
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
        """Return a request identifier, unique across hosts and restarts."""
        return f'{self.core.host}-{self.boot}-{next(self.numbers)}'

    def refusal(self):
        """Return a refusal if the host accepts no requests now, or None."""
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
        """Count a request as in flight until it ends."""
        self.in_flight += 1
        running.addBoth(self._on_request_end)

    def when_idle(self):
        """Return a Deferred that fires when no request is in flight."""
        if not self.in_flight:
            return succeed(None)
        waiter = Deferred()
        self.idle_waiters.append(waiter)
        return waiter

    def status(self):
        """Return the status document for operators."""
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

    def _on_request_end(self, result):
        self.in_flight -= 1
        if not self.in_flight:
            waiters = self.idle_waiters
            self.idle_waiters = []
            for waiter in waiters:
                waiter.callback(None)
        return result
