"""Checks of closed connections, shared by those that close together."""

from functools import partial

from twisted.internet.task import deferLater

from pollenstile.closes._probe import ProbeFactory, ProbeResult
from pollenstile.closes._witness import Closed, Witness
from pollenstile.ops.bounded import drop_oldest
from pollenstile.ops.connecting import connect_in_time
from pollenstile.ops.logs import silent_log
from pollenstile.platform import SharedReads

# Timeout of the TCP handshake, as for requests.
_CONNECT_SECONDS = 0.35
# Time for the answer of a round trip, which may wait for the one before it.
_CHECK_SECONDS = 2 * _CONNECT_SECONDS + 0.1
# Time between a close of the sending side and that of the connection, by which
# unread bytes show: some calls of a process that shares a processor.
_RESET_SECONDS = 0.02
# Addresses whose round trips are shared.
_MAX_ADDRESSES = 512


class CloseChecks:
    """Tells whether processes live on that have closed a connection in order.

    Explanation
    ===========

    A process that is killed closes its connections as it does when it ends an
    answer. What tells them apart is whether the same process is there a round
    trip later. Closes of one address at the same time share a round trip.

    Parameters
    ==========

    reactor : IReactorTCP and IReactorTime
        Opens connections.
    log : function
        Writes events.

    Attributes
    ==========

    witnesses : dict
        :class:`Witness` by address, while an answer needs it.
    round_trips : dict
        :class:`SharedReads` by address, oldest first.
    """

    __slots__ = ('log', 'reactor', 'round_trips', 'witnesses')

    def __init__(self, reactor, log=silent_log):
        self.reactor = reactor
        self.log = log
        self.witnesses = {}
        self.round_trips = {}

    def begin(self, address):
        """Prepare for the close of a connection; return the time.

        Parameters
        ==========

        address : str
            ``IP:PORT`` of its other end.
        """
        witness = self.witnesses.get(address)
        if witness is None:
            witness = Witness(self.reactor, address)
            self.witnesses[address] = witness
            witness.open()
        witness.users += 1
        return self.reactor.seconds()

    def end(self, address):
        """Undo :meth:`begin`, once for each call."""
        witness = self.witnesses[address]
        witness.users -= 1
        if not witness.users:
            self.witnesses.pop(address)
            witness.stop()

    async def lives_on(self, address, began_at, paused_at, *, had_upload):
        """Return whether the process that has just closed lives on.

        Explanation
        ===========

        False as well if it can't be reached. An address that refuses new
        connections has answered too: a process that leaves may have stopped to
        listen before it ends its last answers.

        Parameters
        ==========

        address : str
            ``IP:PORT``.
        began_at : float
            What :meth:`begin` has returned for it.
        paused_at : float or None
            When this end first paused to read from it, if it has: the close may
            have come at any time since.
        had_upload : bool
            Whether the process was sent more than a head. Its system resets the
            connection soon if it was closed for good and not read.
        """
        now = self.reactor.seconds()
        open_at = now if paused_at is None else paused_at
        closed = Closed(began_at, open_at, now)
        witness = self.witnesses[address]
        reached = await self._round_trip(address)
        rest = closed.read_at + _RESET_SECONDS - self.reactor.seconds()
        if had_upload and rest > 0:
            await deferLater(self.reactor, rest)
        if reached is ProbeResult.UNKNOWN:
            return False
        lives_on = witness.lives_on(closed)
        if lives_on is None:
            return reached is ProbeResult.ACCEPTED
        return lives_on

    def _round_trip(self, address):
        """Return a Deferred of the ``ProbeResult`` of a new connection."""
        if address not in self.round_trips:
            self.round_trips[address] = SharedReads(
                self.reactor,
                partial(self._probe, address),
                _no_pause,
                self.log,
                ProbeResult.UNKNOWN,
            )
            drop_oldest(self.round_trips, _MAX_ADDRESSES)
        return self.round_trips[address].begun_now(_CHECK_SECONDS)

    async def _probe(self, address):
        factory = ProbeFactory()
        connect_in_time(self.reactor, address, factory, _CONNECT_SECONDS)
        result = await factory.done
        # What has arrived by now is read between two timers.
        await deferLater(self.reactor, 0)
        await deferLater(self.reactor, 0)
        return result


def _no_pause():
    """Return that a round trip may begin after any other one."""
    return 0.0
