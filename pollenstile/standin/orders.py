"""Placement orders of fake engines: models held and models loading."""

import msgspec
from twisted.internet.defer import Deferred, succeed
from twisted.web.resource import Resource

from pollenstile.ops.http import answer_json, answer_problem
from pollenstile.placement import (
    Applied,
    EngineState,
    Holding,
    Lost,
    Order,
    Refused,
)
from pollenstile.upstream import wire

_CONFLICT = 409
_BAD_REQUEST = 400
_UNAVAILABLE = 503
_LOAD_SECONDS = 2.0
_decode_order = msgspec.json.Decoder(Order).decode


def _no_calls():
    """Return an empty dict: no calls are running."""
    return {}


class Holdings:
    """Models of one fake engine, and the placement orders that it received.

    Parameters
    ==========

    clock : IReactorTime
        Times the loads.
    name : str
        Name of the engine and first part of its incarnations.
    sizes : dict
        Memory of each model in megabytes, by model.
    memory : int
        Memory for models, in megabytes.
    checks : bool
        Whether the engine refuses orders with old fencing numbers.
    load_seconds : float
        Time to load a model.

    Public state
    ============

    models, loading : dict
        :class:`~pollenstile.placement.Holding` by model.
    running : function
        Returns the number of calls in flight by model.
    orders : list of Order
        Orders that were applied, in order.
    refused : list of Order
        Orders that were refused, in order.
    loaded : int
        Number of loads that were started.

    Examples
    ========

    >>> from twisted.internet.task import Clock
    >>> from pollenstile.placement import Holding
    >>> clock = Clock()
    >>> engine = Holdings(clock, 'e1', {'draft': 8}, 10, checks=True)
    >>> order = Order('a/1', 7, {'draft': Holding('3')})
    >>> engine.apply_order(order).state.loading
    {'draft': Holding(version='3', adapters=())}
    >>> engine.apply_order(Order('b/1', 6, {}))
    Refused(reason='old-fence', fence=7)
    >>> clock.advance(20)
    >>> engine.state().models
    {'draft': Holding(version='3', adapters=())}
    """

    __slots__ = (
        'checks',
        'clock',
        'fence',
        'load_seconds',
        'loaded',
        'loading',
        'memory',
        'models',
        'name',
        'orders',
        'refused',
        'role',
        'running',
        'sizes',
        'start_count',
        'timers',
    )

    def __init__(self, clock, name, sizes, memory, *, checks, load_seconds=20):
        self.clock = clock
        self.name = name
        self.sizes = sizes
        self.memory = memory
        self.checks = checks
        self.load_seconds = load_seconds
        self.running = _no_calls
        self.start_count = 0
        self.loaded = 0
        self.orders = []
        self.refused = []
        self.timers = {}
        self.restart()

    def restart(self):
        """Restart as a new incarnation that holds no models."""
        for model in tuple(self.timers):
            self._stop_load(model)
        self.start_count += 1
        self.models = {}
        self.loading = {}
        self.fence = 0
        self.role = 'both'

    def state(self):
        """Return the engine's current state."""
        return EngineState(
            f'{self.name}-{self.start_count}',
            self.fence,
            dict(self.models),
            dict(self.loading),
            self.running(),
            self.role,
        )

    def apply_order(self, order):
        """Apply an order; return ``Applied`` or ``Refused``."""
        reason = self._refusal_reason(order)
        if reason:
            self.refused.append(order)
            return Refused(reason, self.fence)
        self.orders.append(order)
        self.fence = max(self.fence, order.fence)
        self.role = order.role
        for model in tuple(self.timers):
            if self.loading[model] != order.models.get(model):
                self._stop_load(model)
        for model in tuple(self.models):
            wanted = order.models.get(model)
            if wanted is None or wanted.version != self.models[model].version:
                self.models.pop(model)
        for model, holding in order.models.items():
            self._load(model, holding)
        return Applied(self.state())

    def _refusal_reason(self, order):
        if self.checks and order.fence < self.fence:
            return 'old-fence'
        needed = sum(self.sizes.get(model, 0) for model in order.models)
        return 'memory' if needed > self.memory else ''

    def _load(self, model, holding):
        held = self.models.get(model)
        if held and set(holding.adapters).issubset(held.adapters):
            self.models[model] = holding
            return
        if model in self.loading:
            return
        self.loaded += 1
        self.loading[model] = holding
        self.timers[model] = self.clock.callLater(
            self.load_seconds,
            self._finish_load,
            model,
        )

    def _finish_load(self, model):
        self.timers.pop(model)
        self.models[model] = self.loading.pop(model)

    def _stop_load(self, model):
        self.timers.pop(model).cancel()
        self.loading.pop(model)


