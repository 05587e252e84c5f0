"""Steps for hosts that are overloaded."""

from behave import given, then, when
from twisted.internet.task import Clock

from pollenstile.forward import CallerFactory, ConnectionGate

_STEP_SECONDS = 0.01
# Callers' address as Twisted gives it; the factory does not use it.
_ADDRESS = None


def _host(context, descriptors=0):
    context.clock = Clock()
    context.logged = []
    context.gate = ConnectionGate(
        context.clock,
        descriptors,
        lambda event, **fields: context.logged.append(event.name),
    )
    context.factory = CallerFactory(None, context.clock, context.gate)
    context.gate.start()


def _accepted(context, count):
    built = [context.factory.buildProtocol(_ADDRESS) for _ in range(count)]
    return sum(protocol is not None for protocol in built)


@given('a host that accepts callers')
def given_host(context):
    _host(context)


@given('a host that accepts callers, with {descriptors:d} descriptors')
def given_descriptors(context, descriptors):
    _host(context, descriptors)


def _run_in_time(context, seconds):
    for _ in range(round(seconds / _STEP_SECONDS)):
        context.clock.advance(_STEP_SECONDS)


def _run(context, late, pause, seconds):
    """Let timers run late once after each pause, and in time meanwhile."""
    end = context.clock.seconds() + seconds
    while context.clock.seconds() < end:
        _run_in_time(context, pause)
        context.clock.advance(late)


@when('its loop runs {late:g} seconds late for {seconds:g} seconds')
def when_late(context, late, seconds):
    _run(context, late, 0.0, seconds)


@when(
    'its loop runs {late:g} seconds late, each {pause:g} seconds, for {seconds:g}'
    ' seconds'
)
def when_late_at_times(context, late, pause, seconds):
    _run(context, late, pause, seconds)


@when('its loop is in time for {seconds:g} seconds')
def when_in_time(context, seconds):
    _run_in_time(context, seconds)


@when('{count:d} callers are connected')
def when_connected(context, count):
    context.factory.channels.update(range(count))


@then('it closes at least {least:d} of {count:d} new connections unread')
def then_closes(context, least, count):
    assert count - _accepted(context, count) >= least


@then('it accepts {expected:d} of {count:d} new connections')
def then_accepts(context, expected, count):
    assert _accepted(context, count) == expected


@then('it accepts at least {least:d} of {count:d} new connections')
def then_accepts_few(context, least, count):
    assert _accepted(context, count) >= least


@then('it logs that it is overloaded once')
def then_logs(context):
    assert context.logged == ['overloaded'], context.logged
