"""Steps for requests through separate operating system processes."""

import signal
import tempfile

import msgspec
from behave import given, then, when
from twisted.internet import reactor
from twisted.web.client import readBody

from features.builders.loop import collect_result, result_of, run_reactor_until
from features.builders.processes import Processes, run_command, wait_for_line
from pollenstile.ops.agents import agent_for
from pollenstile.ops.client import pipeline_client

_KEY = 'dispatchers-example-key'
_PIPELINE = 'draft-ticket'
_DOMAINS = ('erie-hall', 'huron-hall', 'ontario-hall', 'michigan-hall')


def _base_url(started):
    return 'http://{}'.format(started['listen'])


def _call(context, number, *, stream=False, on_bytes=None):
    call = pipeline_client(reactor)
    options = {'stream': stream}
    if on_bytes:
        options['on_bytes'] = on_bytes
    base = _base_url(context.entries[number][1])
    return call(base, _PIPELINE, _KEY, 'no heat on the third floor', **options)


@given('the upstreams of "{path}" run as a thin path process')
def start_upstreams(context, path):
    context.processes = Processes()
    context.add_cleanup(context.processes.kill_all)
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.manifest_path = f'{folder.name}/placed.json'
    fleet = context.processes.start(
        'standin',
        'fleet',
        path,
        '--anywhere',
        context.manifest_path,
        # Makes streams long enough that a kill after their first bytes always
        # cuts them off.
        '--scale',
        '2',
    )
    wait_for_line(fleet.stdout, 'listens')


@given('the object API runs as a thin path process')
def start_platform(context):
    platform = context.processes.start('standin', 'objectapi')
    line = wait_for_line(platform.stdout, 'listens on')
    context.platform = line.split()[-1]


@given('the manifest is applied over the command line')
def apply_manifest(context):
    applied = run_command(
        'apply',
        context.manifest_path,
        '--platform',
        context.platform,
        '--reviewed-against',
        '0',
    )
    assert applied.returncode == 0, applied.stderr


@given('{count:d} entry hosts run as thin path processes')
def start_entries(context, count):
    context.entries = []
    for number in range(count):
        domain = _DOMAINS[number % len(_DOMAINS)]
        context.entries.append(
            context.processes.start_entry_host(
                f'{domain}-{number}',
                domain,
                context.platform,
            ),
        )
    for process, _ in context.entries:
        wait_for_line(process.stderr, 'config-in-force')


@when('each entry host is called once with the thin path')
def call_each(context):
    context.answers = []
    for number, _ in enumerate(context.entries):
        context.answers.append(result_of(_call(context, number)))


def _start_stream(context):
    seen = []
    results = collect_result(
        _call(context, 0, stream=True, on_bytes=seen.append),
    )
    run_reactor_until(lambda: seen or results)
    return results


@when('a stream at the first entry host has begun and the host is killed')
def kill_in_stream(context):
    results = _start_stream(context)
    context.entries[0][0].kill()
    run_reactor_until(lambda: results)
    context.cut_off = results[0]
    context.answers = []


@when('a stream at the first entry host has begun and the host is stopped')
def stop_in_stream(context):
    results = _start_stream(context)
    context.entries[0][0].send_signal(signal.SIGTERM)
    run_reactor_until(lambda: results)
    context.answers = [results[0]]


@when('the same request is sent to the second entry host')
def call_second(context):
    context.answers = [result_of(_call(context, 1))]


@then('every thin path answer is complete')
def answers_complete(context):
    assert context.answers
    for answer in context.answers:
        assert answer.outcome == 'answered', answer
        assert answer.document['output'], answer


@then("that caller's thin path answer is cut off and incomplete")
def answer_cut_off(context):
    assert context.cut_off.status == 0, context.cut_off
    assert context.cut_off.outcome == 'unknown', context.cut_off


async def _status(started):
    agent = agent_for(reactor)
    uri = 'http://{}/status'.format(started['admin'])
    response = await agent.request(b'GET', uri.encode())
    return msgspec.json.decode(await readBody(response))


@then('the remaining entry hosts report no broken invariant')
def no_broken_invariants(context):
    for _, started in context.entries[1:]:
        status = result_of(_status(started))
        assert status['broken_invariants'] == 0, status


@then("the first entry host's process ends with code {code:d}")
def process_ended(context, code):
    process, _ = context.entries[0]
    process.communicate()
    assert process.returncode == code, process.returncode
