"""Putting one host's placement together."""

from twisted.internet.defer import Deferred

from pollenstile.placement._demand import DemandCounter, DemandExchange
from pollenstile.placement._keeper import LeaseManager
from pollenstile.placement._lease import Lease, LeaseTiming
from pollenstile.placement._placer import Placer
from pollenstile.placement._records import ServingIndex
from pollenstile.placement._service import Placement
from pollenstile.platform import make_pause, request_ticket


def build_placement(core, boot, store, orders, ticket, suspend_clock):
    """Return a host's placement, wired to its core; not started.

    Parameters
    ==========

    core : Core
        The host's shared parts; from now on it asks the records which engine
        holds a model, and counts demand.
    boot : str
        Differs with every start: a restarted host is another holder.
    store : Store
        The object API.
    orders : object
        Looks at engines and orders them; see :func:`http_orders`.
    ticket : function
        Takes a model and a version, returns a Deferred of a ticket.
    suspend_clock : function
        Returns seconds, suspended time included.
    """
    keeper = LeaseManager(
        Lease(f'{core.host}-{boot}', LeaseTiming()),
        core.domain,
        store,
        suspend_clock,
        core.log,
        make_pause(core.clock, core.rng),
    )
    placer = Placer(
        core.domain,
        keeper,
        store,
        orders,
        ticket,
        core.clock,
        core.rng,
    )
    placer.usable = _usable(core.tracker)
    demand = DemandCounter()
    holds = ServingIndex(core.log)
    core.holds = holds
    core.demand = demand.count_request
    board = DemandExchange(core.domain, core.host, store, core.clock)
    return Placement(placer, holds, demand, board)


def http_tickets(caller):
    """Return a function that asks the weight store for tickets.

    Parameters
    ==========

    caller : Caller
        Of the weight store.
    """

    def ticket(model, version):
        return Deferred.fromCoroutine(request_ticket(caller, model, version))

    return ticket


def _usable(tracker):
    def usable(name):
        return not tracker.state(name).leaving

    return usable
