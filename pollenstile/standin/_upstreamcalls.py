"""Requests of hosts at simulated upstreams, and the client that sends them."""

from twisted.internet.defer import Deferred

from pollenstile.forward import BodyEnd, Lost, ProbeResult
from pollenstile.standin.exchanges import StubCall

# One-way latency between a host and an upstream.
LATENCY_SECONDS = 0.001


class UpstreamCall(StubCall):
    """One request of a host in flight.

    Attributes
    ==========

    silent : bool
        Whether its connection passes nothing on any more, in any direction.
    """

    def __init__(self, host, address, headers, body):
        super().__init__(address, headers)
        self.host = host
        self.body = body
        self.silent = False

    @property
    def is_closed(self):
        """Whether the upstream notices that the host closed the connection."""
        return self.cancelled and not self.silent

    def receive_head(self, outcome):
        """Pass the head, or the failure to get one, to the host."""
        if self.is_open_to_host() and not self.head.called:
            self.head.callback(outcome)

    def is_open_to_host(self):
        """Return whether the host gets what the upstream sends."""
        return not self.cancelled and not self.silent

    def break_connection(self):
        """Report a broken connection to the host."""
        if not self.is_open_to_host():
            return
        if not self.head.called:
            self.receive_head(Lost('ConnectionLost', self.address, broken=True))
            return
        self.end(BodyEnd.BROKEN)

    def end(self, how):
        """Report the end of the body to the host."""
        if self.is_open_to_host() and self.on_end is not None:
            self.on_end(how)


class UpstreamClient:
    """Client that sends the requests of one host."""

    def __init__(self, upstreams, host):
        self.upstreams = upstreams
        self.host = host

    def send(self, address, method, target, headers, body):
        """Send a request once and return its call."""
        call = UpstreamCall(self.host, address, headers, body)
        upstreams = self.upstreams
        upstreams.clock.callLater(
            2 * LATENCY_SECONDS, upstreams.accept_connection, call
        )
        return call

    def probe(self, address):
        """Return a Deferred of the address's ``ProbeResult``."""
        done = Deferred()
        self.upstreams.clock.callLater(
            2 * LATENCY_SECONDS, self._finish_probe, address, done
        )
        return done

    def _finish_probe(self, address, done):
        is_listening = self.upstreams.processes.get(address) is not None
        done.callback(
            ProbeResult.ACCEPTED if is_listening else ProbeResult.REFUSED
        )
