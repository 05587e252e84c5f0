"""Periodic tasks of placement in one entry host."""

from twisted.internet.defer import Deferred, gatherResults
from twisted.internet.task import LoopingCall

from pollenstile.placement import events
from pollenstile.placement._leasemanager import lease_tick, release_lease
from pollenstile.placement._placer import placer_round
from pollenstile.placement._records import PLACEMENTS
from pollenstile.platform import watch

LEASE_PERIOD = 1.0
ROUND_PERIOD = 1.0
DEMAND_PERIOD = 15.0


class Placement:
    """Lease, placement and demand loops of one host.

    Parameters
    ==========

    placer : Placer
        Acts while the host holds the lease of its domain.
    holds : ServingIndex
        Follows the placement records of all domains.
    demand : DemandCounter
        Demand that this host counts.
    board : DemandExchange
        Publishes the demand of this host and reads that of the others.
    """

    __slots__ = ('board', 'demand', 'holds', 'loops', 'placer', 'watch')

    def __init__(self, placer, holds, demand, board):
        self.placer = placer
        self.holds = holds
        self.demand = demand
        self.board = board
        self.loops = []
        self.watch = None

    def start(self):
        """Start the watch of the records and all loops."""
        placer = self.placer
        self.watch = watch(
            placer.store,
            PLACEMENTS,
            self.holds.apply_change,
            placer.clock,
            placer.random,
            placer.log,
        )
        self._run_every(LEASE_PERIOD, self._lease)
        self._run_every(ROUND_PERIOD, self._round)
        self._run_every(DEMAND_PERIOD, self._exchange_demand)

    def in_force(self, snapshot):
        """Use the manifest of a configuration snapshot from now on."""
        self.placer.manifest = snapshot.manifest

    async def leave(self):
        """Send no more orders and release the lease.

        Explanation
        ===========

        Running loops are waited for. Otherwise a lease whose acquisition is
        in progress would be held after the release, and an order could
        follow. The watch of the records goes on, for requests that are still
        in flight.
        """
        for loop, _ended in self.loops:
            loop.stop()
        await gatherResults([ended for _loop, ended in self.loops])
        await release_lease(self.placer.lease_manager)

    def stop(self):
        """Stop the watch of the records."""
        if self.watch is not None:
            self.watch.stop()

    def _run_every(self, period, work):
        loop = LoopingCall(lambda: self._guarded(work()))
        loop.clock = self.placer.clock
        self.loops.append((loop, loop.start(period)))

    def _guarded(self, work):
        running = Deferred.fromCoroutine(work)
        # An error in one round must not end the loop. Otherwise the host
        # would keep its lease and never place again.
        running.addErrback(self._log_failure)
        return running

    def _log_failure(self, failure):
        self.placer.log(
            events.ROUND_FAILED,
            level='error',
            error=repr(failure.value),
        )

    def _lease(self):
        return lease_tick(self.placer.lease_manager)

    def _round(self):
        return placer_round(self.placer)

    async def _exchange_demand(self):
        await self.board.publish(self.demand.end_interval(DEMAND_PERIOD))
        if not self.placer.lease_manager.holds():
            return
        total = await self.board.read()
        if total is not None:
            self.placer.demand = total
