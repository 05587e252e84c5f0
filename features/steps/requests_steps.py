"""Steps for requests when upstreams, links and callers fail.

The actions of When steps and the checks of Then steps are recorded, so that
the scenario can be run again without one guard of the code.
"""

from collections import Counter

from behave import given, step, then, when
from twisted.internet.task import deferLater

from features.builders import requests as build
from features.builders.mutations import without
from pollenstile.entry._frontend import _Exchange
from pollenstile.outcomes import Answered
from pollenstile.pipeline import _stage
from pollenstile.standin.engine import token
from pollenstile.standin.virtual import SILENT
from pollenstile.upstream import Chunk, NotRun, Reply, wire


@given('a requests host')
def step_world(context):
    _new_world(context, build.requests_manifest())


@given('a requests host with {count:d} upstreams in each pool')
def step_large_world(context, count):
    _new_world(context, build.requests_manifest(count))


def _new_world(context, manifest):
    context.manifest = manifest
    context.world = build.World(manifest)
    context.actions = []
    context.checks = []


def _perform(context, action):
    context.actions.append(action)
    action(context.world)


def _check(context, check):
    context.checks.append(check)
    check(context.world)


@then('without the guard "{guard}" this requests scenario fails')
def step_without(context, guard):
    assert context.actions and context.checks
    with without(guard):
        world = build.World(context.manifest)
        for action in context.actions:
            action(world)
    failed = 0
    for check in context.checks:
        try:
            check(world)
        except AssertionError:
            failed += 1
    assert failed, f'{guard} is not checked by this scenario'


@when('a "{name}" request is sent')
def step_send(context, name):
    _perform(context, lambda world: world.send(name))


@when('a "{name}" request is sent with key "{key}"')
def step_send_key(context, name, key):
    _perform(context, lambda world: world.send(name, key=key))


@when('claims take {seconds:g} seconds for requests')
def step_claims(context, seconds):
    def slow_claims(world):
        async def claims(request, run=None):
            await deferLater(world.clock, seconds)
            return await run() if run else None

        world.node.core.claims = claims

    _perform(context, slow_claims)


@when('claims raise an exception for requests')
def step_claims_crash(context):
    def crashing(world):
        def claims(request, run=None):
            raise ValueError('a fault of the program')

        world.node.core.claims = claims

    _perform(context, crashing)


@when('a "{name}" request is sent with {left:d} ms left when its hedge is due')
def step_send_hedge(context, name, left):
    def send(world):
        stage = world.pipeline(name).stages[0]
        due = _stage._HEDGE_FACTOR * stage.expect_ms
        world.send(name, budget=(due + left) / 1000)

    _perform(context, send)


@when('a "{name}" request with a deadline of {seconds:g} seconds is sent')
def step_send_budget(context, name, seconds):
    _perform(context, lambda world: world.send(name, budget=seconds))


@when('{count:d} "{name}" requests are sent')
def step_send_many(context, count, name):
    _perform(context, lambda world: [world.send(name) for _ in range(count)])


@when('{seconds:g} request seconds pass')
def step_pass(context, seconds):
    _perform(context, lambda world: world.wait(seconds))


def _called(world):
    return world.upstreams[world.called_names[-1]]


@when('the called upstream breaks streams after {count:d} tokens')
def step_cut(context, count):
    _perform(
        context,
        lambda world: setattr(_called(world).faults, 'cut_after', count),
    )


@when('the called upstream is frozen')
def step_frozen(context):
    _perform(
        context, lambda world: setattr(_called(world).faults, 'frozen', True)
    )


@when('the called upstream is {factor:g} times slower for requests')
def step_slow(context, factor):
    _perform(
        context, lambda world: setattr(_called(world).faults, 'slow', factor)
    )


@when('the upstreams of "{pool}" are {factor:g} times slower for requests')
def step_pool_slow(context, pool, factor):
    _perform(context, lambda world: world.set_fault(pool, 'slow', factor))


