"""``pollenstile demo``: runs hosts, stand-ins and a load in one process."""

import random

from twisted.internet.task import deferLater

from pollenstile.bench.load import Load, run_load
from pollenstile.bench.summary import summary_lines
from pollenstile.entry import address_of
from pollenstile.fleet import CONFIG_KIND, CONFIG_NAME
from pollenstile.manifest import manifest_from_text, text_from_manifest
from pollenstile.ops._entrycmd import build_daemon
from pollenstile.ops._validatecmd import read_file
from pollenstile.ops.client import pipeline_client
from pollenstile.ops.exits import BAD_INPUT, BAD_RESULT, GOOD
from pollenstile.ops.logs import configure_logs
from pollenstile.ops.running import result_of
from pollenstile.ops.settings import ENTRY, settings_from
from pollenstile.standin.fleet import start_on_free_ports
from pollenstile.standin.objectapi import MemoryStore, platform_site
from pollenstile.standin.weightstore import weightstore

_KEY_SUFFIX = '-example-key'
_LOCAL = '127.0.0.1'
_SEED = 20
_PEER_KEY = 'a key that only this demo uses, nothing else'


def add_parser(commands):
    """Add the subcommand."""
    parser = commands.add_parser(
        'demo',
        help='stand-ins, two entry hosts and a mixed load in one process',
    )
    parser.add_argument(
        '--manifest',
        default='examples/kowalczyk.yaml',
        help='manifest whose teams use the example keys',
    )
    parser.add_argument(
        '--total', type=int, default=200, help='number of requests'
    )
    parser.add_argument(
        '--rate', type=float, default=20, help='requests per second'
    )
    parser.set_defaults(run=run)


def run(arguments):
    """Run the demo, print its summary and return the exit code."""
    from twisted.internet import reactor  # noqa: WPS433

    configure_logs('error')
    text = read_file(arguments.manifest)
    if text is None:
        return BAD_INPUT
    manifest = manifest_from_text(text)
    load = result_of(reactor, lambda: _run_demo(reactor, manifest, arguments))
    for line in summary_lines(manifest, load.results):
        print(line)
    answered = [
        result for result in load.results if result.answer.status == 200
    ]
    return GOOD if answered else BAD_RESULT


async def _run_demo(reactor, manifest, arguments):
    daemons = await _start_hosts(reactor, manifest)
    await _wait_until_ready(reactor, daemons)
    load = Load(
        bases=[
            f'http://{address_of(daemon.caller_port)}' for daemon in daemons
        ],
        kinds=_kinds(manifest),
        rate=arguments.rate,
        total=arguments.total,
    )
    rng = random.Random(_SEED)
    await run_load(reactor, rng, pipeline_client(reactor), load)
    return load


async def _start_hosts(reactor, manifest):
    """Start and return two hosts with stand-ins of all their dependencies."""
    _, placed = start_on_free_ports(reactor, manifest)
    store = MemoryStore(reactor)
    site = platform_site(store, weights=weightstore(reactor))
    port = reactor.listenTCP(0, site, interface=_LOCAL)
    value = {'text': text_from_manifest(placed), 'apply': 'demo'}
    await store.put(CONFIG_KIND, CONFIG_NAME, value, if_version=0)
    daemons = []
    peers = ''
    for number, domain in enumerate(list(manifest.domains)[:2]):
        daemon = _start_host(reactor, number, domain, address_of(port), peers)
        peers = address_of(daemon.peer_port)
        daemons.append(daemon)
    return daemons


def _start_host(reactor, number, domain, platform, peers):
    environment = {
        'POLLENSTILE_HOST': f'{domain}-{number}',
        'POLLENSTILE_DOMAIN': domain,
        'POLLENSTILE_LISTEN': f'{_LOCAL}:0',
        'POLLENSTILE_ADMIN': f'{_LOCAL}:0',
        'POLLENSTILE_PEER_LISTEN': f'{_LOCAL}:0',
        'POLLENSTILE_PLATFORM': platform,
        'POLLENSTILE_PEER_KEY': _PEER_KEY,
        'POLLENSTILE_PEERS': peers,
    }
    settings = settings_from(None, ENTRY, environment)
    daemon = build_daemon(reactor, settings)
    daemon.start()
    return daemon


async def _wait_until_ready(reactor, daemons):
    for daemon in daemons:
        while daemon.node.refusal() is not None:
            await deferLater(reactor, 0.02)


def _kinds(manifest):
    kinds = []
    for name, pipeline in manifest.pipelines.items():
        for team in pipeline.teams:
            kinds.append((team, team + _KEY_SUFFIX, name))
    return kinds
