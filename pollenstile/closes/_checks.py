"""Checks of closed connections, shared by those that close together."""

from functools import partial

from twisted.internet.error import ConnectionRefusedError
from twisted.internet.task import deferLater

from pollenstile.closes._asking import ANSWER_SECONDS, AskingFactory, Question
from pollenstile.closes._signs import Sign
from pollenstile.closes._witness import CONNECT_SECONDS, Closed, Witness
from pollenstile.ops.bounded import drop_oldest
from pollenstile.ops.connecting import connect_in_time
from pollenstile.ops.logs import silent_log
from pollenstile.platform import SharedReads

# Questions on new connections, where an upstream resets them as it has no
# connections to spare, and the time between two.
_TRIES = 3
_RETRY_SECONDS = 0.05
# Time in which they end, twice as they may wait for those before.
_ASK_SECONDS = 2 * _TRIES * (CONNECT_SECONDS + ANSWER_SECONDS)
# Time between a close of the sending side and that of the connection, by which
# unread bytes show: some calls of a process that shares a processor.
_RESET_SECONDS = 0.02
# Addresses whose questions are shared.
_MAX_ADDRESSES = 512
# What shows that the process which has closed lives on: on a witness, and on a
# new connection, which any process has that listens now.
_ALIVE = frozenset((Sign.ANSWERED, Sign.OPEN))
_ALIVE_ANEW = _ALIVE | {Sign.CLOSED}
_DEFAULT_TARGET = b'/report'


class CloseChecks:
    """Tells whether processes live on that have closed a connection in order.

    Explanation
    ===========

    A process that is killed closes its connections as it does when it ends an
    answer. What tells them apart is a sign of life of the same process after
    the close: an answer on a connection that was open before it, the witness.
    Without a witness, a new connection must do; closes of one address at the
    same time share it.

    Parameters
    ==========

    reactor : IReactorTCP and IReactorTime
        Opens connections.
    log : function
        Writes events.

    Attributes
    ==========

    question : function
        Takes an address and the identifier of its process, empty if that is
        not known; returns the :class:`Question` to it.
    is_last : function
        Takes an address; returns whether this host has no other request there.
    has_left : function
        Takes an address, the time of a close and an identifier; returns a
        coroutine of whether the process has stated that it has left by then.
    witnesses : dict
        :class:`Witness` by address, while an answer needs it.
    asked : dict
        :class:`SharedReads` of questions by address and identifier, oldest
        first.
    """

    __slots__ = (
        'asked',
        'has_left',
        'is_last',
        'log',
        'question',
        'reactor',
        'witnesses',
    )

    def __init__(self, reactor, log=silent_log):
        self.reactor = reactor
        self.log = log
        self.question = _default_question
        self.is_last = _always
        self.has_left = _never
        self.witnesses = {}
        self.asked = {}

    def begin(self, address):
        """Prepare for the close of a connection.

        Parameters
        ==========

        address : str
            ``IP:PORT`` of its other end.
        """
        witness = self.witnesses.get(address)
        if witness is None:
            witness = Witness(self.reactor, address)
            self.witnesses[address] = witness
        witness.reopen()
        witness.users += 1

    def end(self, address):
        """Undo :meth:`begin`, once for each call."""
        witness = self.witnesses[address]
        witness.users -= 1
        if not witness.users:
            self.witnesses.pop(address)
            witness.stop()

    def closed(self, address, late_since):
        """Return what is known of a connection whose close was just read.

        Parameters
        ==========

        address : str
            ``IP:PORT``; :meth:`begin` was called for it.
        late_since : float or None
            From when on the close may have gone unread; None if it was read as
            it came.

        Returns
        =======

        Closed
        """
        now = self.reactor.seconds()
        witness = self.witnesses[address]
        closed = Closed(
            now if late_since is None else late_since,
            now,
            is_last=witness.users == 1 and self.is_last(address),
        )
        witness.unproven.append(closed)
        return closed

    def note_proven(self, address, closed):
        """Record that a process has shown that it lives on after a close."""
        witness = self.witnesses.get(address)
        if witness is not None and closed in witness.unproven:
            witness.unproven.remove(closed)

    async def left_in_order(self, address, closed, ident=''):
        """Return whether the process that has closed has left as it did.

        Parameters
        ==========

        address : str
            ``IP:PORT``; :meth:`begin` was called for it.
        closed : Closed
            The connection.
        ident : str
            Identifier of the process; empty if it is not known.
        """
        witness = self.witnesses.get(address)
        if witness is None or not closed.is_last:
            return False
        has_left = await self.has_left(address, closed.read_at, ident)
        return has_left and witness.is_alone(closed)

    async def witnessed(self, address, closed, ident=''):
        """Return whether the process that has closed lives on, by a witness.

        Parameters
        ==========

        address : str
            ``IP:PORT``; :meth:`begin` was called for it.
        closed : Closed
            The connection.
        ident : str
            Identifier of the process; empty if it is not known.

        Returns
        =======

        bool or None
            None if no witness shows it.
        """
        witness = self.witnesses[address]
        # What has arrived by now is read between two timers.
        await deferLater(self.reactor, 0)
        await deferLater(self.reactor, 0)
        if witness.ended_with(closed):
            return False
        connection = witness.take(closed)
        if connection is None:
            return None
        sign = await connection.ask(self.question(address, ident))
        return None if sign is Sign.CLOSED else sign in _ALIVE

    async def answers_anew(self, address, ident=''):
        """Return whether the process that listens now shows a sign of life.

        Parameters
        ==========

        address : str
            ``IP:PORT`` at which it listens.
        ident : str
            Identifier of the process that has closed; empty if it is not known.
        """
        key = address, ident
        if key not in self.asked:
            self.asked[key] = SharedReads(
                self.reactor,
                partial(self._ask_anew, *key),
                _no_pause,
                self.log,
                Sign.UNREACHED,
            )
            drop_oldest(self.asked, _MAX_ADDRESSES)
        sign = await self.asked[key].begun_now(_ASK_SECONDS)
        return sign in _ALIVE_ANEW

    async def await_reset(self, closed):
        """Wait until a connection shows whether its bytes were not read."""
        rest = closed.read_at + _RESET_SECONDS - self.reactor.seconds()
        if rest > 0:
            await deferLater(self.reactor, rest)

    async def _ask_anew(self, address, ident):
        sign = await self._ask_once(address, ident)
        for _ in range(_TRIES - 1):
            if sign is not Sign.RESET:
                break
            await deferLater(self.reactor, _RETRY_SECONDS)
            sign = await self._ask_once(address, ident)
        return sign

    async def _ask_once(self, address, ident):
        factory = AskingFactory(self.reactor, _ignore)
        connect_in_time(self.reactor, address, factory, CONNECT_SECONDS)
        try:
            connection = await factory.done
        except ConnectionRefusedError:
            return Sign.REFUSED
        except Exception:
            return Sign.UNREACHED
        # It is open once Twisted has connected it to its transport.
        await deferLater(self.reactor, 0)
        if connection.lost_at is not None:
            return Sign.RESET
        return await connection.ask(self.question(address, ident))


def _default_question(address, ident):
    return Question(_DEFAULT_TARGET, [(b'Host', address.encode())])


def _always(address):
    return True


async def _never(address, closed_at, ident):
    return False


def _no_pause():
    """Return that a question may be asked right after any other one."""
    return 0.0


def _ignore(connection):
    """Do nothing: a question is sent soon, which notices the loss."""
