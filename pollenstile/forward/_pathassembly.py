"""Builds what a host knows of its paths to the upstreams."""

from functools import partial

from twisted.internet.defer import Deferred

from pollenstile.forward._endcheck import is_last_at, question_for
from pollenstile.forward._learning import end_backoff
from pollenstile.reachability import DomainReachability
from pollenstile.tunnel import TUNNEL_SUBJECT, Paths, Tunnels, TunnelServer


def _prober(client):
    def probe(address):
        Deferred.fromCoroutine(client.probe_directly(address))

    return probe


def add_paths(reactor, rng, settings, hub, core, members, log):
    """Let a host's client learn which upstreams and domains it reaches.

    Parameters
    ==========

    core : ForwardCore
        Its client and its choice of upstreams get what is learned.
    members : Members
        The peers that open connections for this host.
    """
    client = core.client
    tunnels = Tunnels(
        settings.host,
        reactor,
        rng,
        hub.ask,
        members.hosts,
        hub.links.__contains__,
        log,
    )

    def use_again(address):
        end_backoff(core.registry.views.values(), address)

    client.paths = Paths(reactor, tunnels, _prober(client), use_again, log)
    client.domains = DomainReachability(
        reactor, settings.domain, core.registry, _prober(client), rng, log
    )
    core.domains = client.domains
    connect_closes(core)


def connect_closes(core):
    """Let the checks of closes use what a host knows of its upstreams."""
    closes = core.client.closes
    registry = core.registry
    closes.question = partial(question_for, core)
    closes.is_last = partial(is_last_at, core)
    closes.has_left = partial(registry.exits.has_left, registry.upstreams)


def build_tunnel_server(reactor, hub, core, log):
    """Return the server that opens connections to upstreams for peers."""
    registry = core.registry
    paths = core.client.paths

    def is_upstream(address):
        return any(
            upstream.address == address
            for upstream in registry.upstreams.values()
        )

    server = TunnelServer(reactor, is_upstream, paths.lost.__contains__, log)
    server.closes = core.client.closes
    hub.requests.subjects[TUNNEL_SUBJECT] = server.answer
    return server
