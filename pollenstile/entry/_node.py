"""Shared state of one entry host."""

import itertools

from twisted.internet.defer import Deferred, succeed

from pollenstile.entry import events
from pollenstile.ops.usage import process_usage
from pollenstile.outcomes import Refused

_UNAVAILABLE = 503


def _never_begins():
    """Return False: the answer is sent as a whole."""
    return False


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
    running : dict
        Maps the Deferred of each running request to a function that returns
        whether its answer has begun, in the order of their arrival.
    leaving : bool
        Whether the host is shutting down.
    """

    __slots__ = (
        'boot',
        'claims',
        'core',
        'idle_waiters',
        'in_force',
        'leaving',
        'metrics',
        'numbers',
        'placement',
        'running',
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
        self.running = {}
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

    @property
    def in_flight(self):
        """Number of running requests."""
        return len(self.running)

    def track(self, running, has_begun=_never_begins):
        """Count a request as in flight until it ends.

        Parameters
        ==========

        running : Deferred
            Fires with its outcome; ends the request when it is cancelled.
        has_begun : function
            Returns whether its answer has begun.
        """
        self.running[running] = has_begun
        running.addBoth(self._on_request_end, running)

    def leave(self, ends_at):
        """Refuse new requests, and those that can't be done in time.

        Parameters
        ==========

        ends_at : float
            Time on the clock at which the remaining requests are ended.
        """
        self.leaving = True
        self.core.departure.ends_at = ends_at
        self.core.admission.leave(ends_at)
        self.core.rates.leave()

    def end_requests(self, *, begun):
        """End requests in flight, each with its truthful outcome.

        Parameters
        ==========

        begun : bool
            Whether those whose answers have begun are ended as well.

        Returns
        =======

        int
            The number of requests that were ended.
        """
        self.core.departure.is_over = True
        ended = 0
        # A request that waits for another one's outcome arrived after it.
        for running, has_begun in list(self.running.items()):
            if running not in self.running:
                continue
            if begun or not self._has_begun(has_begun):
                ended += 1
                running.cancel()
        return ended

    def _has_begun(self, has_begun):
        """Return whether an answer has begun; True if that is unclear."""
        try:
            return has_begun()
        except Exception as error:
            # A failure here must not leave the requests behind it without a
            # status.
            self.core.log(
                events.CRASHED, level='error', error=repr(error), step='grace'
            )
            return True

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

    def _on_request_end(self, result, running):
        self.running.pop(running, None)
        if not self.in_flight:
            waiters = self.idle_waiters
            self.idle_waiters = []
            for waiter in waiters:
                waiter.callback(None)
        return result
