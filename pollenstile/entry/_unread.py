"""Refuses requests that a leaving host has not read to their end."""

from pollenstile.entry import events
from pollenstile.ops.problems import problem_body

_UNAVAILABLE = 503
_REASON = 'this host leaves, and the request is not complete'
_HEAD = (
    b'HTTP/1.1 503 Service Unavailable\r\n'
    b'Connection: close\r\n'
    b'Retry-After: 1\r\n'
    b'X-Outcome: not-run\r\n'
    b'Content-Type: application/problem+json\r\n'
    b'Content-Length: %d\r\n\r\n'
)


def refuse_unread(channels, log):
    """Refuse all requests that are still being received, and close after it.

    Parameters
    ==========

    channels : Channels
        Connections on which no request runs.
    log : function
        Writes events.
    """
    for channel in list(channels.open):
        if not channel.requests:
            continue
        # Such a request has its answer already.
        if getattr(channel.requests[-1], 'too_large', False):
            continue
        log(events.CALLER_REFUSED, status=_UNAVAILABLE, reason=_REASON)
        _refuse(channel)


def _refuse(channel):
    # What else arrives of it would be taken for a whole request.
    channel.dataReceived = _ignore
    body = problem_body(_UNAVAILABLE, _REASON, 'not-run')
    channel.transport.write(_HEAD % len(body) + body)
    channel.loseConnection()


def _ignore(content):
    """Drop what arrives on a connection that is being closed."""
