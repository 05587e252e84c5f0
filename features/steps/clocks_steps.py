"""Steps of timers and a time of day that jumps."""

import pathlib

from behave import given, then, when
from twisted.internet.selectreactor import SelectReactor

from pollenstile.ops.clock import use_boot_clock

_ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
_DAEMONS = ('platform/adapter/start.py', 'pollenstile/ops/_entrycmd.py')


class _Times:
    """What the two clocks of a machine say, in seconds."""

    def __init__(self):
        self.day = 1000.0
        self.boot = 50.0

    def pass_by(self, seconds):
        """Let both clocks go on."""
        self.day += seconds
        self.boot += seconds


@given('a loop whose time of day can jump, with a timer of 10 seconds')
def given_loop(context):
    context.times = _Times()
    context.loop = SelectReactor()
    # What the library does unless it is told otherwise.
    context.loop.seconds = lambda: context.times.day
    use_boot_clock(context.loop, lambda: context.times.boot)
    context.fired = []
    context.loop.callLater(10, context.fired.append, 'timer')


@when('the time of day jumps by {jump:d} seconds')
def when_jumped(context, jump):
    context.times.day += jump


@when('{seconds:d} more seconds pass')
def when_passed(context, seconds):
    context.times.pass_by(seconds)


@then('the timer has not fired')
def then_not_fired(context):
    context.loop.runUntilCurrent()
    assert not context.fired


@then('the timer has fired')
def then_fired(context):
    context.loop.runUntilCurrent()
    assert context.fired == ['timer']


@then("each module that runs an entry host's loop makes it run steadily")
def then_all_steady(context):
    for name in _DAEMONS:
        text = (_ROOT / name).read_text(encoding='utf8')
        before, loop, _ = text.partition('reactor.run()')
        assert loop, name
        assert 'run_steadily(reactor)' in before, name
