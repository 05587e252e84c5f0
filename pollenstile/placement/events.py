"""Numbered log events of placement."""

from pollenstile.ops.events import define

LEASE_TAKEN = define(
    5001,
    'lease-taken',
    'This host acquired the lease and now orders the engines of its domain.',
)
LEASE_RENEWED = define(
    5002,
    'lease-renewed',
    'The lease of a failure domain was renewed.',
)
LEASE_LOST = define(
    5003,
    'lease-lost',
    'Another host holds the lease, or a higher fencing number was seen.',
)
LEASE_LAPSED = define(
    5004,
    'lease-lapsed',
    'The lease could not be renewed within its term; no orders are sent.',
    'Check whether the object API is down or this host was suspended.',
)
LEASE_IN_DOUBT = define(
    5005,
    'lease-in-doubt',
    'It is unknown whether a write of the lease was applied.',
)
LEASE_RELEASED = define(
    5006,
    'lease-released',
    'A leaving host released the lease.',
)
PLAN = define(
    5010,
    'placement-plan',
    'A new wanted placement was computed.',
)
UNPLACED = define(
    5011,
    'placement-unplaced',
    'No engine has enough memory for a model.',
    'Add engines or memory, or remove a model from the pool.',
)
DRAIN = define(
    5012,
    'placement-drain',
    'An engine gets no new work for models that are to be unloaded.',
)
DRAIN_OVER = define(
    5013,
    'placement-drain-over',
    'A drain reached its time limit with calls still in flight.',
    'If this is frequent, check which calls run beyond their deadline.',
)
ORDER_SENT = define(
    5014,
    'order-sent',
    'An order with the models to hold was sent to an engine.',
)
ORDER_ANSWERED = define(
    5015,
    'order-answered',
    'An engine accepted an order.',
)
ORDER_REFUSED = define(
    5016,
    'order-refused',
    'An engine refused an order.',
    'None for reason old-fence; else compare the engine with the manifest.',
)
ORDER_LOST = define(
    5017,
    'order-lost',
    'The answer to an order was lost; the state of the engine is read.',
)
ORDER_WITHHELD = define(
    5018,
    'order-withheld',
    'An order was not sent, because the lease ended just before.',
)
INTENT_WRITTEN = define(
    5019,
    'intent-written',
    'The models that an engine is to hold were written to the object API.',
)
INTENT_FAILED = define(
    5020,
    'intent-failed',
    'A placement record could not be written, so no order was sent.',
)
LOAD_WAITS = define(
    5021,
    'load-waits',
    'A load waits for the weight store or for other loads to complete.',
    'If this persists, request a higher rate limit at the weight store.',
)
LOAD_ALLOWED = define(
    5022,
    'load-allowed',
    'The weight store permitted an engine to load a version of a model.',
)
SWAP_WAITS = define(
    5023,
    'swap-waits',
    'A drain waits, to keep capacity and an engine for each model.',
)
ENGINE_RESTARTED = define(
    5024,
    'engine-restarted',
    'An engine has a new incarnation.',
)
ENGINE_UNSEEN = define(
    5025,
    'engine-unseen',
    'The state of an engine could not be read; it gets no orders.',
    'Check whether the engine is up and reachable.',
)
HOLDS_CHANGED = define(
    5026,
    'holds-changed',
    'The models for which an engine gets new work changed.',
)
ROUND_FAILED = define(
    5027,
    'placement-round-failed',
    'A placement round raised an error; the next round runs as usual.',
    'Report the error as a bug.',
)
