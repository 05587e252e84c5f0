"""An entry host and its upstreams in the test's own process."""

import random

from twisted.internet import reactor

from pollenstile.entry import CallerResource, address_of, build_node
from pollenstile.manifest import manifest_from_text, text_from_manifest
from pollenstile.ops.http import site_for
from pollenstile.ops.settings import ENTRY, settings_from
from pollenstile.standin.fleet import start_on_free_ports
from pollenstile.upstream import http_transport

_LOCAL = '127.0.0.1'
_SEED = 7
# Work takes a hundredth of its usual time.
_SCALE = 0.01


class EntryHost:
    """A listening host, its stand-ins and its address."""

    def __init__(self, path):
        with open(path, encoding='utf-8') as source:
            manifest = manifest_from_text(source.read())
        started = start_on_free_ports(reactor, manifest, _SCALE)
        self.standins = started[0]
        self.manifest = started[1]
        environment = {
            'POLLENSTILE_HOST': 'erie-hall-1',
            'POLLENSTILE_DOMAIN': 'erie-hall',
        }
        self.node = build_node(
            reactor,
            random.Random(_SEED),
            settings_from(None, ENTRY, environment),
            http_transport(reactor),
        )
        text = text_from_manifest(self.manifest)
        self.node.in_force.offer(1, text, 'test')
        site = site_for(CallerResource(self.node), reactor)
        self.port = reactor.listenTCP(0, site, interface=_LOCAL)
        self.base = f'http://{address_of(self.port)}'

    def runs(self):
        """Return how many calls all upstreams have run."""
        return sum(len(one.server.runs) for one in self.standins.values())

    def close(self):
        """Stop listening."""
        self.port.stopListening()
        for standin in self.standins.values():
            standin.port.stopListening()
