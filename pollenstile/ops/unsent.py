"""Connections whose other end closes before it has received everything."""

import fcntl
import socket
import struct
import termios

from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.python.failure import Failure
from zope.interface import implementer

# Format of the number of bytes that the system returns.
_COUNT = 'i'
# Format of the option that has a connection reset as it is closed.
_LINGER = 'ii'


def unsent_bytes(transport):
    """Return the number of bytes that the other end has not received.

    Explanation
    ===========

    These are the bytes that wait in this process, and those in the queue of the
    socket that the other end has not acknowledged.

    Parameters
    ==========

    transport : twisted.internet.tcp.Connection
        An open connection.
    """
    waiting = len(transport.dataBuffer) - transport.offset
    return waiting + transport._tempDataLen + _queued_bytes(transport.socket)


def _queued_bytes(sock):
    """Return the bytes in a socket's queue, 0 if the system can't tell."""
    try:
        count = fcntl.ioctl(
            sock, termios.TIOCOUTQ, bytes(struct.calcsize(_COUNT))
        )
    except OSError:
        return 0
    return struct.unpack(_COUNT, count)[0]


def set_reset_at_exit(transport, *, is_on):
    """Have the system reset a connection if this process ends, or close it.

    Explanation
    ===========

    For a protocol in which a close in order would be the end of what is being
    sent. It concerns closes by this process as well.

    Parameters
    ==========

    transport : ITransport
        An open connection; nothing is done for one without a socket.
    is_on : bool
        Whether to reset it.
    """
    option = struct.pack(_LINGER, is_on, 0)
    if hasattr(transport, 'socket'):
        transport.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)


def is_reset(transport):
    """Return whether a closed connection was reset after the close.

    Explanation
    ===========

    The system resets a connection that is closed for good with bytes that the
    process has not read.

    Parameters
    ==========

    transport : twisted.internet.tcp.Connection
        A connection that this end has not closed.
    """
    option = transport.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    return option != 0


@implementer(IHalfCloseableProtocol)
class EarlyCloseNoted:
    """Part of a protocol that notes a close by the other end which is early.

    Explanation
    ===========

    The connection ends at a close in order as it does without this part, unless
    the protocol defines :meth:`closed` otherwise.

    Attributes
    ==========

    is_closed_early : bool
        Whether the other end closed before it had received all that was
        written.
    """

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.is_closed_early = False

    def readConnectionLost(self):
        """Note how the other end has closed; called by Twisted."""
        self.is_closed_early = unsent_bytes(self.transport) > 0
        self.closed()

    def closed(self):
        """End the connection, which the other end has closed in order."""
        self.end_closed()

    def end_closed(self):
        """End the connection as closed in order."""
        self.transport.connectionLost(Failure(ConnectionDone()))

    def writeConnectionLost(self):
        """Do nothing, as this end closes both sides; called by Twisted."""
