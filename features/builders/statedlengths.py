"""Builders of answers by status, size and framing, and of their callers."""

from features.builders.bodyends import closing_host, framed, stream_event
from features.builders.malformed import ROUTES, received_through

# Framings by their names in scenarios.
_FRAMINGS = {'its close': 'a close'}
_OK = b'200 OK'


def answer_of(status, body, framing):
    """Return an answer's bytes.

    Parameters
    ==========

    status : int
        Its status.
    body : bytes
        Its body.
    framing : str
        ``'a length'``, ``'chunks'`` or ``'its close'``.
    """
    answer = framed(body, _FRAMINGS.get(framing, framing))
    return answer.replace(_OK, b'%d Status' % status, 1)


def events_body(count):
    """Return a stream of some events."""
    numbers = range(1, count + 1)
    return b''.join(stream_event(number, b'\n') for number in numbers)


def received_by_kinds(kinds, answer, method=b'POST'):
    """Return what the callers of kinds of requests get, in their order."""
    host = closing_host(upstreams=2)
    host.reply = answer
    received = [received_through(host, ROUTES[kind], method) for kind in kinds]
    host.stop()
    return received
