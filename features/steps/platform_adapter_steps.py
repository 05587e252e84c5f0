"""Steps for the adapter of the users' platform."""

import pathlib
import re
import subprocess  # noqa: S404
import sys
from functools import partial

import msgspec
from behave import given, then, when
from twisted.internet.defer import Deferred

from features.builders.registry import entry
from features.builders.stagework import group, pieces_of, workers
from pollenstile.forward import WatchedSettings
from pollenstile.platform import FailedCall, Reply
from pollenstile.routes import Kind

_ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
_FOLDER = _ROOT / 'platform'
if str(_FOLDER) not in sys.path:
    sys.path.append(str(_FOLDER))

from adapter.batches import BatchCodec  # noqa: E402
from adapter.documents import decode_table, decode_upstream  # noqa: E402
from adapter.objects import ObjectStore  # noqa: E402
from adapter.settings import (  # noqa: E402
    SettingsFileError,
    read_settings,
)

_SETTINGS = {
    'node_name': 'front-a-1',
    'zone': 'zone-a',
    'ip': '10.1.0.4',
    'listen.front': '10.1.0.4:8625',
    'listen.ready': '10.1.0.4:8621',
    'internal_ports': '7740,7755',
    'bounds.revoke_ms': '5000',
    'bounds.retry_ratio': '0.2',
    'bounds.retry_slack': '58',
    'bounds.budget_window_s': '10',
    'bounds.grace_s': '8',
    'platform.address': '10.9.0.7:8624',
    'a.field': 'that is new',
}
_FAULTS = {
    'no zone': {'zone': None},
    'a port that is text': {'listen.front': '10.1.0.4:http'},
    'a ratio that is text': {'bounds.retry_ratio': 'much'},
}
_ROUTES = [
    {
        'name': 'r1',
        'host': 'H.example',
        'path_prefix': '/a/',
        'kind': 'idempotent',
        'timeout_ms': 1500,
        'service': 'desk',
    },
    {
        'name': 'r2',
        'host': 'h.example',
        'path_prefix': '/a/b/',
        'kind': 'streaming',
        'timeout_ms': 15000,
        'target_latency_ms': 2300,
        'backends': [
            {'service': 'm1', 'weight': 90},
            {'service': 'm2', 'weight': 10},
        ],
        'stages': [
            {'service': 'intake', 'bytes': 8000},
            {'service': 'portal', 'after': [0], 'bytes': 60000},
        ],
        'resumable': True,
        'a_new_field': 1,
    },
]
_CONFIG = {
    'version': 7,
    'routes': _ROUTES,
    'services': [
        {
            'name': 'intake',
            'segments': {
                'slots': 1,
                'batch': 8,
                'call_ms': 240.0,
                'item_ms': 25.5,
                'headroom_mb': 9.33,
                'handle_s': 4.0,
            },
        },
        {'name': 'm1', 'engine': {'slots': 64, 'kv_capacity': 487542}},
    ],
    'tenants': [{'name': 't1', 'api_keys': ['k1'], 'priority': 1}],
}
_OBJECT = {'metadata': {'name': 'main', 'revision': 12}, 'spec': {'a': 1}}
_ANSWERS = {
    'an object': Reply(200, msgspec.json.encode(_OBJECT)),
    '404': Reply(404, b''),
    '410': Reply(410, b''),
    '429': Reply(429, b''),
    '500': Reply(500, b''),
    '503': Reply(503, b'', 1.0),
    'nothing': FailedCall(connected=True, reason='TimeoutError'),
    'no connection': FailedCall(connected=False, reason='ConnectionRefused'),
    'something else': Reply(200, b'<html>'),
    'a conflict': Reply(409, msgspec.json.encode(_OBJECT)),
    'a page': Reply(
        200,
        msgspec.json.encode({'items': [_OBJECT], 'current_rev': 530}),
    ),
    'events': Reply(
        200,
        msgspec.json.encode(
            {
                'events': [{'tombstone': True, 'object': _OBJECT}],
                'current_rev': 533,
            },
        ),
    ),
}
# Wire names of the platform that no other protocol of this project uses.
_NAMES = re.compile(
    'x-response-stamp|x-expect-instance|x-segment|x-token-usage'
    '|x-prompt-prefix|x-server-load|stage-run|stage-free|headroom_mb'
    '|api_keys|current_rev|target_latency|node_name',
    re.IGNORECASE,
)


