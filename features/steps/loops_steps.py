"""Steps for loops that meet errors nobody foresaw."""

import gc
from unittest.mock import patch

from behave import given, then, when
from twisted.internet.defer import Deferred, fail

from features.builders.brokenloops import Injected, Injection, LoopHost
from features.builders.ratelimits import LimitedQueue
from pollenstile.ops.running import run_daemon
from pollenstile.ops.strays import report_strays
from pollenstile.ratelimits._allocators import Allocators
from pollenstile.relay import Cursor, RelayRequest, Source
from pollenstile.relay import _source as relay_source
from pollenstile.relay._messages import encode_request

_LINES = frozenset(('loop-failed', 'forward-crashed'))


@given('a running host in which {loop} will meet errors')
def given_running(context, loop):
    context.host = LoopHost(loop, at_start=False)
    context.add_cleanup(context.host.close)
    context.host.advance(3)
    assert context.host.daemon.is_ready()


@given('a starting host in which {loop} will meet errors')
def given_starting(context, loop):
    context.host = LoopHost(loop, at_start=True)
    context.add_cleanup(context.host.close)


@given('a starting host whose key of peers is a list')
def given_spoiled(context):
    context.host = LoopHost('', at_start=True, spoiled_key=[1])


@when('errors are met there twice')
def when_errors(context):
    context.host.injection.is_on = True
    context.host.advance(20)
    assert context.host.injection.raised == 2


@when('{seconds:d} seconds pass at the host')
def when_passes(context, seconds):
    context.host.advance(seconds)


@then('a line names the loop each time, and it goes on')
def then_goes_on(context):
    injected = [
        fields
        for name, fields in context.host.lines
        if name in _LINES and 'injected' in fields['error']
    ]
    assert len(injected) == 2, injected
    assert context.host.injection.passed, 'the loop has ended'


@then('the host is ready and follows changes')
def then_follows(context):
    context.host.advance(3)
    assert context.host.daemon.is_ready()
    context.host.change()
    context.host.advance(4)
    assert context.host.usable() == ['i-1', 'i-2']
    configuration = context.host.daemon.parts.core.configuration
    assert configuration.version == 2, configuration.version


@then('the host is registered')
def then_registered(context):
    assert context.host.daemon.parts.members.stored_entry


def _no_time():
    return 0.0


class _Followed:
    """A host's configuration, as the source of updates needs it."""

    found = None
    text = ''
    version = 0
    revision = 0

    def __init__(self, clock):
        self.clock = clock
        self.listeners = []
        self.loop = self
        self.read_at = 0.0

    def age(self):
        """Return that it was verified now."""
        return 0.0

    def is_settling(self):
        """Return that answers prove something."""
        return False

    def is_answering(self):
        """Return that no answer is being received."""
        return False

    def resumable_revision(self):
        """Return that reads can't be resumed."""
        return 0


@given('a host that other hosts follow')
def given_followed(context):
    context.host = LoopHost('', at_start=False)
    clock = context.host.clock
    context.source = Source('own', clock, _no_time, _Followed(clock))
    request = encode_request(RelayRequest('own', 0, (Cursor('x', 0),), 0.3))
    context.answers = []
    for _ in range(2):
        answer = context.source.answer('peer', request)
        answer.addBoth(context.answers.append)


@when("an update for a waiting follower can't be encoded")
def when_unencodable(context):
    encode = context.host.injection.around(relay_source.encode_update)
    context.host.injection.is_on = True
    context.host.injection.raised = 1
    with patch.object(relay_source, 'encode_update', encode):
        context.host.advance(1)


@then('the follower is refused, and the next one is answered')
def then_refused(context):
    refused, answered = context.answers
    assert refused.check(Injected), refused
    assert isinstance(answered, bytes)


@given('a program that reports stray errors')
def given_reported(context):
    context.lines = []

    def log(event, level='info', **fields):
        context.lines.append((event.name, fields))

    context.add_cleanup(report_strays(log))


@when('a step that nobody awaits fails')
def when_stray(context):
    fail(Injected('stray'))
    Deferred()
    gc.collect()


@then('a line "{name}" has its place')
def then_stray(context, name):
    found = [fields for line, fields in context.lines if line == name]
    assert len(found) == 1, context.lines
    assert found[0]['reason'] == 'Injected'


class _Reactor:
    """A reactor that runs what it is given, until it crashes."""

    def __init__(self):
        self.calls = []
        self.crashed = False

    def callWhenRunning(self, function):
        """Run a function later."""
        self.calls.append(function)

    def addSystemEventTrigger(self, *arguments):
        """Ignore what is done at the end."""

    def run(self):
        """Run what was given."""
        for function in self.calls:
            function()

    def crash(self):
        """Record the end."""
        self.crashed = True


class _Unstartable:
    """A daemon whose port is taken."""

    def start(self):
        """Fail."""
        raise Injected('taken')

    def stop(self):
        """Do nothing."""


@when('a program is run whose start fails')
def when_unstartable(context):
    context.lines = []

    def log(event, level='info', **fields):
        context.lines.append((event.name, fields))

    context.reactor = _Reactor()
    context.code = run_daemon(context.reactor, _Unstartable(), log)


@then('it ends with an exit code and a line "{name}"')
def then_ended(context, name):
    assert context.code
    assert context.reactor.crashed
    assert [line for line, _ in context.lines] == [name], context.lines


@given('a stage queue whose upstream states {rate:d} requests a second')
def given_limited(context, rate):
    context.queue = LimitedQueue(rate)


@when(
    'the first two grants meet errors, and {count:d} pieces wait for'
    ' {seconds:d} seconds'
)
def when_grants_fail(context, count, seconds):
    injection = Injection()
    injection.is_on = True
    answer = injection.around(Allocators.answer)
    context.count = count
    with patch.object(Allocators, 'answer', answer):
        context.queue.run(count, seconds)
    assert injection.raised == 2


@then('each piece is called for')
def then_called(context):
    called = context.queue.called_at
    assert len(called) == context.count, called
