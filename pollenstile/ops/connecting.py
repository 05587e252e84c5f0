"""Connections that are given up in time, but not for the host's own pauses."""

from twisted.internet.error import TimeoutError as ConnectTimeout

from pollenstile.ops.lateness import READ_SECONDS

_CONNECTING = 'connecting'


def connect_in_time(reactor, address, factory, seconds):
    """Open a connection; return its connector.

    Explanation
    ===========

    The timer of ``connectTCP`` fires before a connection is noticed that was
    opened while this host stood still. An upstream that has accepted it would
    count as unreachable. The last part of the time has a timer of its own, and
    between two timers the host reads.

    Parameters
    ==========

    reactor : IReactorTCP and IReactorTime
        Opens the connection.
    address : str
        ``IP:PORT``.
    factory : ClientFactory
        Gets the connection, or the reason why there is none.
    seconds : float
        Time allowed for the handshake.
    """
    host, _, port = address.rpartition(':')
    connector = reactor.connectTCP(host, int(port), factory, timeout=None)
    # The connector cancels its timer when it has ended.
    connector.timeoutID = reactor.callLater(
        max(0, seconds - READ_SECONDS), _read_on, reactor, connector
    )
    return connector


def _read_on(reactor, connector):
    """Give up after the host has read, however late it is."""
    connector.timeoutID = reactor.callLater(READ_SECONDS, _give_up, connector)


def _give_up(connector):
    if connector.state == _CONNECTING:
        connector.transport.failIfNotConnected(ConnectTimeout())