class _FakeClient:
    """HTTP client that returns given responses in order."""

    peer = '10.9.0.7:8624'

    def __init__(self, replies):
        self.replies = list(replies)
        self.methods = []

    async def call(self, method, path, body=None, timeout=None, fresh=False):
        """Return the next response."""
        self.methods.append(method)
        return self.replies.pop(0)


def _write_settings(changes):
    fields = {**_SETTINGS, **changes}
    lines = [f'{name}={one}' for name, one in fields.items() if one is not None]
    path = _ROOT / 'target' / 'settings-of-a-test.conf'
    path.parent.mkdir(exist_ok=True)
    path.write_text('\n'.join(lines), encoding='utf8')
    return path


def _read_settings(changes):
    path = _write_settings(changes)
    try:
        return read_settings(path)
    except SettingsFileError as error:
        return error
    finally:
        path.unlink()


@given('a settings file of the platform that is watched')
def given_watched(context):
    path = _write_settings({})
    context.add_cleanup(path.unlink)
    context.watched = WatchedSettings(partial(read_settings, path))
    context.applied = []
    context.lines = []


@when('its revocation bound is set to {value}')
def when_bound(context, value):
    _write_settings({'bounds.revoke_ms': value})
    for _ in range(3):
        context.watched.poll(context.applied.append, _reason_log(context.lines))


def _reason_log(lines):
    def log(event, level='info', **fields):
        lines.append(fields['reason'])

    return log


@then('the host applies {seconds:d} seconds')
def then_applies(context, seconds):
    found = [one.host.revoke_seconds for one in context.applied]
    assert found == [seconds], found


@then('the host applies nothing more, and one log line names "{field}"')
def then_applies_nothing(context, field):
    assert len(context.applied) == 1
    assert len(context.lines) == 1, context.lines
    assert field in context.lines[0]


@given('a settings file of the platform')
def given_settings(context):
    context.settings = _read_settings({})


@given('a settings file of the platform with {fault}')
def given_wrong_settings(context, fault):
    context.settings = _read_settings(_FAULTS[fault])


@then(
    'its settings have the host "{host}" in "{domain}" and the store "{store}"'
)
def then_settings(context, host, domain, store):
    found = context.settings
    assert (found.host.host, found.host.domain) == (host, domain), found
    assert '{}:{}'.format(*found.store) == store
    assert found.host.peers == ('10.1.0.4', 7740)


@then('it is rejected with one line that names "{field}"')
def then_settings_refused(context, field):
    line = str(context.settings)
    assert isinstance(context.settings, SettingsFileError)
    assert field in line, line
    assert '\n' not in line


@given('a configuration of the platform')
def given_config(context):
    context.routes = decode_table(_CONFIG)


@given('a configuration of the platform with a route of an unknown kind')
def given_bad_config(context):
    routes = [{**_ROUTES[0], 'kind': 'sometimes'}]
    context.document = {**_CONFIG, 'routes': routes}


@then('decoding it fails and names the route')
def then_decode_fails(context):
    try:
        decode_table(context.document)
    except ValueError as error:
        assert 'r1' in str(error), error
        return
    raise AssertionError('it was decoded')


@then('the longest prefix of "{host}" is "{prefix}" and goes to two services')
def then_prefix(context, host, prefix):
    route = context.routes.by_host[host][0]
    assert route.prefix == prefix
    assert [target.weight for target in route.targets] == [90, 10]
    assert (route.kind, route.aim, route.timeout) == (Kind.STREAM, 2.3, 15)


@then('its steps are "{first}" and, after it, "{second}" with {size:d} bytes')
def then_steps(context, first, second, size):
    steps = context.routes.by_host['h.example'][0].steps
    assert [step.service for step in steps] == [first, second]
    assert (steps[1].after, steps[1].result_bytes) == ((0,), size)


@then(
    '"{name}" accepts {batch:d} pieces in {call:d} ms and has {result_memory:d} bytes of result memory'
)
def then_limits(context, name, batch, call, result_memory):
    stage = context.routes.services[name].stage
    assert (stage.batch, stage.call_seconds * 1000) == (batch, call)
    assert stage.room_bytes == result_memory


