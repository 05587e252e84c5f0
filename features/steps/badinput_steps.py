"""Steps that send wrong requests, bytes and settings."""

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
_GOOD = b'{"input": "a leak"}'
_SEED = 11


class _Case:
    """A request with one thing wrong."""

    def __init__(
        self,
        path=_PATH,
        key=_KEY,
        body=_GOOD,
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


async def _sent(base, case):
    response = await agent_for(reactor).request(
        case.method,
        (base + case.path).encode(),
        Headers(case.headers),
        BytesProducer(case.body),
    )
    return response.code, msgspec.json.decode(await readBody(response))


@when('the bad request "{name}" is sent')
def send_bad(context, name):
    answered = result_of(_sent(context.host.base, _CASES[name]))
    context.status = answered[0]
    context.problem = answered[1]


@then('it is refused with {status:d} and a reason that says "{reason}"')
def refused(context, status, reason):
    assert context.status == status, (context.status, context.problem)
    assert reason in context.problem['title'], context.problem
    assert context.problem['outcome'] == 'not-run', context.problem


@then('no upstream ran anything for the bad one')
def nothing_ran(context):
    stages = len(context.host.manifest.pipelines['draft-ticket'].stages)
    assert context.host.runs() == stages, context.host.runs()


@then('a right request beside the bad one is answered')
def right_answered(context):
    call = pipeline_client(reactor, persistent=False)
    answer = result_of(
        call(context.host.base, 'draft-ticket', _KEY, 'a leak'),
    )
    assert answer.outcome == 'answered', answer


class _Noise(Protocol):
    """Sends bytes and waits for the end."""

    def __init__(self, noise):
        self.noise = noise
        self.closed = Deferred()

    def connectionMade(self):
        self.transport.write(self.noise)
        self.transport.loseWriteConnection()

    def connectionLost(self, reason):
        self.closed.callback(None)


@when('{count:d} connections send seeded random bytes to the bad input host')
def send_noise(context, count):
    rng = random.Random(_SEED)
    port = context.host.port.getHost().port
    for _ in range(count):
        endpoint = TCP4ClientEndpoint(reactor, '127.0.0.1', port)
        noise = _Noise(b'%s\r\n\r\n' % rng.randbytes(rng.randint(1, 5000)))
        protocol = result_of(connectProtocol(endpoint, noise))
        result_of(protocol.closed)


@when('the entry command is run with bad input "{arguments}"')
def run_entry(context, arguments):
    context.finished = run_command('entry', *arguments.split())


@then('it exits with {code:d} and {count:d} lines for its bad input')
def exit_lines(context, code, count):
    finished = context.finished
    assert finished.returncode == code, finished
    lines = finished.stderr.splitlines()
    assert len(lines) == count, lines
