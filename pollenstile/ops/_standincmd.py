"""``pollenstile standin``: runs stand-ins of external systems."""

from pollenstile.entry import address_of
from pollenstile.manifest import manifest_from_text, text_from_manifest
from pollenstile.ops.exits import GOOD
from pollenstile.ops.http import site_for
from pollenstile.ops.settings import address, parse_argument
from pollenstile.standin.engine import Engine, EngineResource
from pollenstile.standin.fleet import start_on_free_ports, start_upstreams
from pollenstile.standin.objectapi import MemoryStore, platform_site
from pollenstile.standin.plain import PlainResource, PlainServer
from pollenstile.standin.weightstore import weightstore

_MS_PER_SECOND = 1000
_MAX_BODY_BYTES = 2097152


def add_parser(commands):
    """Add the subcommand."""
    parser = commands.add_parser(
        'standin',
        help='run a stand-in of an external system',
    )
    kinds = parser.add_subparsers(dest='kind', required=True)
    for kind in ('objectapi', 'engine', 'stage', 'service'):
        kind_parser = kinds.add_parser(kind, help=f'a stand-in of kind {kind}')
        kind_parser.add_argument(
            '--listen', default='127.0.0.1:0', help='IP:PORT'
        )
        kind_parser.add_argument(
            '--name', default=kind, help='name sent in answers'
        )
        kind_parser.add_argument(
            '--slots', type=int, default=8, help='concurrent calls'
        )
        kind_parser.add_argument(
            '--work-ms',
            type=float,
            default=20,
            help='duration of a call, or time until the first token',
        )
        kind_parser.add_argument(
            '--gap-ms',
            type=float,
            default=5,
            help='time between tokens',
        )
    fleet_parser = kinds.add_parser(
        'fleet', help='run a stand-in of every upstream of a manifest'
    )
    fleet_parser.add_argument('manifest', help='manifest file')
    fleet_parser.add_argument(
        '--anywhere',
        metavar='FILE',
        help='listen on free ports; write the manifest with them to FILE',
    )
    fleet_parser.add_argument(
        '--scale', type=float, default=1.0, help='factor of all times'
    )
    parser.set_defaults(run=run)


def run(arguments):
    """Run the stand-in until SIGTERM or SIGINT; return the exit code."""
    from twisted.internet import reactor  # noqa: WPS433

    if arguments.kind == 'fleet':
        _start_fleet(reactor, arguments)
    else:
        port = _listen(reactor, arguments)
        print(f'{arguments.kind} listens on {address_of(port)}', flush=True)
    reactor.run()
    return GOOD


def _start_fleet(reactor, arguments):
    if not arguments.anywhere:
        start_upstreams(reactor, arguments.manifest, arguments.scale)
        print('fleet listens', flush=True)
        return
    with open(arguments.manifest, encoding='utf-8') as source:
        manifest = manifest_from_text(source.read())
    _, placed = start_on_free_ports(reactor, manifest, arguments.scale)
    with open(arguments.anywhere, 'w', encoding='utf-8') as target:
        target.write(text_from_manifest(placed))
    print('fleet listens', flush=True)


def _listen(reactor, arguments):
    host, number = parse_argument('--listen', address, arguments.listen)
    return reactor.listenTCP(
        number,
        _site(reactor, arguments),
        interface=host,
    )


def _site(reactor, arguments):
    if arguments.kind == 'objectapi':
        store = MemoryStore(reactor)
        return platform_site(store, weights=weightstore(reactor))
    return site_for(_resource(reactor, arguments), reactor, _MAX_BODY_BYTES)


def _resource(reactor, arguments):
    work = arguments.work_ms / _MS_PER_SECOND
    if arguments.kind == 'engine':
        engine = Engine(
            reactor,
            arguments.name,
            work,
            arguments.gap_ms / _MS_PER_SECOND,
            arguments.slots,
        )
        return EngineResource(engine)
    server = PlainServer(reactor, arguments.name, work, arguments.slots)
    return PlainResource(server)