@when('the upstreams of "{pool}" are frozen for requests')
def step_pool_frozen(context, pool):
    _perform(context, lambda world: world.set_fault(pool, 'frozen', True))


@when('the upstreams of "{pool}" refuse requests')
def step_pool_refuses(context, pool):
    _perform(context, lambda world: world.set_fault(pool, 'refusing', True))


@when('the upstreams of "{pool}" answer requests with another\'s identifier')
def step_pool_foreign(context, pool):
    _perform(context, lambda world: world.set_fault(pool, 'foreign', True))


@when('the other upstreams refuse requests')
def step_others_refuse(context):
    def refuse(world):
        for name, upstream in world.upstreams.items():
            upstream.faults.refusing = name not in world.called_names

    _perform(context, refuse)


@when('the link to "{name}" goes silent for requests')
def step_silent(context, name):
    _perform(context, lambda world: world.links.update({name: SILENT}))


@when('the links recover for requests')
def step_heal(context):
    def heal(world):
        world.wait(0.05)
        world.links.clear()

    _perform(context, heal)


def _hook_events(context, hook):
    """Pass each event to a hook, with the number of its call from 1."""

    def set_hook(world):
        def wrapped(call, sink):
            number = len(world.calls)
            return lambda event: hook(world, number, event, sink)

        world.hook = wrapped

    _perform(context, set_hook)


@when(
    'the events of request call {which:d} arrive {seconds:g} seconds late'
    ' even if it is cancelled'
)
def step_late(context, which, seconds):
    def hook(world, number, event, sink):
        if number == which:
            world.clock.callLater(seconds, sink, event)
            return
        sink(event)

    _hook_events(context, hook)


@when('tokens {one:d} and {other:d} of request call {which:d} arrive swapped')
def step_reorder(context, one, other, which):
    def hook(world, number, event, sink):
        offset = getattr(event, 'offset', None)
        if number == which and offset == one:
            world.clock.callLater(0.015, sink, event)
            return
        sink(event)

    assert other == one + 1
    _hook_events(context, hook)


@when('all events of request calls arrive twice')
def step_double(context):
    def hook(world, number, event, sink):
        sink(event)
        sink(event)

    _hook_events(context, hook)


@when('token {offset:d} of request call {which:d} is lost')
def step_lost(context, offset, which):
    def hook(world, number, event, sink):
        lost = isinstance(event, Chunk) and event.offset == offset
        if number != which or not lost:
            sink(event)

    _hook_events(context, hook)


@when('the answers of request calls {one:d} and {other:d} are swapped')
def step_swap(context, one, other):
    sinks = {}

    def hook(world, number, event, sink):
        if number > other:
            sink(event)
            return
        waiting = sinks.pop(world, None)
        if waiting is None:
            sinks[world] = (sink, event)
            return
        sink(waiting[1])
        waiting[0](event)

    assert (one, other) == (1, 2)
    _hook_events(context, hook)


@when("the reply to request call {which:d} is replaced by another's refusal")
def step_foreign_refusal(context, which):
    def hook(world, number, event, sink):
        if number == which and isinstance(event, Reply):
            sink(NotRun('busy', attempt='other/call/1'))
            return
        sink(event)

    _hook_events(context, hook)


@when("the request's caller disconnects")
def step_hang_up(context):
    def hang_up(world):
        exchange = _Exchange(None, streaming=False)
        exchange.running = world.sent[-1].running
        exchange.on_disconnect(None, world.sent[-1].request)

    _perform(context, hang_up)


@when('the request is cancelled')
def step_cancel(context):
    _perform(context, lambda world: world.sent[-1].running.cancel())


@then('the request ends as "{tag}"')
def step_ends(context, tag):
    def check(world):
        assert world.sent[-1].outcome.tag == tag, world.sent[-1].outcome

    _check(context, check)