class MemoryOrders:
    """Client that reads the state of fake engines and sends them orders.

    Parameters
    ==========

    clock : IReactorTime
        Times the messages.
    engines : dict
        :class:`Holdings` by engine name.
    latency : float
        One-way latency in seconds. With zero, calls are answered immediately.

    Public state
    ============

    down : set of str
        Names of unreachable engines.
    lose_answers, lose_requests : int
        Number of following orders that are applied without an answer, or lost.
    state_reads : int
        Number of state reads.
    hold : Deferred or None
        Delays orders in flight until it fires.
    """

    __slots__ = (
        'clock',
        'down',
        'engines',
        'hold',
        'latency',
        'lose_answers',
        'lose_requests',
        'state_reads',
    )

    def __init__(self, clock, engines, latency=0.0):
        self.clock = clock
        self.engines = engines
        self.latency = latency
        self.down = set()
        self.state_reads = 0
        self.lose_answers = 0
        self.lose_requests = 0
        self.hold = None

    def read_state(self, name, upstream):
        """Return a Deferred of ``EngineState`` or ``Lost``."""
        self.state_reads += 1
        if name in self.down:
            return succeed(Lost('look', name, 'no connection'))
        return self._answer_later(lambda: self.engines[name].state())

    def send(self, name, upstream, order):
        """Return a Deferred of ``Applied``, ``Refused`` or ``Lost``."""
        if name in self.down:
            return succeed(Lost('order', name, 'no connection'))
        if self.hold is not None:
            waiting = Deferred()
            self.hold.addCallback(_resume, waiting)
            return waiting.addCallback(lambda _: self._arrive(name, order))
        return self._answer_later(lambda: self._arrive(name, order))

    def _arrive(self, name, order):
        if self.lose_requests:
            self.lose_requests -= 1
            return Lost('order', name, 'no answer')
        outcome = self.engines[name].apply_order(order)
        if self.lose_answers:
            self.lose_answers -= 1
            return Lost('order', name, 'no answer')
        return outcome

    def _answer_later(self, work):
        if not self.latency:
            return succeed(work())
        done = Deferred()
        self.clock.callLater(self.latency * 2, done.callback, None)
        return done.addCallback(lambda _: work())


def _resume(outcome, waiting):
    waiting.callback(None)
    return outcome


def preloaded_holdings(clock, engine, manifest, pool):
    """Return the holdings of an engine with its pool's models loaded.

    Parameters
    ==========

    clock : IReactorTime
        Times the loads.
    engine : Engine
        Fake engine.
    manifest : Manifest
        Declares the versions and sizes of models.
    pool : Pool
        Pool of the engine. Its models are loaded as far as they fit into the
        engine's memory.
    """
    upstream = pool.upstreams[engine.name]
    sizes = {name: manifest.models[name].memory_mb for name in pool.models}
    holdings = Holdings(
        clock,
        engine.name,
        sizes,
        upstream.memory_mb,
        checks=upstream.fencing == 'checked',
        load_seconds=_LOAD_SECONDS,
    )
    free_memory_mb = upstream.memory_mb
    for model in sorted(pool.models):
        if sizes[model] > free_memory_mb:
            continue
        free_memory_mb -= sizes[model]
        declared = manifest.models[model]
        holdings.models[model] = Holding(
            declared.version,
            tuple(sorted(declared.adapters)),
        )

    def running():
        # The fake engine does not count its calls by model.
        total = engine.slots.running + len(engine.slots.waiting)
        return dict.fromkeys(holdings.models, total)

    holdings.running = running
    return holdings


class PlacementResource(Resource):
    """``GET`` and ``PUT /v1/placement`` in front of an engine's other calls.

    Explanation
    ===========

    Other calls are passed to the engine, except those for a model that is not
    held, which are refused.
    """

    isLeaf = True

    def __init__(self, holdings, engine_resource):
        super().__init__()
        self.holdings = holdings
        self.engine_resource = engine_resource

    def render(self, request):
        """Answer, or pass the call to the engine; called by Twisted."""
        if request.postpath[:2] != [b'v1', b'placement']:
            return self._pass_to_engine(request)
        if request.method == b'GET':
            return answer_json(request, self.holdings.state())
        try:
            order = _decode_order(request.content.read())
        except msgspec.MsgspecError as error:
            return answer_problem(request, _BAD_REQUEST, str(error), 'not-run')
        outcome = self.holdings.apply_order(order)
        if isinstance(outcome, Refused):
            return answer_json(request, outcome, _CONFLICT)
        return answer_json(request, outcome.state)

    def _pass_to_engine(self, request):
        try:
            call = wire.decode_completion_call(request.content.read())
        except wire.DECODE_ERRORS:
            call = None
        request.content.seek(0)
        if call is None or call.model in self.holdings.models:
            return self.engine_resource.render(request)
        return answer_problem(request, _UNAVAILABLE, 'not held', wire.NOT_RUN)
