"""Numbered events of placement."""

from pollenstile.ops.events import define

LEASE_TAKEN = define(
    5001,
    'lease-taken',
    'This host now gives the orders of its failure domain.',
)
LEASE_RENEWED = define(
    5002,
    'lease-renewed',
    'The lease on the orders of a failure domain was renewed.',
)
LEASE_LOST = define(
    5003,
    'lease-lost',
    'Another host has the lease, or a higher fencing number was seen.',
)
LEASE_LAPSED = define(
    5004,
    'lease-lapsed',
    'The lease could not be renewed in its term; no orders are given.',
    'See whether the object API is down, or this host was suspended.',
)
LEASE_IN_DOUBT = define(
    5005,
    'lease-in-doubt',
    'It is not known whether a write of the lease was applied.',
)
LEASE_RELEASED = define(
    5006,
    'lease-released',
    'A leaving host gave the lease back.',
)
PLAN = define(
    5010,
    'placement-plan',
    'A new wanted placement was computed.',
)
UNPLACED = define(
    5011,
    'placement-unplaced',
    'A model has no engine: memory does not allow it.',
    'Add engines or memory, or take a model out of the pool.',
)
DRAIN = define(
    5012,
    'placement-drain',
    'An engine gets no new work for some models, which will be unloaded.',
)
DRAIN_OVER = define(
    5013,
    'placement-drain-over',
    'The bound of a drain is over with calls still in flight.',
    'When it comes often, see which calls run longer than their deadline.',
)
ORDER_SENT = define(
    5014,
    'order-sent',
    'An order with a wanted end was sent to an engine.',
)
ORDER_ANSWERED = define(
    5015,
    'order-answered',
    'An engine took an order.',
)
ORDER_REFUSED = define(
    5016,
    'order-refused',
    'An engine refused an order.',
    'With reason old-fence nothing; else compare the engine with the manifest.',
)
ORDER_LOST = define(
    5017,
    'order-lost',
    'The answer to an order was lost; the engine is read back.',
)
ORDER_WITHHELD = define(
    5018,
    'order-withheld',
    'An order was not sent: the term was over right before it.',
)
INTENT_WRITTEN = define(
    5019,
    'intent-written',
    'What an engine is to hold was written to the object API.',
)
INTENT_FAILED = define(
    5020,
    'intent-failed',
    'An intent could not be written, so its order was not given.',
)
LOAD_WAITS = define(
    5021,
    'load-waits',
    'A load waits: the weight store refuses, or enough loads are running.',
    'When it lasts, ask for a higher rate of the weight store.',
)
LOAD_ALLOWED = define(
    5022,
    'load-allowed',
    'The weight store lets an engine load a version.',
)
SWAP_WAITS = define(
    5023,
    'swap-waits',
    'A drain waits, so that its model keeps an engine and capacity stays.',
)
ENGINE_RESTARTED = define(
    5024,
    'engine-restarted',
    'An engine has another incarnation than before.',
)
ENGINE_UNSEEN = define(
    5025,
    'engine-unseen',
    'An engine did not state what it holds; it gets no orders.',
    'See whether the engine is up and can be reached.',
)
HOLDS_CHANGED = define(
    5026,
    'holds-changed',
    'Which models of an engine get new work has changed.',
)
ROUND_FAILED = define(
    5027,
    'placement-round-failed',
    'A round of placement raised an error; the next one follows.',
    'File the error as a bug.',
)
