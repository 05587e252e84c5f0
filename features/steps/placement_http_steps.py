"""Steps of placement over HTTP and on the request path."""

from random import Random

from behave import given, then, when
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from features.builders.loop import advance_in_steps, collect_result, result_of
from features.builders.placement import DOMAIN, manifest_of, routed_node
from features.builders.platform import listen_on_loopback
from pollenstile.manifest import Upstream
from pollenstile.ops.http import site_for
from pollenstile.outcomes import Answered
from pollenstile.pipeline import Request, run_request
from pollenstile.placement import (
    Applied,
    EngineState,
    Holding,
    Lost,
    Order,
    Refused,
    http_orders,
)
from pollenstile.platform import ServerClient
from pollenstile.standin.engine import Engine, EngineResource
from pollenstile.standin.orders import Holdings, PlacementResource
from pollenstile.upstream import wire

_SIZES = {'draft': 8, 'tags': 8}


def _serve(context, resource):
    port = listen_on_loopback(site_for(resource, reactor))
    context.add_cleanup(lambda: result_of(port.stopListening()))
    context.port = port.getHost().port
    context.upstream = Upstream(DOMAIN, f'127.0.0.1:{context.port}')
    context.orders = http_orders(reactor)


@given('a placement engine that checks fencing, over HTTP')
def step_engine(context):
    holdings = Holdings(Clock(), 'e1', _SIZES, 16, checks=True)
    rest = EngineResource(Engine(reactor, 'e1'))
    _serve(context, PlacementResource(holdings, rest))


@given('a placement engine of a release that lacks orders, over HTTP')
def step_old_engine(context):
    _serve(context, EngineResource(Engine(reactor, 'e1')))


@when('placement orders "{model}" with fence {fence:d} over HTTP')
def step_order(context, model, fence):
    order = Order('a/1', fence, {model: Holding('1')})
    sent = context.orders.send('e1', context.upstream, order)
    context.answer = result_of(sent)


@then('the placement engine answers over HTTP that it loads "{model}"')
def step_applied(context, model):
    assert isinstance(context.answer, Applied), context.answer
    assert context.answer.state.loading == {model: Holding('1')}


@then('the placement engine refuses over HTTP with fence {fence:d}')
def step_refused(context, fence):
    assert context.answer == Refused('old-fence', fence), context.answer


def _read_state(context):
    return result_of(context.orders.read_state('e1', context.upstream))


@then('a placement state read over HTTP shows fence {fence:d}')
def step_look(context, fence):
    state = _read_state(context)
    assert isinstance(state, EngineState), state
    assert state.fence == fence, state


@then('a placement state read over HTTP is lost')
def step_look_lost(context):
    lost = _read_state(context)
    assert isinstance(lost, Lost), lost


@then('a call for "{model}" there is refused as not run')
def step_call(context, model):
    caller = ServerClient(reactor, reactor, '127.0.0.1', context.port)
    body = wire.encode_json(wire.CompletionCall(model, 'a leak', 4))
    reply = result_of(caller.call('POST', wire.COMPLETIONS_PATH, body))
    assert reply.status == 503, reply
    assert b'"outcome":"not-run"' in reply.body, reply


@given('an entry host over two virtual engines, placement {known}')
def step_host(context, known):
    context.clock = Clock()
    manifest = manifest_of(('e1', 'e2'), ('draft',))
    node, engines = routed_node(context.clock, manifest)
    context.node = node
    context.engines = engines
    context.placement = node.placement
    if known != 'has no records':
        context.placement.holds.serving['e2'] = frozenset()


@when('{count:d} requests of the placement pipeline are sent')
def step_requests(context, count):
    context.outcomes = []
    node = context.node
    rng = Random(1)
    for _ in range(count):
        request = Request(
            node.next_ident(),
            'tickets',
            node.in_force.snapshot,
            'dispatch',
            f'leak {rng.random()}',
            context.clock.seconds() + 4,
            '',
        )
        running = Deferred.fromCoroutine(run_request(node.core, request))
        context.outcomes.append(collect_result(running))
        advance_in_steps(context.clock, 0.1, step=0.001)
    advance_in_steps(context.clock, 4, step=0.001)


@then('all placement requests are answered')
def step_answered(context):
    for outcomes in context.outcomes:
        assert isinstance(outcomes[0], Answered), outcomes


@then('calls at the placement engines "{names}" are {calls}')
def step_calls(context, names, calls):
    seen = []
    for name in names.split(', '):
        seen.append('some' if context.engines[name].runs else 'none')
    assert ' '.join(seen) == calls, seen


@then('placement counted a demand of {count:d} calls')
def step_demand(context, count):
    assert context.placement.demand.counts == {'draft': count}
