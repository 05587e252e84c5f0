"""Client of one host, whose connections to cut failure domains time out."""

from pollenstile.forward import NotRun, ProbeResult
from pollenstile.standin._upstreamcalls import (
    LATENCY_SECONDS,
    UpstreamCall,
    UpstreamClient,
)
from pollenstile.standin.crashing import NAMES

# Timeout of a handshake at hosts.
_CONNECT_SECONDS = 0.35


class CutClient(UpstreamClient):
    """Client that reports the outcomes of connections to the host.

    Attributes
    ==========

    calls : list of UpstreamCall
        Calls that were sent, also those that have ended.
    """

    def __init__(self, world, host):
        super().__init__(world.upstreams, host.name)
        self.world = world
        self.node = host
        self.calls = []

    def send(self, address, method, target, headers, body):
        """Send a request once and return its call."""
        self._check_sources(headers)
        lowered = [(name.lower(), value) for name, value in headers]
        call = UpstreamCall(self.host, address, lowered, body)
        later = self.world.later
        if self.node.gone:
            return call
        if self.world.is_cut(self.node, address):
            later(_CONNECT_SECONDS, self._time_out, call)
            return call
        self.calls.append(call)
        if address in self.world.stages.running:
            accept = self.world.stages.accept
            later(2 * LATENCY_SECONDS, self._connect, accept, call, target)
            return call
        accept = self.world.upstreams.accept_connection
        later(2 * LATENCY_SECONDS, self._connect, accept, call)
        return call

    def silence(self, is_cut):
        """Let open connections to cut addresses pass nothing on any more."""
        for call in self.calls:
            call.silent = call.silent or is_cut(self.node, call.address)
        self.calls.clear()

    def probe(self, address):
        """Return a Deferred of the address's ``ProbeResult``."""
        done = super().probe(address)
        return done.addCallback(self._note_probe, address)

    def probe_domain(self, address):
        """Open a connection, of which only the host's records learn."""
        if not self.node.gone:
            self.probe(address)

    def _note_probe(self, result, address):
        if self.world.is_cut(self.node, address):
            return ProbeResult.UNKNOWN
        self.node.core.domains.note_reached(address)
        return result

    def _connect(self, accept, call, *arguments):
        self.node.core.domains.note_reached(call.address)
        accept(call, *arguments)

    def _time_out(self, call):
        if call.cancelled or self.node.gone:
            return
        self.node.core.domains.note_timed_out(call.address)
        call.receive_head(NotRun('TimeoutError', call.address, arrived=False))

    def _check_sources(self, headers):
        """Check that only engines are named as sources, and by the host."""
        named = [
            source.decode()
            for name, source in headers
            if name.lower() == NAMES.part_source
        ]
        known = self.world.engine_addresses
        if len(named) > 1 or any(source not in known for source in named):
            self.world.violate('foreign-source', self.host, sources=named)
