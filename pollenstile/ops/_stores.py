"""Clients of the platform's object API, for commands and the daemon."""

from twisted.internet.defer import Deferred

from pollenstile.platform import (
    Budget,
    EraStore,
    HttpStore,
    PacedStore,
    ServerClient,
    StoreEra,
    read_host_list,
)

_BURST_SECONDS = 2.0
_MIN_BURST_CALLS = 10.0


def store_at(reactor, address):
    """Return a store client that uses HTTP to an address.

    Parameters
    ==========

    address : tuple
        IP number and port.
    """
    host, port = address
    return HttpStore(ServerClient(reactor, reactor, host, port))


def command_store(reactor, address):
    """Return the store client of a command, whose versions have the era.

    Explanation
    ===========

    A version that an operator has reviewed may be that of another content once
    the store has come back from an older copy.
    """
    return EraStore(store_at(reactor, address), StoreEra())


def paced_store(reactor, random, settings, log):
    """Return the daemon's rate-limited store, or None without a platform.

    Explanation
    ===========

    All components of a host share it, so that together they stay within
    its budget.
    """
    if settings.platform is None:
        return None
    paced = PacedStore(
        store_at(reactor, settings.platform),
        reactor,
        random,
        _budget(settings.store_calls, reactor),
        log,
        _budget(settings.store_writes, reactor),
    )
    return EraStore(paced, StoreEra(log))


def hosts_reader(reactor, settings):
    """Return a function that reads the host list, or None if not configured."""
    if settings.hosts is None:
        return None
    host, port = settings.hosts
    caller = ServerClient(reactor, reactor, host, port)

    def read_hosts():
        return Deferred.fromCoroutine(read_host_list(caller))

    return read_hosts


def _budget(rate, reactor):
    burst = max(rate * _BURST_SECONDS, _MIN_BURST_CALLS)
    return Budget(rate, burst, reactor.seconds())
