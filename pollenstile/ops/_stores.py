"""The platform's object API, as commands and the daemon reach it."""

from pollenstile.platform import Caller, HttpStore


def store_at(reactor, address):
    """Return a store that speaks HTTP to an address.

    Parameters
    ==========

    address : tuple
        IP number and port.
    """
    host, port = address
    return HttpStore(Caller(reactor, reactor, host, port))
