"""Steps of the soak in virtual time."""

import contextlib
import io

from behave import given, then, when
from twisted.internet.task import Clock

from features.builders.mutations import without
from pollenstile.ops import _soakcmd
from pollenstile.ops.main import build_parser
from pollenstile.soak import run_soak
from pollenstile.soak._process import Process

_MAX_SEEDS = 12
# Arguments of the runs that have faults of their own.
_PLAYS = {
    'silences of upstreams': {'silences': True},
    'stops that requests outlast': {'graces': True},
    'endless engines': {'endless': True},
}


@then('soak seed {seed:d} of {steps:d} steps gives the same digest twice')
def step_same(context, seed, steps):
    digests = {run_soak(seed, steps).digest for _ in range(2)}
    assert len(digests) == 1, digests


@then(
    'soak seeds {one:d} and {other:d} of {steps:d} steps give different digests'
)
def step_different(context, one, other, steps):
    assert run_soak(one, steps).digest != run_soak(other, steps).digest


@when('soak seed {seed:d} of {steps:d} steps is run')
def step_run(context, seed, steps):
    context.result = run_soak(seed, steps)


@when('soak seed {seed:d} of {steps:d} steps is run with returns of the store')
def step_run_returns(context, seed, steps):
    context.result = run_soak(seed, steps, returns=True)


@when('soak seeds {first:d} to {last:d} of {steps:d} steps are run with {what}')
def step_run_with(context, first, last, steps, what):
    plays = _PLAYS[what]
    context.results = [
        run_soak(seed, steps, **plays) for seed in range(first, last + 1)
    ]


@then('these soaks broke no invariant and answered {least:d} requests or more')
def step_none_broken(context, least):
    for result in context.results:
        assert not result.violations, (result.seed, result.violations)
        # A run with few answers would test too little.
        assert result.outcomes['answered'] >= least, result.outcomes


@then('soaks of seed {seed:d} with graces and with endless engines repeat')
def step_repeat(context, seed):
    for plays in ({'graces': True}, {'endless': True}):
        digests = {run_soak(seed, 100, **plays).digest for _ in range(2)}
        assert len(digests) == 1, digests


@then('no answer of these soaks is cut off, and no other invariant is broken')
def step_none_cut_off(context):
    violations = {
        result.seed: result.violations
        for result in context.results
        if result.violations
    }
    assert not violations, violations
    for result in context.results:
        # A run with few answers would test too little.
        assert result.outcomes['answered'] > 100, result.outcomes


@then('no invariant of the soak is broken')
def step_not_broken(context):
    assert not context.result.violations, context.result.violations


@then('the soak has no violation and answers of every kind')
def step_holds(context):
    outcomes = context.result.outcomes
    assert not context.result.violations, context.result.violations
    # A run with few answers or few kinds of outcomes would test too little.
    assert outcomes['answered'] > sum(outcomes.values()) / 3, outcomes
    assert len(outcomes) >= 3, outcomes


@when('soaks from seed {seed:d} of {steps:d} steps are run without "{guard}"')
def step_run_without(context, seed, steps, guard):
    # Any change of the code changes the runs, so later seeds are tried too.
    context.runs = (
        _run_without(guard, number, steps)
        for number in range(seed, seed + _MAX_SEEDS)
    )


def _run_without(guard, seed, steps):
    command = ['soak', '--seed', str(seed), '--steps', str(steps)]
    parsed = build_parser().parse_args(command)
    written = io.StringIO()
    with without(guard), contextlib.redirect_stdout(written):
        code = _soakcmd.run(parsed)
    return seed, code, written.getvalue()


@then(
    'one of the soaks reports "{invariant}" with a tail and exit code {code:d}'
)
def step_reports(context, invariant, code):
    for seed, ended, printed in context.runs:
        expected = f'seed {seed} violation: {invariant} '
        if expected not in printed:
            continue
        assert ended == code, ended
        assert f'broken seeds: {seed}' in printed
        tail = [line for line in printed.splitlines() if line[0] == ' ']
        assert any('VIOLATION' in line for line in tail), tail
        return
    raise AssertionError(f'no soak has reported {invariant}')


@given('a soak process with a scheduled timer and a message in transit')
def step_process(context):
    context.clock = Clock()
    context.process = Process(context.clock)
    context.ran = []
    context.process.callLater(2, context.ran.append, 'timer')
    context.clock.callLater(
        1,
        context.process.deliver,
        context.ran.append,
        'message',
    )


@when('the soak process is killed')
def step_kill(context):
    context.process.kill()
    context.clock.pump([1, 1, 1])


@then('nothing of the soak process runs')
def step_silent(context):
    assert not context.ran, context.ran


@when('the soak process is frozen while both become due, then resumed')
def step_freeze(context):
    process = context.process
    cancelled = process.callLater(2.5, context.ran.append, 'cancelled')
    process.callLater(2.2, cancelled.cancel)
    process.freeze()
    context.clock.pump([1, 1, 1])
    assert not context.ran
    process.thaw()


@then('the soak process ran the timer, then the message')
def step_order(context):
    assert context.ran == ['timer', 'message'], context.ran


@then('"pollenstile {command}" is refused with exit code {code:d}')
def step_refused(context, command, code):
    with contextlib.redirect_stderr(io.StringIO()):
        try:
            build_parser().parse_args(command.split())
        except SystemExit as ended:
            assert ended.code == code, ended.code
            return
    raise AssertionError('the flags were accepted')