@then('the key "{key}" belongs to the team "{team}" with urgency {urgency:d}')
def then_key(context, key, team, urgency):
    found = context.routes.keys[key]
    assert (found.name, found.urgency) == (team, urgency)


@given('a registry entry of the platform that is draining')
def given_entry(context):
    context.entry = {
        'service': 'm1',
        'address': '10.2.0.3:80',
        'zone': 'zone-b',
        'slots': 64,
        'state': 'draining',
        'seq': 4,
    }


@given('a registry entry of the platform with the version {version}')
def given_entry_of_version(context, version):
    context.entry = entry(version=msgspec.json.decode(version))


@then('the decoded upstream has software "{software}"')
@then('the decoded upstream has software ""')
def then_software(context, software=''):
    assert decode_upstream('i-1', context.entry).software == software


@then('the decoded upstream is invalid')
def then_undecoded(context):
    assert decode_upstream('i-1', context.entry) is None


@then('the upstream is leaving, with its service, address and domain')
def then_upstream(context):
    found = decode_upstream('i-1', context.entry)
    assert found.leaving
    assert (found.ident, found.service, found.address, found.domain) == (
        'i-1',
        'm1',
        '10.2.0.3:80',
        'zone-b',
    )


@then('a malformed entry gives no upstream')
def then_no_upstream(context):
    assert decode_upstream('i-1', {'service': 3}) is None


@given("the platform's store answers {answer} and then {second}")
def given_two_answers(context, answer, second):
    context.client = _FakeClient([_ANSWERS[answer], _ANSWERS[second]])


@given("the platform's store answers {answer}")
def given_answer(context, answer):
    context.client = _FakeClient([_ANSWERS[answer]])


@then('the store call {call} returns {outcome}')
def then_outcome(context, call, outcome):
    store = ObjectStore(context.client)
    calls = {
        'get': lambda: store.get('config', 'main'),
        'list': lambda: store.listed('upstreams'),
        'watch': lambda: store.watched('upstreams', 530),
        'put': lambda: store.put('hosts', 'a', {'b': 1}),
    }
    found = []
    Deferred.fromCoroutine(calls[call]()).addBoth(found.append)
    assert type(found[0]).__name__ == outcome, found


@then('the store was called with "{first}" and then "{second}"')
def then_called(context, first, second):
    assert context.client.methods == [first, second]


@given('a batch of a piece with a key and of one with inputs')
def given_batch(context):
    first = group('r1', key='k1', deadline=2.0)
    second = group('r2', inputs=('10.0.0.1:1/a',), step=2, deadline=3.0)
    context.batch = pieces_of(first, second)


@then('its body has key, inputs, numbers and remaining time')
def then_batch(context):
    worker = workers('a')[0]
    _, _, body = BatchCodec().batch(worker, context.batch, 1.0)
    first, second = msgspec.json.decode(body)['items']
    assert first == {
        'id': 'r1',
        'stage': 0,
        'segment': 0,
        'remaining_ms': 1000,
        'key': 'k1',
    }
    assert second['inputs'] == ['10.0.0.1:1/a']
    assert 'key' not in second


@then('results of another count or in a malformed body are rejected')
def then_no_results(context):
    codec = BatchCodec()
    one = b'{"items":[{"handle":"10.0.0.1:1/a"}]}'
    assert codec.results(one, 1)[0].handle == '10.0.0.1:1/a'
    assert codec.results(one, 2) is None
    assert codec.results(b'<html>', 1) is None


@then('no file of pollenstile contains a wire name of the platform')
def then_no_names(context):
    for path in (_ROOT / 'pollenstile').rglob('*.py'):
        found = _NAMES.search(path.read_text(encoding='utf8'))
        assert found is None, (path, found)


@then('the adapter has fewer than {count:d} lines')
def then_small(context, count):
    files = _FOLDER.rglob('*.py')
    lines = sum(len(path.read_text().splitlines()) for path in files)
    assert lines < count, lines


@then("the standard library's module of the same name is found")
def then_standard_module(context):
    assert not (_FOLDER / '__init__.py').exists()
    code = 'import platform; print(platform.python_version())'
    done = subprocess.run(
        [sys.executable, '-c', code],
        cwd=_ROOT,
        stdout=subprocess.PIPE,
        text=True,
        check=True,
    )
    assert done.stdout.startswith('3.'), done.stdout
