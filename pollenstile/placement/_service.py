"""Placement as one entry host runs it."""

from twisted.internet.defer import Deferred, gatherResults
from twisted.internet.task import LoopingCall

from pollenstile.placement import events
from pollenstile.placement._keeper import lease_tick, released
from pollenstile.placement._placer import placer_round
from pollenstile.placement._records import PLACEMENTS
from pollenstile.platform import watch

LEASE_PERIOD = 1.0
ROUND_PERIOD = 1.0
DEMAND_PERIOD = 15.0


class Placement:
    """The loops of placement in one host.

    Parameters
    ==========

    placer : Placer
        Acts while the host holds the lease of its domain.
    holds : Holds
        Follows the records of all domains.
    demand : Demand
        Counted by this host.
    board : DemandBoard
        Where hosts tell each other their demand.
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
        """Start to watch records, to hold the lease and to place."""
        placer = self.placer
        self.watch = watch(
            placer.store,
            PLACEMENTS,
            self.holds.take,
            placer.clock,
            placer.random,
            placer.log,
        )
        self._every(LEASE_PERIOD, self._lease)
        self._every(ROUND_PERIOD, self._round)
        self._every(DEMAND_PERIOD, self._tell)

    def in_force(self, snapshot):
        """Place by another manifest from now on."""
        self.placer.manifest = snapshot.manifest

    async def leave(self):
        """Give no more orders and give the lease back.

        Explanation
        ===========

        What runs is waited for: a lease that was being taken would be held
        after it was given back, and an order could follow it. The records are
        followed on, for requests that are still in flight.
        """
        for loop, _ended in self.loops:
            loop.stop()
        await gatherResults([ended for _loop, ended in self.loops])
        await released(self.placer.keeper)

    def stop(self):
        """Follow the records no longer."""
        if self.watch is not None:
            self.watch.stop()

    def _every(self, period, work):
        loop = LoopingCall(lambda: self._guarded(work()))
        loop.clock = self.placer.clock
        self.loops.append((loop, loop.start(period)))

    def _guarded(self, work):
        running = Deferred.fromCoroutine(work)
        # An error in one round must not end the loop: the host would keep
        # its lease and never place again.
        running.addErrback(self._failed)
        return running

    def _failed(self, failure):
        self.placer.log(
            events.ROUND_FAILED,
            level='error',
            error=repr(failure.value),
        )

    def _lease(self):
        return lease_tick(self.placer.keeper)

    def _round(self):
        return placer_round(self.placer)

    async def _tell(self):
        await self.board.tell(self.demand.turn(DEMAND_PERIOD))
        if not self.placer.keeper.holds():
            return
        total = await self.board.read()
        if total is not None:
            self.placer.demand = total
