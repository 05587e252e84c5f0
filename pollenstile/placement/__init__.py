"""Which engine holds which model: leases, orders, swaps."""

from pollenstile.placement._assembly import build_placement, http_tickets
from pollenstile.placement._demand import (
    DemandCounter,
    DemandExchange,
    demand_total,
)
from pollenstile.placement._facts import EngineFacts, domain_engines
from pollenstile.placement._http import http_orders
from pollenstile.placement._keeper import LeaseManager, lease_tick, released
from pollenstile.placement._lease import (
    LEASES,
    Lease,
    LeaseTiming,
    Pause,
    Renew,
    Take,
    is_held,
    lease_move,
    observe,
    settle,
)
from pollenstile.placement._loads import Loads, LoadTiming
from pollenstile.placement._orders import (
    Applied,
    EngineState,
    Holding,
    Lost,
    Order,
    Refused,
)
from pollenstile.placement._placer import (
    Placer,
    PlacerTiming,
    always_allow,
    placer_round,
)
from pollenstile.placement._records import PLACEMENTS, ServingIndex, Record
from pollenstile.placement._service import Placement
from pollenstile.placement._steps import (
    Drain,
    Draining,
    Loading,
    Settled,
    Swap,
    next_step,
)
from pollenstile.placement._wanted import compute_placement
