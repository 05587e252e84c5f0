"""Steps for decisions from a host's observations."""

from random import Random

from behave import given, then, when
from twisted.internet.defer import Deferred

from features.builders.forward import SERVICE, ForwardScenario, route
from features.builders.stagework import (
    LIMITS,
    Queue,
    RecordingClient,
    group,
    workers,
)
from pollenstile.estimates import Fetching, FirstTokens
from pollenstile.forward import (
    UpstreamView,
    home_engine,
    select_engine,
    silence_limits_of,
)
from pollenstile.forward._selection import candidates_of_unproven
from pollenstile.routes import StageStep
from pollenstile.stagework import (
    Chain,
    Plan,
    eligible_pieces,
    expected_wait,
    full_seconds,
    may_join_queue,
    seconds_until_free,
)

_MEGABYTE = 1_000_000
# Seconds per token of an engine that reads 55,000 tokens a second.
_TOKEN_SECONDS = 1 / 55000
_LINK = 1.25e9
_TOKENS = 2000
_PLAN = Plan(
    'r',
    'key',
    (
        StageStep('encode', (), 8000),
        StageStep('search', (0,), 60_000),
        StageStep('rank', (1,), 6000),
    ),
    (1, 8, 16),
    (9.0, 9.0, 9.0),
    20.0,
    0,
)


@then('it is taken with urgency {urgency:d} though a later stage is crowded')
def then_taken_crowded(context, urgency):
    context.urgency = urgency
    assert _taken_while_crowded(context, context.wait)


@then('one that would wait {wait:g} is not')
def then_longer_not(context, wait):
    assert not _taken_while_crowded(context, wait)


def _taken_while_crowded(context, wait):
    one = group(due=context.due, urgency=context.urgency, later_crowded=True)
    return may_join_queue(one, wait, 0, full_seconds(LIMITS))


@given('two stage workers of which one is overdue by {seconds:g} seconds')
def given_overdue(context, seconds):
    context.workers = workers('a', 'b')
    context.now = 100.0
    for worker in context.workers:
        worker.calls = 1
        worker.busy_until = context.now
    # The other one answered when its call under way began.
    context.workers[0].answered_at = context.now - full_seconds(LIMITS)
    context.workers[1].busy_until -= seconds


@then('{count:d} pieces wait for {seconds:g} seconds at most')
def then_wait_at_most(context, count, seconds):
    wait = expected_wait(count, context.workers, LIMITS, context.now)
    alone = expected_wait(count, context.workers[:1], LIMITS, context.now)
    assert wait == alone, (wait, alone)
    assert wait <= seconds, wait


@then('pieces near the overdue one may be taken by the other')
def then_taken_by_other(context):
    full = full_seconds(LIMITS)
    found = seconds_until_free(context.workers, (), context.now, full)
    assert set(found) == {'a'}, found


@given(
    'a stage queue over idle workers in "{domains}" with a low measured rate'
)
def given_idle_rate(context, domains):
    context.queue = Queue(*domains.split(','))
    # Pieces have waited for two seconds, and one was made in the last second.
    stats = context.queue.owner.stats
    stats.rate(0.0, queued=True)
    context.queue.clock.advance(2.0)
    stats.record_made(1.9)
    context.queue.owner.waiting = ['a piece']


@then('its wait for {count:d} pieces is under {seconds:g} seconds')
def then_wait_under(context, count, seconds):
    wait = context.queue.owner.wait(count)
    assert wait < seconds, wait


@then('a worker in "{domain}" takes them when a round takes {count:d} pieces')
def then_round(context, domain, count):
    found = eligible_pieces(context.pieces, domain, {'b': 0.3}, 0, 0.4, count)
    assert len(found) == 3


@given('a chain whose heavy last step has workers in "{domains}" only')
def given_chain(context, domains):
    context.client = RecordingClient(tuple(domains.split(',')))
    Deferred.fromCoroutine(Chain(context.client, _PLAN).handles())
    context.client.made('a')


@then('its previous step is preferred in "{domains}"')
@then('its last step is preferred in "{domains}"')
def then_wanted(context, domains):
    near = context.client.groups[-1].near
    assert near == tuple(domains.split(',')), near


@when('that step is made in "{domain}"')
def when_step_made(context, domain):
    context.client.made(domain)


@given('model engines in "{domains}" that are idle')
def given_engines(context, domains):
    context.views = [
        UpstreamView(f'e{place}', f'10.0.1.{place}:1', domain, 64)
        for place, domain in enumerate(domains.split(','))
    ]


def _engine_for(context, prompt, inputs):
    return select_engine(
        context.views,
        0,
        'a',
        Random(1),
        prompt,
        _TOKEN_SECONDS,
        inputs,
    )


@then(
    'a request with {size:d} MB of results in "{domain}" goes to one in "{to}"'
)
def then_goes(context, size, domain, to):
    prompt = (('head', 100), ('chat', 70), ('own', 500))
    inputs = {domain: size * _MEGABYTE}
    assert _engine_for(context, prompt, inputs).domain == to


@then(
    'a request whose home engine is in "{home}" goes there despite'
    ' {size:d} MB in "{domain}"',
)
def then_goes_home(context, home, size, domain):
    subject = next(
        name
        for name in map(str, range(100))
        if home_engine(context.views, name).domain == home
    )
    prompt = (('head', 500), (subject, 4800), ('own', 600))
    inputs = {domain: size * _MEGABYTE}
    assert _engine_for(context, prompt, inputs).domain == home


