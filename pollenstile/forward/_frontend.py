"""HTTP server for callers: accepts connections and serves their requests."""

from twisted.web.http import HTTPFactory

from pollenstile.forward import events
from pollenstile.forward._callerchannel import CallerChannel
from pollenstile.forward._departure import LEAVING_REFUSAL
from pollenstile.forward._parse import parse_exchange
from pollenstile.forward._run import serve
from pollenstile.forward._runend import end_left
from pollenstile.forward._types import Refusal
from pollenstile.routes import Limits

_DEFAULT_LIMITS = Limits()


class CallerFactory(HTTPFactory):
    """Callers' connections and the requests in flight.

    Parameters
    ==========

    core : ForwardCore
        Serves the requests.
    gate : ConnectionGate or None
        Decides which new connections are accepted; None accepts all.

    Attributes
    ==========

    leaving : bool
        Whether each connection closes after its next answer.
    refusing : bool
        Whether all new requests are refused.
    channels : set of CallerChannel
        Open connections.
    in_flight : int
        Number of requests that are being served.
    on_idle : function or None
        Called when the last of them has ended.
    """

    protocol = CallerChannel
    noisy = False

    def __init__(self, core, reactor, gate=None):
        super().__init__(reactor=reactor)
        self.core = core
        self.gate = gate
        self.leaving = False
        self.refusing = False
        self.channels = set()
        self.in_flight = 0
        self.on_idle = None

    def buildProtocol(self, address):
        """Return a new connection, or None to close it; called by Twisted."""
        if self.gate is not None and not self.gate.accepts(len(self.channels)):
            return None
        return super().buildProtocol(address)

    def log(self, request):
        """Write no access log, as events replace it."""

    def limits(self):
        """Return the limits on callers' requests."""
        table = self.core.configuration.table
        return table.limits if table else _DEFAULT_LIMITS

    def serve_request(self, answer):
        """Serve a completely received request."""
        if self.leaving:
            answer.channel.persistent = False
            answer.responseHeaders.setRawHeaders(b'connection', [b'close'])
        exchange = LEAVING_REFUSAL
        if not self.refusing:
            exchange = parse_exchange(self.core, answer)
        if isinstance(exchange, Refusal):
            self.log_refused(answer, exchange)
            answer.refuse(exchange)
            return
        answer.exchange = exchange
        self.in_flight += 1
        answer.work = serve(self.core, exchange, answer)
        answer.work.addBoth(self._on_finished)

    def log_refused(self, answer, refusal):
        """Log the refusal of a request that was not accepted."""
        self.core.log(
            events.FORWARD_ENDED,
            request=_header(answer, self.core.names.attempt),
            outcome='refused',
            status=refusal.status,
            reason=refusal.reason,
            step='entry',
            proof_ms=self.core.configuration.age_ms(),
        )

    def on_caller_left(self, answer):
        """Cancel the request of a disconnected caller, if permitted."""
        if answer.work is None or answer.exchange is None:
            return
        self.core.log(
            events.CALLER_LEFT,
            request=answer.exchange.ident,
            route=answer.exchange.route.name,
        )
        end_left(self.core, answer)

    def leave(self):
        """Close each connection after its next answer."""
        self.leaving = True

    def close_idle(self):
        """Close connections without a request in flight."""
        for channel in list(self.channels):
            if not channel.requests:
                channel.loseConnection()

    def is_closing(self):
        """Return whether connections close once their callers have read."""
        return any(channel.is_closing() for channel in self.channels)

    def refuse_incomplete(self):
        """Refuse the requests that are not completely received."""
        for channel in list(self.channels):
            channel.refuse_incomplete()

    def cut_off_unread(self):
        """Reset the connections whose callers have not read their answers."""
        for channel in list(self.channels):
            if channel.is_closing():
                channel.cut_off()

    def _on_finished(self, ignored):
        self.in_flight -= 1
        if not self.in_flight and self.on_idle is not None:
            self.on_idle()


def _header(answer, name):
    """Return the value of a header, or an empty text if it is missing."""
    content = answer.getHeader(name) or b''
    return content.decode('latin-1')
