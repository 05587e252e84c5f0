"""``pollenstile bench floor``: processor time compared to a bare forwarder.

Explanation
===========

Callers, upstreams, the forwarder and the entry host share one process, so the
processor time of a direct call is subtracted to get the time of the forwarder
or of the entry host alone. Rounds of the three request paths alternate, and the
median of each path is used. The garbage collector is configured as in the
daemon for all three.
"""

import hashlib
import random
import statistics
import time
from dataclasses import dataclass

from twisted.internet.defer import Deferred, gatherResults
from twisted.web.client import HTTPConnectionPool, readBody
from twisted.web.http_headers import Headers

from pollenstile.bench.forwarder import forwarder_site
from pollenstile.entry import CallerResource, address_of, build_node
from pollenstile.manifest import (
    Domain,
    Manifest,
    Model,
    Pipeline,
    Pool,
    Stage,
    Team,
    Upstream,
    text_from_manifest,
)
from pollenstile.ops.agents import agent_for
from pollenstile.ops.body import BytesProducer
from pollenstile.ops.collector import configure_garbage_collector
from pollenstile.ops.exits import GOOD
from pollenstile.ops.http import site_for
from pollenstile.ops.logs import configure_logs, event_log
from pollenstile.ops.running import result_of
from pollenstile.ops.settings import ENTRY, settings_from
from pollenstile.standin.engine import Engine, EngineResource
from pollenstile.standin.plain import PlainResource, PlainServer
from pollenstile.upstream import http_transport, wire

_LOCAL = '127.0.0.1'
_KEY = 'floor-key'
_FEW_TOKENS = 16
_MANY_TOKENS = 144
_SLOTS = 1024
_SEED = 1
_MICRO = 1000000
_PATHS = ('direct', 'forwarder', 'entry')


@dataclass(slots=True, frozen=True)
class Target:
    """URI and request body of one request path."""

    uri: bytes
    document: bytes


def add_parser(benches):
    """Add ``bench floor``."""
    parser = benches.add_parser(
        'floor', help='entry host compared to a bare forwarder'
    )
    parser.add_argument('--requests', type=int, default=400, help='per round')
    parser.add_argument('--rounds', type=int, default=7, help='of each path')
    parser.add_argument(
        '--side-by-side', type=int, default=8, help='concurrent callers'
    )
    parser.add_argument(
        '--log-level',
        default='info',
        choices=('info', 'error'),
        help='log level of the entry host; output goes to the null device',
    )
    parser.set_defaults(run=run)


def run(arguments):
    """Run the benchmark, print the ratios, and return the exit code."""
    from twisted.internet import reactor  # noqa: WPS433

    with open('/dev/null', 'w', encoding='utf-8') as sink:
        configure_logs(arguments.log_level, sink)
        lines = result_of(reactor, lambda: _measure(reactor, arguments))
    for line in lines:
        print(line)
    return GOOD


def _site(resource, reactor):
    """Return a site that keeps idle connections open between rounds."""
    return site_for(resource, reactor, timeout=None)


def _listen(reactor, site):
    port = reactor.listenTCP(0, site, interface=_LOCAL)
    return address_of(port)


def _manifest(plain, engine):
    stages = {
        'call': Stage('call', 'plain', expect_ms=5),
        'few': Stage(
            'few',
            'engines',
            model='demo',
            expect_ms=5,
            max_tokens=_FEW_TOKENS,
        ),
        'many': Stage(
            'many',
            'engines',
            model='demo',
            expect_ms=5,
            max_tokens=_MANY_TOKENS,
        ),
    }
    pipelines = {}
    for name, stage in stages.items():
        pipelines[name] = Pipeline(30000, ['floor'], [stage])
    digest = hashlib.sha256(_KEY.encode()).hexdigest()
    return Manifest(
        name='floor',
        domains={'here': Domain('here')},
        models={'demo': Model('1')},
        pools={
            'plain': Pool('stage', {'p1': Upstream('here', plain, _SLOTS)}),
            'engines': Pool(
                'engine',
                {'e1': Upstream('here', engine, _SLOTS)},
                models=['demo'],
            ),
        },
        pipelines=pipelines,
        teams={'floor': Team([digest])},
    )


