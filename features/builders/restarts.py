"""Builders of a host whose upstream starts again under its identifier."""

from features.builders.forwardhost import ForwardHost, request
from features.builders.loop import run_reactor_until
from pollenstile.forward import Upstream
from pollenstile.origins import origin_key

FIRST_BORN = 1000
SECOND_BORN = 2000
_IDENT = 'i1'
_FIRST_EVENT = b'id: 1\ndata: x\n\n'
_SERVICE = 'desk'
_TEAM = 'team-a'
_REPORT = b'GET /report '
_HEAD = (
    b'HTTP/1.1 200 OK\r\nX-Attempt: %s\r\nX-Proof: p\r\nConnection: close\r\n'
)


def document(content, status=b'200 OK'):
    """Return the bytes of an answer with a body."""
    return b'HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s' % (
        status,
        len(content),
        content,
    )


class RestartHost(ForwardHost):
    """A host with one upstream that tells its start time in its reports.

    Attributes
    ==========

    report : bytes
        Answer of the upstream to a request for its report.
    reports : int
        Requests for its report.
    """

    def __init__(self):
        super().__init__(upstreams=0)
        self.reports = 0
        self.has_reports = True
        self.state_born(FIRST_BORN)
        self.core = self.factory.core
        self.write_entry(FIRST_BORN)
        self.core.registry.known = True

    def write_entry(self, born, ident=_IDENT):
        """Let the host read the entry of a process of an upstream."""
        self.core.registry.apply(
            ident,
            Upstream(
                ident,
                _SERVICE,
                self.upstream_address,
                'd',
                born=born,
                software='v1',
            ),
        )

    def state_born(self, born):
        """Let the reports of the upstream state a start time."""
        self.report = document(b'{"born": %d}' % born)

    def next_reply(self):
        """Return the answer to the request that the upstream read last."""
        if self.seen[-1].startswith(_REPORT):
            self.seen.pop()
            self.reports += 1
            return self.report
        return super().next_reply()

    def is_noted(self, ident):
        """Return whether the host has recorded the version of a stream."""
        key = origin_key(_TEAM, _SERVICE, ident.decode())
        return self.core.origins.table.software(key) is not None

    def begin(self, ident):
        """Begin a stream whose connection is reset after its first event."""
        connection = self.open_stream(ident)
        self.break_off(connection)

    def open_stream(self, ident):
        """Begin a stream; return its connection once the first event came."""
        self.reply = b'%s\r\n%s' % (_HEAD % ident, _FIRST_EVENT)
        return self.exchange(
            request(b'/resumable/', ident=ident), until=_FIRST_EVENT
        )

    def break_off(self, connection):
        """Reset all connections of the upstream; end a caller's answer."""
        for transport in self.accepted:
            transport.abortConnection()
        run_reactor_until(lambda: connection.closed)

    def take_up(self, ident, resumes):
        """Take a stream up after its first event; return its connection.

        Explanation
        ===========

        What the upstream reads from then on is in :attr:`seen`.
        """
        self.seen.clear()
        rest = b'id: 2\ndata: y\n\n'
        self.reply = b'%sContent-Length: %d\r\n\r\n%s' % (
            _HEAD % ident,
            len(rest),
            rest,
        )
        extra = b'X-Resumes: %s\r\nLast-Event-Id: 1\r\n' % resumes
        return self.exchange(
            request(b'/resumable/', extra, ident=ident), until=b'\r\n\r\n'
        )
