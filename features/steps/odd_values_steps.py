"""Steps for values of other writers that decoders reject."""

import pathlib
import sys
from random import Random

from behave import given, then, when
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from features.builders.loop import advance_in_steps
from features.builders.oddvalues import (
    NAME,
    ODD,
    RawStore,
    encoded,
    events_of,
    page_of,
)
from features.builders.registry import SOUND, entry, wire_object
from pollenstile.forward import Configuration, PlainCodec
from pollenstile.platform import (
    HttpStore,
    Reply,
    Unavailable,
    read_host_list,
)
from pollenstile.relay import KindUpdate, RelayUpdate
from pollenstile.relay._messages import decode_update, encode_update
from pollenstile.upstream import wire

_FOLDER = pathlib.Path(__file__).resolve().parent.parent.parent / 'platform'
if str(_FOLDER) not in sys.path:
    sys.path.append(str(_FOLDER))

from adapter.batches import BatchCodec  # noqa: E402
from adapter.documents import decode_table, decode_upstream  # noqa: E402
from adapter.objects import ObjectStore  # noqa: E402

_KIND = 'upstreams'
_DEEP = ODD['1,100 lists in lists']
_REVOKE_SECONDS = 5.0
# Odd forms that are texts, whose characters are replaced.
_TEXT_FORMS = frozenset(
    (
        'a control character',
        'a byte that is no UTF-8',
        'half a surrogate pair',
        'a text of 900,000 bytes',
    )
)
_BETWEEN_SECONDS = 1.0
_NUMBERS = {
    'slots of 400 digits': {'slots': 10**400},
    'a start of 30 digits': {'born': 10**30},
    'a cold time without end': {'cold_left_ms': float('inf')},
    'a port above 65535': {'address': '10.0.0.1:99999'},
    'an address above 255': {'address': '10.0.0.256:80'},
}


class _Answered:
    """Answers each call with the same body."""

    peer = '10.9.0.7:8624'

    def __init__(self, body):
        self.body = body

    async def call(self, method, path, body=None, timeout=None, fresh=False):
        """Return the body."""
        return Reply(200, self.body)


def _outcome(work):
    found = []
    Deferred.fromCoroutine(work).addBoth(found.append)
    return found[0]


def _texts(version):
    return b'{"version": %d}' % version


@given('a page and a watch of the registry in which an entry holds {form}')
def given_answers(context, form):
    page = ObjectStore(_Answered(page_of(form)))
    events = ObjectStore(_Answered(events_of(form)))
    context.listing = _outcome(page.listed(_KIND))
    context.changes = _outcome(events.watched(_KIND, 1))


@then('both report the two sound upstreams')
def then_sound(context):
    listed = {found.name: found.value for found in context.listing.objects}
    watched = {change.name: change.value for change in context.changes.events}
    for values in (listed, watched):
        found = {
            name
            for name, value in values.items()
            if decode_upstream(name, value) is not None
        }
        assert found == set(SOUND), found


@then('each odd entry names itself, and is no upstream')
def then_named(context):
    odd = [
        change.name
        for change in context.changes.events
        if change.name.startswith(NAME) and change.value is not None
    ]
    assert odd == [f'{NAME}-slots', f'{NAME}-address', f'{NAME}-value'], odd


@then('a follower is told of the sound upstreams as well')
def then_relayed(context):
    news = KindUpdate(_KIND, 3, 9, True, context.changes.events)
    update = RelayUpdate('h', has_store=True, kind_updates=(news,))
    told = decode_update(encode_update(update)).kind_updates[0].changes
    found = {
        change.name
        for change in told
        if decode_upstream(change.name, change.value) is not None
    }
    assert found == set(SOUND), found
    assert len(told) == len(context.changes.events)