def _expected(request, pool='encoder'):
    return [
        {'by': f'{pool}-{position}', 'for': request.ident}
        for position in (1, 2)
    ]


def _texts(request):
    encode_results = [
        {},
        *[{'encode': output} for output in _expected(request)],
    ]
    prompts = [
        wire.encode_json({'input': request.content, 'results': results})
        for results in encode_results
    ]
    return [
        ''.join(token(prompt, offset) for offset in range(build.TOKENS))
        for prompt in prompts
    ]


@then("the request's stream is complete")
def step_whole(context):
    def check(world):
        sent = world.sent[-1]
        streamed = ''.join(sent.tokens)
        assert len(sent.tokens) == build.TOKENS, sent.tokens
        assert streamed == sent.outcome.output, sent.outcome
        assert streamed in _texts(sent.request), streamed

    _check(context, check)


@then("the request's call {number:d} resumes at token {offset:d}")
def step_resumes(context, number, offset):
    def check(world):
        assert len(world.calls) >= number, world.calls
        call = world.calls[number - 1]
        assert call.offset == offset, call
        assert call.text == ''.join(world.sent[-1].tokens[:offset]), call

    _check(context, check)


@then('the request ended before its deadline')
@then('each request ended before its deadline')
def step_in_time(context):
    def check(world):
        for sent in world.sent:
            assert sent.outcome, sent
        assert world.in_time(), [sent.ended_at for sent in world.sent]

    _check(context, check)


@then('each request has its own answer')
def step_own(context):
    def check(world):
        for sent in world.sent:
            assert isinstance(sent.outcome, Answered), sent.outcome
            assert sent.outcome.output in _expected(sent.request), sent.outcome

    _check(context, check)


@then('upstreams ran "{stage}" {count:d} times for the requests')
def step_ran(context, stage, count):
    def check(world):
        steps = Counter(run.split('/')[1] for run in world.runs())
        assert steps[stage] == count, world.runs()

    _check(context, check)


@then('the requests made {count:d} calls')
def step_calls(context, count):
    def check(world):
        assert len(world.calls) == count, world.calls

    _check(context, check)


@then('the requests made at most {count:d} calls')
def step_most_calls(context, count):
    def check(world):
        assert len(world.sent) < len(world.calls) <= count, len(world.calls)

    _check(context, check)


@then('{count:d} late replies were dropped from requests')
def step_late_dropped(context, count):
    def check(world):
        assert world.total('reply.late') == count, world.total('reply.late')

    _check(context, check)


@then('{count:d} foreign replies were dropped from requests')
def step_foreign_dropped(context, count):
    def check(world):
        assert world.total('reply.foreign') == count

    _check(context, check)


@then('the requests invariant "{name}" is broken')
def step_broken(context, name):
    def check(world):
        broken = [invariant for invariant, _ in world.node.core.ledger.broken]
        assert broken == [name], broken

    _check(context, check)


@then('no requests invariant is broken')
def step_unbroken(context):
    def check(world):
        broken = world.node.core.ledger.broken
        assert not broken, broken

    _check(context, check)


@then("the request's attempt {number:d} was cancelled")
def step_cancelled(context, number):
    def check(world):
        attempts = [ident.rpartition('/')[2] for ident in world.cancelled]
        assert str(number) in attempts, world.cancelled

    _check(context, check)


@step('no upstream is processing requests')
def step_idle(context):
    def check(world):
        busy = [
            upstream.name
            for upstream in world.upstreams.values()
            if upstream.slots.running
        ]
        assert not busy, busy

    _check(context, check)


@then('the requests host has no open requests')
def step_nothing_open(context):
    def check(world):
        core = world.node.core
        assert not core.ledger.open, core.ledger.open
        assert world.node.in_flight == 0
        states = core.tracker.states.values()
        assert not any(state.in_flight for state in states)
        assert world.sent[-1].outcomes

    _check(context, check)
