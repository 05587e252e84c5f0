"""Model placement: leases, engine orders and model swaps."""

from pollenstile.placement._assembly import build_placement, http_tickets
from pollenstile.placement._demand import (
    DemandCounter,
    DemandExchange,
    sum_demand,
)
from pollenstile.placement._enginespec import EngineSpec, domain_engines
from pollenstile.placement._http import http_orders
from pollenstile.placement._lease import (
    LEASES,
    Acquire,
    Lease,
    LeaseTiming,
    Renew,
    Wait,
    apply_write_outcome,
    is_held,
    next_lease_action,
    observe,
)
from pollenstile.placement._leasemanager import (
    LeaseManager,
    lease_tick,
    release_lease,
)
from pollenstile.placement._loadlimits import Loads, LoadTiming
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
from pollenstile.placement._planning import compute_placement
from pollenstile.placement._records import PLACEMENTS, Record, ServingIndex
from pollenstile.placement._service import Placement
from pollenstile.placement._steps import (
    Drain,
    Draining,
    Loading,
    Settled,
    Swap,
    next_step,
)
