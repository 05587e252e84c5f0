"""Steps for versions of objects over returns of the store."""

from behave import given, then, when
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from pollenstile.platform import (
    Compacted,
    Conflict,
    EraStore,
    Found,
    InDoubt,
    Superseded,
    Unavailable,
    Written,
    field_mark,
    list_all,
    parse_era,
    put_with_readback,
    StoreEra,
)
from pollenstile.standin.objectapi import MemoryStore

_KIND = 'things'
_BIG = 'x' * 600_000


def _result(coroutine):
    results = []
    Deferred.fromCoroutine(coroutine).addCallback(results.append)
    return results[0] if results else None


class _HeldStore:
    """Delivers the outcomes of calls only when the test says so."""

    def __init__(self, store):
        self.store = store
        self.held = []
        self.holding = False

    def __getattr__(self, name):
        call = getattr(self.store, name)

        async def called(*arguments, **options):
            outcome = await call(*arguments, **options)
            if self.holding:
                gate = Deferred()
                self.held.append(gate)
                await gate
            return outcome

        return called


class _ReturningStore:
    """Lets the store return to a copy before the first read."""

    def __init__(self, context, copy):
        self.context = context
        self.copy = copy

    async def get(self, *arguments):
        """Read an object after the return."""
        if self.copy is not None:
            self.context.memory.return_from(self.copy)
        self.copy = None
        return await self.context.client.get(*arguments)

    async def put(self, *arguments):
        """Write an object."""
        return await self.context.client.put(*arguments)


@given('a store that states its era, and a client of it')
def given_store(context):
    clock = Clock()
    context.memory = MemoryStore(clock)
    context.memory.objects.era = 1
    context.gate = _HeldStore(context.memory)
    context.eras = StoreEra()
    context.client = EraStore(context.gate, context.eras)
    context.copies = []
    context.versions = []
    for number in range(6):
        context.copies.append(context.memory.objects.copy())
        outcome = _result(context.client.put(_KIND, 'a', number))
        context.versions.append(outcome.version)


def _return_to(context, lost):
    context.memory.return_from(context.copies[-lost])


@when(
    'the store returns to before its last {lost:d} writes, and is written once'
)
def when_returns(context, lost):
    _return_to(context, lost)
    context.written = _result(context.client.put(_KIND, 'b', 'new'))


@when(
    'the store returns twice to before its last {lost:d} writes, and is written'
    ' once'
)
def when_returns_twice(context, lost):
    _return_to(context, lost)
    when_returns(context, lost)


@then('the version of the written object is higher than all before')
def then_higher(context):
    assert isinstance(context.written, Written)
    assert context.written.version > max(context.versions)
    found = _result(context.client.get(_KIND, 'b'))
    assert found.version == context.written.version


@when(
    'a watch is to go on, and the store returns to before its last {lost:d}'
    ' writes, and is written {count:d} times'
)
def when_watch_goes_on(context, lost, count):
    since = _result(context.client.listed(_KIND)).revision
    _return_to(context, lost)
    for number in range(count):
        context.memory.write_at_once(_KIND, 'c', number)
    context.outcome = _result(context.client.watched(_KIND, since))


@then('the watch has to list again')
def then_lists(context):
    assert isinstance(context.outcome, Compacted), context.outcome


@when('the store returns, and gives a read version to another content')
def when_given_again(context):
    found = _result(context.client.get(_KIND, 'a'))
    context.condition = found.version
    _return_to(context, 1)
    context.memory.write_at_once(_KIND, 'a', 'of another writer')


@when('the client has heard of it')
def when_heard(context):
    _result(context.client.get(_KIND, 'other'))


@then('its write on that version is refused without a call')
def then_refused(context):
    calls = context.memory.calls['put']
    outcome = _result(context.client.put(_KIND, 'a', 'mine', context.condition))
    assert isinstance(outcome, Conflict), outcome
    assert context.memory.calls['put'] == calls
    found = _result(context.client.get(_KIND, 'a'))
    assert found.value == 'of another writer'


@then("the client's write on that version ends in conflict")
def then_conflict(context):
    outcome = _result(context.client.put(_KIND, 'a', 'mine', context.condition))
    assert isinstance(outcome, Conflict), outcome


@when(
    'the client hears of the return before a read and a write of the earlier'
    ' era are answered'
)
def when_late(context):
    context.late = []
    context.gate.holding = True
    for call in (
        context.client.get(_KIND, 'a'),
        context.client.put(_KIND, 'a', 'late'),
    ):
        Deferred.fromCoroutine(call).addCallback(context.late.append)
    context.gate.holding = False
    _return_to(context, 1)
    assert isinstance(_result(context.client.get(_KIND, 'a')), Found)
    for gate in context.gate.held:
        gate.callback(None)


@then('the read is unavailable and the write is in doubt')
def then_late(context):
    read, write = context.late
    assert isinstance(read, Unavailable), read
    assert isinstance(write, InDoubt), write


@when('the store returns between two pages of a list')
def when_pages(context):
    for number in range(4):
        context.memory.write_at_once(_KIND, f'page-{number}', _BIG)
    context.gate.holding = True
    context.pages = []
    call = Deferred.fromCoroutine(list_all(context.client, _KIND))
    call.addCallback(context.pages.append)
    context.memory.return_from(context.memory.objects.copy())
    while context.gate.held:
        context.gate.held.pop(0).callback(None)


@then('the list is unavailable')
def then_list_unavailable(context):
    assert isinstance(context.pages[0], Unavailable), context.pages


@when('an answer states the era "{text}"')
@when('an answer states the era ""')
def when_states(context, text=''):
    context.eras.note(parse_era(text))


@then('the known era is {number:d}')
def then_known(context, number):
    assert context.eras.number == number


@given("the client's next put is applied without an answer")
def given_in_doubt(context):
    context.memory.lose_answers = 1


@when('the client puts, and the store returns to before it')
def when_puts(context):
    found = _result(context.client.get(_KIND, 'a'))
    copy = context.memory.objects.copy()
    context.outcome = _result(
        put_with_readback(
            _ReturningStore(context, copy),
            _KIND,
            'a',
            {'mark': 'mine'},
            found.version,
            field_mark('mark'),
        )
    )


@then('the put is superseded, and never said to be written')
def then_superseded(context):
    assert isinstance(context.outcome, Superseded), context.outcome