@given('a host whose configuration is in force')
def given_configured(context):
    context.clock = Clock()
    context.store = RawStore()
    context.store.put('main', _texts(1))
    context.lines = []
    context.configuration = Configuration(
        ObjectStore(context.store),
        context.clock,
        context.clock.seconds,
        Random(1),
        decode_table,
        _REVOKE_SECONDS,
        lambda event, level='info', **fields: context.lines.append(event.name),
    )
    Deferred.fromCoroutine(context.configuration.loop.run())
    advance_in_steps(context.clock, _BETWEEN_SECONDS)
    assert context.configuration.version == 1


@when('each odd value is written as its configuration, and then a sound one')
def when_odd_configurations(context):
    for text in ODD.values():
        context.store.put('main', text or b'null')
        advance_in_steps(context.clock, _BETWEEN_SECONDS)
    assert context.configuration.version == 1
    context.store.put('main', _texts(2))


@then('the sound one is in force within 2 seconds')
def then_in_force(context):
    advance_in_steps(context.clock, 2)
    assert context.configuration.version == 2, context.lines


@given('a registry entry of another writer with {number}')
def given_number(context, number):
    context.value = entry(**_NUMBERS[number])


@then('it is no upstream')
def then_no_upstream(context):
    assert decode_upstream(NAME, context.value) is None


@when('{reader} is nested 1,100 levels deep')
def when_nested(context, reader):
    context.read = _READERS[reader]()


@then('it is read as one that is malformed')
def then_malformed(context):
    assert context.read is None or isinstance(context.read, Unavailable)


@given('a list of the object API in which a value is nested 1,100 times')
def given_api_list(context):
    rows = (
        b'{"kind": "k", "name": "a", "version": 1, "value": %s}' % _DEEP,
        b'{"kind": "k", "name": "b", "version": 2, "value": {}}',
    )
    body = b'{"objects": [%s], "revision": 2}' % b', '.join(rows)
    context.listing = _outcome(HttpStore(_Answered(body)).listed('k'))


@then('the other value is listed')
def then_listed(context):
    found = {one.name: one.value for one in context.listing.objects}
    assert found['b'] == {}, found
    assert set(found) == {'a', 'b'}


def _hosts():
    row = b'{"name": "h", "more": %s}' % _DEEP
    return _outcome(read_host_list(_Answered(b'[%s]' % row)))


def _reply():
    try:
        return wire.decode_plain_reply(
            b'{"attempt": "a", "output": %s}' % _DEEP
        )
    except wire.DECODE_ERRORS:
        return None


def _results():
    row = b'{"handle": "10.0.0.1:1/a", "more": %s}' % _DEEP
    return BatchCodec().results(b'{"items": [%s]}' % row, 1)


def _plain_results():
    return PlainCodec().results(_DEEP, 1)


def _report():
    return PlainCodec().report_born(b'{"more": %s}' % _DEEP)


_READERS = {
    'a batch of results': _results,
    'a plain batch of results': _plain_results,
    'a report': _report,
    'a list of hosts': _hosts,
    'a reply of a service': _reply,
}


@given(
    "a page of the registry in which another writer's {field} is each odd value"
)
def given_field(context, field):
    context.found = {}
    for form in ODD:
        rows = [wire_object(NAME, entry(**{field: '@odd'}))]
        page = encoded({'items': rows, 'current_rev': 9}, form)
        listing = _outcome(ObjectStore(_Answered(page)).listed(_KIND))
        found = listing.objects[0]
        context.found[form] = decode_upstream(NAME, found.value)


@then('no entry of that writer is an upstream but those with a sound text')
def then_texts_only(context):
    used = {form for form, found in context.found.items() if found is not None}
    assert used <= _TEXT_FORMS, used


@when('a configuration is written whose tenants are out of range')
def when_keys_unreadable(context):
    context.store.put('main', b'{"version": 2, "tenants": 1e999}')
    advance_in_steps(context.clock, 4)


@then('the first one stays in force')
def then_first(context):
    assert context.configuration.version == 1
    assert 'configuration-bad' in context.lines, context.lines
