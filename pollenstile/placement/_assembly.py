"""Construction of the placement of one entry host."""

from twisted.internet.defer import Deferred

from pollenstile.placement._demand import DemandCounter, DemandExchange
from pollenstile.placement._lease import Lease, LeaseTiming
from pollenstile.placement._leasemanager import LeaseManager
from pollenstile.placement._placer import Placer
from pollenstile.placement._records import ServingIndex
from pollenstile.placement._service import Placement
from pollenstile.platform import make_pause, request_ticket


def build_placement(core, boot, store, orders, ticket, suspend_clock):
    """Return a host's placement, connected to its core but not started.

    Parameters
    ==========

    core : Core
        Shared parts of the host. From now on it reads from the placement
        records which engine serves a model, and counts demand.
    boot : str
        Differs at every start, so a restarted host is a new lease holder.
    store : Store
        Client of the object API.
    orders : object
        Reads the state of engines and sends them orders; see
        :func:`http_orders`.
    ticket : function
        Takes a model and a version, returns a Deferred of a ticket.
    suspend_clock : function
        Returns seconds, including time during which the host was suspended.
    """
    lease_manager = LeaseManager(
        Lease(f'{core.host}-{boot}', LeaseTiming()),
        core.domain,
        store,
        suspend_clock,
        core.log,
        make_pause(core.clock, core.rng),
    )
    placer = Placer(
        core.domain,
        lease_manager,
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
    """Return a function that requests load tickets from the weight store.

    Parameters
    ==========

    caller : Caller
        HTTP client of the weight store.
    """

    def ticket(model, version):
        return Deferred.fromCoroutine(request_ticket(caller, model, version))

    return ticket


def _usable(tracker):
    def usable(name):
        return not tracker.state(name).leaving

    return usable
