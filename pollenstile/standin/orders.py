"""Orders at the engine stand-in: what it holds and loads."""

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
_order_from = msgspec.json.Decoder(Order).decode


def _idle():
    """Return that no calls run."""
    return {}


class Holdings:
    """What one engine holds, and the orders it got.

    Parameters
    ==========

    clock : IReactorTime
        Times the loads.
    name : str
        First part of its incarnations.
    sizes : dict
        Model to its memory in megabytes.
    memory : int
        Megabytes for models.
    checks : bool
        Whether it refuses old fencing numbers.
    load_seconds : float
        Time of one load.

    Public state
    ============

    models, loading : dict
        Model to :class:`~pollenstile.placement.Holding`.
    running : function
        Returns the calls in flight by model.
    orders : list of Order
        All that it took, in order.
    refused : list of Order
        All that it refused.
    loaded : int
        Loads that it has begun.

    Examples
    ========

    >>> from twisted.internet.task import Clock
    >>> from pollenstile.placement import Holding
    >>> clock = Clock()
    >>> engine = Holdings(clock, 'e1', {'draft': 8}, 10, checks=True)
    >>> engine.take(Order('a/1', 7, {'draft': Holding('3')})).state.loading
    {'draft': Holding(version='3', adapters=())}
    >>> engine.take(Order('b/1', 6, {}))
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
        'starts',
        'timers',
    )

    def __init__(self, clock, name, sizes, memory, *, checks, load_seconds=20):
        self.clock = clock
        self.name = name
        self.sizes = sizes
        self.memory = memory
        self.checks = checks
        self.load_seconds = load_seconds
        self.running = _idle
        self.starts = 0
        self.loaded = 0
        self.orders = []
        self.refused = []
        self.timers = {}
        self.restart()

    def restart(self):
        """Come back as another process that holds nothing."""
        for model in tuple(self.timers):
            self._stop_load(model)
        self.starts += 1
        self.models = {}
        self.loading = {}
        self.fence = 0
        self.role = 'both'

    def state(self):
        """Return what it holds and does now."""
        return EngineState(
            f'{self.name}-{self.starts}',
            self.fence,
            dict(self.models),
            dict(self.loading),
            self.running(),
            self.role,
        )

    def take(self, order):
        """Return ``Applied`` or ``Refused``."""
        reason = self._objection(order)
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
            self._hold(model, holding)
        return Applied(self.state())

    def _objection(self, order):
        if self.checks and order.fence < self.fence:
            return 'old-fence'
        needed = sum(self.sizes.get(model, 0) for model in order.models)
        return 'memory' if needed > self.memory else ''

    def _hold(self, model, holding):
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
            self._loaded,
            model,
        )

    def _loaded(self, model):
        self.timers.pop(model)
        self.models[model] = self.loading.pop(model)

    def _stop_load(self, model):
        self.timers.pop(model).cancel()
        self.loading.pop(model)


class MemoryOrders:
    """Looks and orders at stand-ins, in virtual time.

    Parameters
    ==========

    clock : IReactorTime
        Times the messages.
    engines : dict
        Name to :class:`Holdings`.
    latency : float
        Seconds one way; without it all comes at once.

    Public state
    ============

    down : set of str
        Engines that can't be reached.
    lose_answers, lose_requests : int
        That many next orders are taken but not answered, or not taken.
    looks : int
        Looks that were asked for.
    hold : Deferred or None
        Orders wait for it on their way.
    """

    __slots__ = (
        'clock',
        'down',
        'engines',
        'hold',
        'latency',
        'state_reads',
        'lose_answers',
        'lose_requests',
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
        return self._after(lambda: self.engines[name].state())

    def send(self, name, upstream, order):
        """Return a Deferred of ``Applied``, ``Refused`` or ``Lost``."""
        if name in self.down:
            return succeed(Lost('order', name, 'no connection'))
        if self.hold is not None:
            waiting = Deferred()
            self.hold.addCallback(_passed_on, waiting)
            return waiting.addCallback(lambda _: self._arrive(name, order))
        return self._after(lambda: self._arrive(name, order))

    def _arrive(self, name, order):
        if self.lose_requests:
            self.lose_requests -= 1
            return Lost('order', name, 'no answer')
        outcome = self.engines[name].take(order)
        if self.lose_answers:
            self.lose_answers -= 1
            return Lost('order', name, 'no answer')
        return outcome

    def _after(self, work):
        if not self.latency:
            return succeed(work())
        done = Deferred()
        self.clock.callLater(self.latency * 2, done.callback, None)
        return done.addCallback(lambda _: work())


def _passed_on(outcome, waiting):
    waiting.callback(None)
    return outcome


def warm_holdings(clock, engine, manifest, pool):
    """Return the holdings of an engine that has its pool's models loaded.

    Parameters
    ==========

    clock : IReactorTime
        Times the loads.
    engine : Engine
        The stand-in.
    manifest : Manifest
        Names versions and sizes.
    pool : Pool
        The engine's pool; of its models those are held that fit.
    """
    upstream = pool.upstreams[engine.name]
    sizes = {each: manifest.models[each].memory_mb for each in pool.models}
    holdings = Holdings(
        clock,
        engine.name,
        sizes,
        upstream.memory_mb,
        checks=upstream.fencing == 'checked',
        load_seconds=_LOAD_SECONDS,
    )
    room = upstream.memory_mb
    for model in sorted(pool.models):
        if sizes[model] > room:
            continue
        room -= sizes[model]
        declared = manifest.models[model]
        holdings.models[model] = Holding(
            declared.version,
            tuple(sorted(declared.adapters)),
        )

    def running():
        # The stand-in does not tell its calls apart by model.
        total = engine.slots.running + len(engine.slots.waiting)
        return dict.fromkeys(holdings.models, total)

    holdings.running = running
    return holdings


class PlacementResource(Resource):
    """``GET`` and ``PUT /v1/placement`` before an engine's other calls.

    Explanation
    ===========

    Of the other calls it refuses those for a model that is not held.
    """

    isLeaf = True

    def __init__(self, holdings, rest):
        super().__init__()
        self.holdings = holdings
        self.rest = rest

    def render(self, request):
        """Answer, or hand the call to the engine; called by twisted."""
        if request.postpath[:2] != [b'v1', b'placement']:
            return self._call(request)
        if request.method == b'GET':
            return answer_json(request, self.holdings.state())
        try:
            order = _order_from(request.content.read())
        except msgspec.MsgspecError as error:
            return answer_problem(request, _BAD_REQUEST, str(error), 'not-run')
        outcome = self.holdings.take(order)
        if isinstance(outcome, Refused):
            return answer_json(request, outcome, _CONFLICT)
        return answer_json(request, outcome.state)

    def _call(self, request):
        try:
            call = wire.decode_completion_call(request.content.read())
        except wire.DecodeError:
            call = None
        request.content.seek(0)
        if call is None or call.model in self.holdings.models:
            return self.rest.render(request)
        return answer_problem(request, _UNAVAILABLE, 'not held', wire.NOT_RUN)
