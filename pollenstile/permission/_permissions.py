"""Whether this host may send to an upstream, by what the upstream states."""

from pollenstile.ops.logs import silent_log
from pollenstile.permission._block import Block
from pollenstile.permission._brittle import BrittleServices
from pollenstile.permission._leaving import LeavingUpstreams
from pollenstile.permission._rests import RestPeriods
from pollenstile.ratelimits import RateLimits

LIMITED_REASON = 'limited'


class Permissions:
    """Answers one question for all senders of a host.

    Explanation
    ===========

    May the host send to an incarnation now; if not, why, and until when?
    Forwarded requests, calls of stage queues and calls of the JSON interface
    ask it, when they choose an upstream and again when the connection is open.
    Each kind of statement has a module of its own, with ``note_answer(name,
    service, statements)`` and ``by_name``, which is empty while no upstream has
    stated it. Withdrawals have ``block(name)`` besides.

    Parameters
    ==========

    clock : IReactorTime
        Seconds, and timers.
    rng : random.Random
        Spreads the return of hosts; seeded in tests.
    rates : RateLimits
        Request rates that upstreams accept.
    log : function
        Writes events.

    Attributes
    ==========

    leaving : LeavingUpstreams
        Upstreams that leave.
    rests : RestPeriods
        Upstreams that want no requests for a time.
    brittle : BrittleServices
        Services whose upstreams fall over if they turn too many away.
    withdrawals : tuple
        The kinds of statements that also hold for a request whose upstream was
        chosen before.
    """

    __slots__ = ('brittle', 'leaving', 'rates', 'rests', 'withdrawals')

    def __init__(self, clock, rng, rates, log=silent_log):
        self.rates = rates
        self.leaving = LeavingUpstreams(clock, log)
        self.rests = RestPeriods(clock, rng, log)
        self.brittle = BrittleServices(clock, log)
        self.withdrawals = (self.leaving, self.rests)

    def note_answer(self, name, service, statements):
        """Record the statements of an answer.

        Parameters
        ==========

        name, service : str
            The incarnation that answered, and its service.
        statements : Statements
            Statements of the answer.
        """
        for withdrawal in self.withdrawals:
            withdrawal.note_answer(name, service, statements)
        self.brittle.note_answer(name, service, statements)
        self.rates.stated.note_answer(
            name, statements.rates, is_proof=statements.is_proof
        )

    def note_named(self, name, statements):
        """Record the statements of an upstream that is known by name only."""
        self.note_answer(name, '', statements)

    def is_any_withdrawn(self):
        """Return whether any upstream wants no requests at all."""
        return any(withdrawal.by_name for withdrawal in self.withdrawals)

    def withdrawn(self, name):
        """Return why nothing may be sent to an incarnation at all, or None.

        Explanation
        ===========

        Holds also for a request that has got a token of the incarnation.
        """
        for withdrawal in self.withdrawals:
            block = withdrawal.block(name)
            if block is not None:
                return block
        return None

    def block(self, name):
        """Return why a new request may not be sent to an incarnation, or None.

        Returns
        =======

        Block or None
        """
        withdrawn = self.withdrawn(name)
        if withdrawn is not None or self.rates.may_send(name):
            return withdrawn
        return Block(LIMITED_REASON)

    def is_idle(self):
        """Return whether no statement keeps this host from an upstream."""
        if self.rests.by_name or self.brittle.by_name:
            return False
        return self.rates.is_idle()

    def knows_any(self):
        """Return whether any statement is known that may be forgotten."""
        return bool(self.leaving.by_name) or not self.rates.is_idle()

    def forget_old(self, registered):
        """Drop what is known of incarnations that are over.

        Parameters
        ==========

        registered : set of str
            Names of the incarnations in the registry.
        """
        self.leaving.forget_old(registered)
        if not self.rates.is_idle():
            self.rates.forget_old(registered)


def build_permissions(
    clock, rng, host='', domain='', peers=None, log=silent_log
):
    """Return the :class:`Permissions` of a host, with its rate limits.

    Parameters
    ==========

    clock : IReactorTime
        Seconds, and timers.
    rng : random.Random
        Spreads messages and returns of hosts; seeded in tests.
    host, domain : str
        Name and failure domain of the host.
    peers : dict or None
        Failure domain of each other host by name; None while unknown, empty
        for a host that is alone.
    log : function
        Writes events.
    """
    rates = RateLimits(clock, rng, host, domain, peers, log)
    return Permissions(clock, rng, rates, log)
