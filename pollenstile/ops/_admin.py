"""Client of entry hosts' admin frontends, used by commands."""

import msgspec

from pollenstile.platform import FailedCall, ServerClient

_TIMEOUT_SECONDS = 4.0
_OK = 200


def admin_reader(reactor, address):
    """Return a function that reads a path of an admin frontend.

    Explanation
    ===========

    The function takes a path and returns a coroutine that yields the decoded
    document, or None when no valid answer was received.
    """
    caller = http_client_at(reactor, address)

    async def read(path):
        body = await fetch_body(caller, path)
        if body is None:
            return None
        try:
            return msgspec.json.decode(body)
        except msgspec.DecodeError:
            return None

    return read


def http_client_at(reactor, address):
    """Return an HTTP client of a host's frontend for operators."""
    host, port = address
    return ServerClient(reactor, reactor, host, port, _TIMEOUT_SECONDS)


async def fetch_body(caller, path):
    """Return the body of a page, or None unless the status is 200."""
    reply = await caller.call('GET', path)
    if isinstance(reply, FailedCall) or reply.status != _OK:
        return None
    return reply.body


async def first_document(readers, path):
    """Return the first document received from several frontends, or None."""
    for read in readers:
        document = await read(path)
        if document is not None:
            return document
    return None
