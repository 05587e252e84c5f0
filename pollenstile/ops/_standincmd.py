"""``pollenstile standin``: small fakes of the outside systems."""

from pollenstile.entry import address_of
from pollenstile.manifest import manifest_from_text, text_from_manifest
from pollenstile.ops.exits import GOOD
from pollenstile.ops.http import site_for
from pollenstile.ops.settings import address, parsed
from pollenstile.standin.engine import Engine, EngineResource
from pollenstile.standin.fleet import start_on_free_ports, start_upstreams
from pollenstile.standin.objectapi import MemoryStore, platform_site
from pollenstile.standin.plain import PlainResource, PlainServer
from pollenstile.standin.weightstore import weightstore

_MS = 1000
_MOST_BODY = 2097152


def add_parser(commands):
    """Add the subcommand."""
    parser = commands.add_parser(
        'standin',
        help='run a stand-in of an outside system',
    )
    kinds = parser.add_subparsers(dest='kind', required=True)
    for kind in ('objectapi', 'engine', 'stage', 'service'):
        one = kinds.add_parser(kind, help=f'a stand-in of kind {kind}')
        one.add_argument('--listen', default='127.0.0.1:0', help='IP:PORT')
        one.add_argument('--name', default=kind, help='stated in answers')
        one.add_argument('--slots', type=int, default=8, help='calls at once')
        one.add_argument(
            '--work-ms',
            type=float,
            default=20,
            help='time of a call, or until the first token',
        )
        one.add_argument(
            '--gap-ms',
            type=float,
            default=5,
            help='time between tokens',
        )
    whole = kinds.add_parser('fleet', help='every upstream of a manifest')
    whole.add_argument('manifest', help='file')
    whole.add_argument(
        '--anywhere',
        metavar='FILE',
        help='listen on free ports; write the manifest with them to FILE',
    )
    whole.add_argument('--scale', type=float, default=1.0, help='of all times')
    parser.set_defaults(run=run)


def run(arguments):
    """Run the stand-in until it is told to stop."""
    from twisted.internet import reactor  # noqa: WPS433

    if arguments.kind == 'fleet':
        _start_fleet(reactor, arguments)
    else:
        port = _listening(reactor, arguments)
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


def _listening(reactor, arguments):
    host, number = parsed('--listen', address, arguments.listen)
    return reactor.listenTCP(
        number,
        _site(reactor, arguments),
        interface=host,
    )


def _site(reactor, arguments):
    if arguments.kind == 'objectapi':
        store = MemoryStore(reactor)
        return platform_site(store, weights=weightstore(reactor))
    return site_for(_resource(reactor, arguments), reactor, _MOST_BODY)


def _resource(reactor, arguments):
    work = arguments.work_ms / _MS
    if arguments.kind == 'engine':
        engine = Engine(
            reactor,
            arguments.name,
            work,
            arguments.gap_ms / _MS,
            arguments.slots,
        )
        return EngineResource(engine)
    server = PlainServer(reactor, arguments.name, work, arguments.slots)
    return PlainResource(server)
