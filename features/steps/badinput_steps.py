"""Steps that send invalid requests, random bytes and wrong settings."""

import random

import msgspec
from behave import given, then, when
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.protocol import Protocol
from twisted.web.client import readBody
from twisted.web.http_headers import Headers

from features.builders.entryhost import EntryHost
from features.builders.loop import result_of
from features.builders.processes import run_command
from pollenstile.ops.agents import agent_for
from pollenstile.ops.body import BytesProducer
from pollenstile.ops.client import pipeline_client

_PATH = '/v1/pipelines/draft-ticket'
_KEY = 'dispatchers-example-key'
_VALID_BODY = b'{"input": "a leak"}'
_RANDOM_SEED = 11


class _Case:
    """A request with one defect."""

    def __init__(
        self,
        path=_PATH,
        key=_KEY,
        body=_VALID_BODY,
        method=b'POST',
        **headers,
    ):
        self.path = path
        self.body = body
        self.method = method
        self.headers = {}
        if key:
            self.headers['authorization'] = [f'Bearer {key}']
        for name, content in headers.items():
            self.headers[name.replace('_', '-')] = [content]


_CASES = {
    'no key': _Case(key=''),
    'unknown key': _Case(key='guess'),
    'other team': _Case(key='invoicing-office-example-key'),
    'no pipeline': _Case(path='/v1/pipelines/none'),
    'no path': _Case(path='/v2/else'),
    'wrong method': _Case(method=b'PUT'),
    'not JSON': _Case(body=b'{"input": '),
    'no input': _Case(body=b'{"put": 1}'),
    'deep JSON': _Case(body=b'{"input": %s' % (b'[' * 100000)),
    'odd deadline': _Case(x_deadline_ms='soon'),
    'zero deadline': _Case(x_deadline_ms='0'),
    'long key': _Case(idempotency_key='k' * 300),
    'odd bytes': _Case(idempotency_key=b'k\xff'),
    'odd team key': _Case(key='', authorization=b'Bearer \xff'),
    'odd digits': _Case(x_deadline_ms='\u00b2'),
    'large body': _Case(body=b'"%s"' % (b'x' * 300000)),
    'short deadline': _Case(x_deadline_ms='5'),
}


@given('an entry host that serves the Kowalczyk example for bad input')
def start_host(context):
    context.host = EntryHost('examples/kowalczyk.yaml')
    context.add_cleanup(context.host.close)


async def _send(base, case):
    response = await agent_for(reactor).request(
        case.method,
        (base + case.path).encode(),
        Headers(case.headers),
        BytesProducer(case.body),
    )
    return response.code, msgspec.json.decode(await readBody(response))


@when('the bad request "{name}" is sent')
def send_bad_request(context, name):
    response = result_of(_send(context.host.base, _CASES[name]))
    context.status = response[0]
    context.problem = response[1]


@then('it is rejected with {status:d} and a reason that says "{reason}"')
def is_rejected(context, status, reason):
    assert context.status == status, (context.status, context.problem)
    assert reason in context.problem['title'], context.problem
    assert context.problem['outcome'] == 'not-run', context.problem


@then('no upstream ran a stage for the bad request')
def nothing_ran(context):
    stages = len(context.host.manifest.pipelines['draft-ticket'].stages)
    assert context.host.runs() == stages, context.host.runs()


@then('a valid request after the bad one is answered')
def valid_is_answered(context):
    call_pipeline = pipeline_client(reactor)
    answer = result_of(
        call_pipeline(context.host.base, 'draft-ticket', _KEY, 'a leak'),
    )
    assert answer.outcome == 'answered', answer


class _RandomBytesClient(Protocol):
    """Sends random bytes and waits until the connection is closed."""

    def __init__(self, payload):
        self.payload = payload
        self.closed = Deferred()

    def connectionMade(self):
        self.transport.write(self.payload)
        self.transport.loseWriteConnection()

    def connectionLost(self, reason):
        self.closed.callback(None)


@when('{count:d} connections send seeded random bytes to the bad input host')
def send_random_bytes(context, count):
    rng = random.Random(_RANDOM_SEED)
    port = context.host.port.getHost().port
    for _ in range(count):
        endpoint = TCP4ClientEndpoint(reactor, '127.0.0.1', port)
        client = _RandomBytesClient(
            b'%s\r\n\r\n' % rng.randbytes(rng.randint(1, 5000))
        )
        protocol = result_of(connectProtocol(endpoint, client))
        result_of(protocol.closed)


@when('the entry command is run with bad input "{arguments}"')
def run_entry(context, arguments):
    context.completed = run_command('entry', *arguments.split())


@then('it exits with {code:d} and {count:d} lines about its bad input')
def has_exit_lines(context, code, count):
    completed = context.completed
    assert completed.returncode == code, completed
    lines = completed.stderr.splitlines()
    assert len(lines) == count, lines
