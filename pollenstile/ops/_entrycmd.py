"""``pollenstile entry``: runs an entry host of the pipeline system."""

import random

import statsd

from pollenstile.entry import (
    Daemon,
    add_placement,
    build_fleet,
    build_node,
)
from pollenstile.fleet import http_load_reader
from pollenstile.ops._stores import hosts_reader, paced_store
from pollenstile.ops.clock import boot_clock, use_boot_clock
from pollenstile.ops.collector import configure_garbage_collector
from pollenstile.ops.logs import configure_logs, event_log
from pollenstile.ops.running import run_daemon
from pollenstile.ops.settings import ENTRY, add_flags, settings_from
from pollenstile.ops.signals import ignore_hangup
from pollenstile.peer import tcp_connect
from pollenstile.permission import build_permissions
from pollenstile.placement import http_orders, http_tickets
from pollenstile.platform import ServerClient
from pollenstile.upstream import ConnectionPools, http_transport

_PREFIX = 'pollenstile'


def add_parser(commands):
    """Add the subcommand."""
    parser = commands.add_parser('entry', help='run one entry host')
    add_flags(parser, ENTRY)
    parser.set_defaults(run=run)


def run(arguments):
    """Run the daemon until SIGTERM or SIGINT; return the exit code."""
    settings = settings_from(arguments, ENTRY)
    configure_logs(settings.log_level)
    # The only use of the global reactor; importing the module installs it.
    from twisted.internet import reactor  # noqa: WPS433

    use_boot_clock(reactor)
    daemon = build_daemon(reactor, settings)
    configure_garbage_collector()
    ignore_hangup(reactor, daemon.node.core.log)
    return run_daemon(reactor, daemon, daemon.node.core.log)


def build_daemon(reactor, settings):
    """Return a daemon with real connections, object store and metrics."""
    rng = random.Random(settings.seed or None)
    log = event_log(host=settings.host)
    store = paced_store(reactor, rng, settings, log)
    permissions = build_permissions(
        reactor, rng, settings.host, settings.domain, {}, log
    )
    pools = ConnectionPools(reactor)
    node = build_node(
        reactor,
        rng,
        settings,
        http_transport(
            reactor, pools=pools, note_answer=permissions.note_named
        ),
        store=store,
        log=log,
        permissions=permissions,
    )
    node.core.close_idle = pools.close_idle
    fleet = build_fleet(
        node,
        settings,
        tcp_connect(reactor),
        http_load_reader(reactor),
        store=store,
        read_hosts=hosts_reader(reactor, settings),
    )
    if store is not None:
        add_placement(
            node,
            store,
            http_orders(reactor),
            _ticket_requester(reactor, settings),
            boot_clock,
        )
    return Daemon(reactor, node, settings, fleet, _statsd(settings))


def _statsd(settings):
    if settings.statsd is None:
        return None
    host, port = settings.statsd
    return statsd.StatsClient(host, port, prefix=f'{_PREFIX}.{settings.host}')


def _ticket_requester(reactor, settings):
    """Return a function that requests tickets from the weight store."""
    host, port = settings.platform
    return http_tickets(ServerClient(reactor, reactor, host, port))
