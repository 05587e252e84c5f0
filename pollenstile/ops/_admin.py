"""Asking an entry host's admin face, for commands."""

import msgspec

from pollenstile.platform import FailedCall, ServerClient

_SECONDS = 4.0
_OK = 200


def admin_reader(reactor, address):
    """Return a function that reads a path of an admin face.

    Explanation
    ===========

    The function takes a path and returns a coroutine of the document, or of
    None when nothing answered.
    """
    caller = caller_at(reactor, address)

    async def read(path):
        body = await body_of(caller, path)
        if body is None:
            return None
        try:
            return msgspec.json.decode(body)
        except msgspec.DecodeError:
            return None

    return read


def caller_at(reactor, address):
    """Return a caller of a host's face for operators."""
    host, port = address
    return ServerClient(reactor, reactor, host, port, _SECONDS)


async def body_of(caller, path):
    """Return the bytes of a page, or None when nothing answered with one."""
    reply = await caller.call('GET', path, fresh=True)
    if isinstance(reply, FailedCall) or reply.status != _OK:
        return None
    return reply.body


async def first_answer(readers, path):
    """Return the first document that one of several faces answers."""
    for read in readers:
        document = await read(path)
        if document is not None:
            return document
    return None