@given('a "{kind}" request with stage work whose engine has a free slot')
def given_staged(context, kind):
    context.story = ForwardScenario(kind, staged=True)
    context.story.start()


@given('the memory for stage results is short')
def given_crowded(context):
    context.story.stages.crowded = True


@given('a "{kind}" request with stage work whose engine is full')
def given_staged_full(context, kind):
    context.story = ForwardScenario(kind, staged=True)
    for view in context.story.registry.usable(SERVICE):
        view.in_flight = view.slots
    context.story.start()


@when('{seconds:g} seconds pass without a first token')
def when_no_token(context, seconds):
    assert context.story.calls
    context.story.clock.advance(seconds)


@then('its stage results are released')
def then_released(context):
    assert len(context.story.stages.released) == 2


@then('its stage results are held')
def then_held(context):
    assert not context.story.stages.released


@given('engines that found results gone {times:d} times')
def given_gone(context, times):
    context.fetching = Fetching()
    for _ in range(times):
        context.fetching.note_failed_fetch(SERVICE)


def _kept(context, size):
    return context.fetching.seconds(SERVICE, size * _MEGABYTE, _LINK)


@then('results of {size:d} MB are kept for {least:g} to {most:g} seconds')
def then_kept(context, size, least, most):
    assert least <= _kept(context, size) <= most, _kept(context, size)


@then('after {count:d} answers they are kept for {least:g} to {most:g} seconds')
def then_kept_later(context, count, least, most):
    for _ in range(count):
        context.fetching.note_fetched(SERVICE)
    then_kept(context, 1, least, most)


@given('first tokens after {seconds:g} seconds, {times:d} times')
def given_tokens(context, seconds, times):
    context.tokens = FirstTokens()
    _learn(context, seconds, times)


def _learn(context, seconds, times):
    for _ in range(times):
        context.tokens.learn(SERVICE, _TOKENS, seconds)


@when('one token arrives after {seconds:g} seconds')
def when_one_comes(context, seconds):
    _learn(context, seconds, 1)


@then('the next is expected after {least:g} to {most:g} seconds')
def then_expected(context, least, most):
    found = context.tokens.seconds(SERVICE, _TOKENS)
    assert least <= found <= most, found


@then(
    'after {times:d} more that arrive after {seconds:g} seconds it is expected'
    ' after {least:g} to {most:g}',
)
def then_expected_later(context, times, seconds, least, most):
    _learn(context, seconds, times)
    then_expected(context, least, most)


@given(
    'a "{kind}" route with a target latency of {aim:g} and pauses of {pause:g} seconds'
)
def given_route(context, kind, aim, pause):
    context.route = route(kind, aim=aim, pause=pause)


@then(
    'with {usual:g} expected seconds its silence limits are {first} and {between}'
)
def then_limits(context, usual, first, between):
    limits = silence_limits_of(context.route, usual)
    wanted = [None if one == 'none' else float(one) for one in (first, between)]
    assert [limits.first, limits.between] == wanted, limits


@then('no upstream is a candidate of an unproven request with a prompt')
def then_no_candidates(context):
    assert candidates_of_unproven([], 'content', 'subject') == []


@given('{count:d} idle model engines in one domain')
def given_many_engines(context, count):
    context.views = [
        UpstreamView(f'e{place}', f'10.0.1.{place}:1', 'a', 64)
        for place in range(count)
    ]


@given('a quarter of them have reported {count:d} running requests')
def given_reports(context, count):
    for view in context.views[::4]:
        view.running = count
        view.load_at = 0


def _short_prompts(heads, users):
    for user in range(users):
        head = f'head{user % heads}'
        yield ((head, 120), (f'user{user}', 80), ('own', 600))


@then(
    'prompts of {heads:d} heads and {users:d} users are read at'
    ' {most:d} engines at most'
)
def then_few_engines(context, heads, users, most):
    chosen = {
        _engine_for(context, prompt, None).ident
        for prompt in _short_prompts(heads, users)
    }
    assert len(chosen) <= most, len(chosen)


@then('prompts of {heads:d} heads and {users:d} users go to their home engines')
def then_at_home(context, heads, users):
    for prompt in _short_prompts(heads, users):
        chosen = _engine_for(context, prompt, None)
        assert chosen is home_engine(context.views, prompt[0][0]), prompt


@when('the home engine of "{subject}" takes {factor:g} times the usual time')
def when_slow_home(context, subject, factor):
    home = home_engine(context.views, subject)
    context.time_factor = lambda view: factor if view is home else 1.0


@then('{count:d} prompts of "{subject}" go to one other engine')
def then_one_other(context, count, subject):
    prompt = ((subject, 4000), ('own', 6000))
    chosen = {
        select_engine(
            context.views,
            0,
            'a',
            Random(seed),
            prompt,
            _TOKEN_SECONDS,
            time_factor=context.time_factor,
            transfer_seconds=lambda view, tokens: 0.01,
        ).ident
        for seed in range(count)
    }
    assert len(chosen) == 1, chosen
    assert chosen != {home_engine(context.views, subject).ident}