def _entry_address(reactor, manifest):
    environment = {'POLLENSTILE_HOST': 'floor', 'POLLENSTILE_DOMAIN': 'here'}
    settings = settings_from(None, ENTRY, environment)
    node = build_node(
        reactor,
        random.Random(_SEED),
        settings,
        http_transport(reactor),
        log=event_log(host='floor'),
    )
    node.in_force.offer(1, text_from_manifest(manifest), 'bench')
    return _listen(reactor, _site(CallerResource(node), reactor))


def _upstreams(reactor):
    """Start a stage server and an engine; return their addresses."""
    plain = PlainServer(reactor, 'p1', work=0, max_running=_SLOTS)
    engine = Engine(reactor, 'e1', 0, 0, _SLOTS)
    return (
        _listen(reactor, _site(PlainResource(plain), reactor)),
        _listen(reactor, _site(EngineResource(engine), reactor)),
    )


def _targets(reactor):
    """Return the targets of each kind of request, by path."""
    plain, engine = _upstreams(reactor)
    entry = _entry_address(reactor, _manifest(plain, engine))
    call = wire.PlainCall('r/call/1', 'call', 'a leak under the sink')
    documents = {
        'call': (f'{plain}/v1/call', wire.encode_json(call)),
        'few': (f'{engine}/v1/completions', _completion(_FEW_TOKENS)),
        'many': (f'{engine}/v1/completions', _completion(_MANY_TOKENS)),
    }
    targets = {}
    for kind, (direct, document) in documents.items():
        uri = f'http://{direct}'.encode()
        targets[kind] = {
            'direct': Target(uri, document),
            'forwarder': _forwarder_target(reactor, uri, document),
            'entry': Target(
                f'http://{entry}/v1/pipelines/{kind}'.encode(),
                wire.encode_json({'input': 'a leak under the sink'}),
            ),
        }
    return targets


def _forwarder_target(reactor, uri, document):
    address = _listen(reactor, forwarder_site(reactor, uri, document))
    return Target(f'http://{address}/'.encode(), document)


def _completion(tokens):
    return wire.encode_json(wire.CompletionCall('demo', 'a leak', tokens))


async def _measure(reactor, arguments):
    targets = _targets(reactor)
    configure_garbage_collector()
    pool = HTTPConnectionPool(reactor, persistent=True)
    pool.maxPersistentPerHost = arguments.side_by_side
    agent = agent_for(reactor, pool)
    net = {}
    for kind in targets:
        net[kind] = await _net_times(agent, targets[kind], arguments)
    chunks = _MANY_TOKENS - _FEW_TOKENS
    request = net['call']
    chunk = {}
    for path in _PATHS[1:]:
        chunk[path] = (net['many'][path] - net['few'][path]) / chunks
    return [
        _format_ratio('request', request),
        _format_ratio('streamed chunk', chunk),
    ]


def _format_ratio(name, net):
    ratio = net['entry'] / net['forwarder']
    return (
        f'{name}: entry {net["entry"] * _MICRO:.0f} us, '
        f'forwarder {net["forwarder"] * _MICRO:.0f} us, ratio {ratio:.2f}'
    )


async def _net_times(agent, targets, arguments):
    """Return the processor seconds of a request without the direct call."""
    times = {path: [] for path in _PATHS}
    for number in range(arguments.rounds + 1):
        for path in _PATHS:
            took = await _round(agent, targets[path], arguments)
            # The first round opens connections and fills caches, so it is
            # not counted.
            if number:
                times[path].append(took)
    direct = statistics.median(times['direct'])
    net = {}
    for path in _PATHS[1:]:
        net[path] = statistics.median(times[path]) - direct
    return net


async def _round(agent, target, arguments):
    started = time.process_time()
    callers = []
    share = arguments.requests // arguments.side_by_side
    for _ in range(arguments.side_by_side):
        callers.append(
            Deferred.fromCoroutine(_run_caller(agent, target, share))
        )
    await gatherResults(callers)
    total = share * arguments.side_by_side
    return (time.process_time() - started) / total


async def _run_caller(agent, target, total):
    headers = Headers(
        {
            'authorization': [f'Bearer {_KEY}'],
            'accept': ['text/event-stream'],
        }
    )
    for _ in range(total):
        response = await agent.request(
            b'POST',
            target.uri,
            headers,
            BytesProducer(target.document),
        )
        body = await readBody(response)
        if response.code != 200:
            raise RuntimeError(f'{target.uri}: {response.code} {body[:200]}')
