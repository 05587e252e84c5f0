"""Steps for timers while the time of day jumps."""

import pathlib

from behave import given, then, when
from twisted.internet.selectreactor import SelectReactor

from pollenstile.ops.clock import use_boot_clock

_ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
_DAEMONS = (
    'platform/adapter/start.py',
    'pollenstile/ops/_entrycmd.py',
    'pollenstile/ops/_forwardcmd.py',
)


class _Clocks:
    """Readings of the two clocks of a machine, in seconds."""

    def __init__(self):
        self.time_of_day = 1000.0
        self.boot_time = 50.0

    def advance(self, seconds):
        """Advance both clocks."""
        self.time_of_day += seconds
        self.boot_time += seconds


@given('a reactor whose time of day can jump, with a timer of 10 seconds')
def given_reactor(context):
    context.clocks = _Clocks()
    context.reactor = SelectReactor()
    # The default of the library.
    context.reactor.seconds = lambda: context.clocks.time_of_day
    use_boot_clock(context.reactor, lambda: context.clocks.boot_time)
    context.fired = []
    context.reactor.callLater(10, context.fired.append, 'timer')


@when('the time of day jumps by {jump:d} seconds')
def when_jumped(context, jump):
    context.clocks.time_of_day += jump


@when('{seconds:d} more seconds pass')
def when_passed(context, seconds):
    context.clocks.advance(seconds)


@then('the timer has not fired')
def then_not_fired(context):
    context.reactor.runUntilCurrent()
    assert not context.fired


@then('the timer has fired')
def then_fired(context):
    context.reactor.runUntilCurrent()
    assert context.fired == ['timer']


@then("each module that runs an entry host's reactor sets the boot clock")
def then_all_use_boot_clock(context):
    for name in _DAEMONS:
        text = (_ROOT / name).read_text(encoding='utf8')
        before, run_call, _ = text.partition('run_daemon(reactor,')
        assert run_call, name
        assert 'use_boot_clock(reactor)' in before, name
