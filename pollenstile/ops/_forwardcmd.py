"""``pollenstile forward``: runs an entry host that forwards opaque requests."""

import random
import sys
from dataclasses import dataclass, field

import msgspec

from pollenstile.forward import (
    ForwardDaemon,
    HeaderNames,
    HostSettings,
    PlainCodec,
    Upstream,
)
from pollenstile.ops._stores import store_at
from pollenstile.ops.clock import boot_clock, use_boot_clock
from pollenstile.ops.linestream import LineStream
from pollenstile.ops.logs import configure_logs, event_log
from pollenstile.ops.running import run_daemon
from pollenstile.ops.settings import (
    FORWARD,
    add_flags,
    settings_from,
)
from pollenstile.ops.signals import ignore_hangup
from pollenstile.routes import table_of


def decode_upstream(ident, value):
    """Return the upstream of a registry entry, or None if it is malformed."""
    if not isinstance(value, dict):
        return None
    try:
        return msgspec.convert({**value, 'ident': ident}, Upstream)
    except msgspec.ValidationError:
        return None


@dataclass(slots=True, frozen=True)
class _Adapter:
    """Adapter of the project's own header names and document formats."""

    names: HeaderNames = field(default_factory=HeaderNames)
    codec: PlainCodec = field(default_factory=PlainCodec)
    decode_table: object = table_of
    decode_upstream: object = decode_upstream


def add_parser(commands):
    """Add the subcommand."""
    parser = commands.add_parser(
        'forward',
        help='run one entry host that forwards opaque requests',
    )
    add_flags(parser, FORWARD)
    parser.set_defaults(run=run)


def run(arguments):
    """Run the daemon until SIGTERM or SIGINT; return the exit code."""
    settings = settings_from(arguments, FORWARD)
    configure_logs(stream=LineStream(sys.stdout.fileno()))
    # The only use of the global reactor; importing the module installs it.
    from twisted.internet import reactor  # noqa: WPS433

    use_boot_clock(reactor)
    daemon = ForwardDaemon(
        reactor,
        _host_settings(settings),
        store_at(reactor, settings.store),
        _Adapter(),
        random.Random(),
        boot_clock,
        event_log(host=settings.host),
    )
    ignore_hangup(reactor, daemon.log)
    return run_daemon(reactor, daemon, daemon.log)


def _host_settings(settings):
    return HostSettings(
        host=settings.host,
        domain=settings.domain,
        callers=settings.callers,
        ready=settings.ready,
        peers=settings.peers,
        peers_seen=settings.peers_seen,
        metrics=settings.metrics,
        tunnels=settings.tunnels,
        revoke_seconds=settings.revoke_seconds,
        apply_seconds=settings.apply_seconds,
        leave_seconds=settings.leave_seconds,
        drain_seconds=settings.drain_seconds,
        grace_seconds=settings.grace_seconds,
        capacity=settings.capacity,
        descriptors=settings.descriptors,
        return_times=bool(settings.return_times),
        engine_speeds=bool(settings.engine_speeds),
    )
