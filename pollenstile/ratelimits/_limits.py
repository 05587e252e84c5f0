"""Requests that this host may send to upstreams that limit their rates."""

import math

from twisted.internet.defer import Deferred, succeed

from pollenstile.ops.logs import silent_log
from pollenstile.peer import Unanswered
from pollenstile.ratelimits._allocators import Allocators
from pollenstile.ratelimits._allotment import Allotment
from pollenstile.ratelimits._ranking import AllocatorRanking
from pollenstile.ratelimits._reach import Reachability
from pollenstile.ratelimits._stated import StatedRates
from pollenstile.ratelimits._tokenclient import TokenClient
from pollenstile.ratelimits._unlisted import UnlistedHosts

# Seconds for which a request waits for the answer to a request for tokens.
_PATIENCE_SECONDS = 0.05


class RateLimits:
    """Limits this host's sends to upstreams that state a request rate.

    Explanation
    ===========

    One host allocates an upstream's rate. The others get tokens of it in
    advance, as many as they had use for since they last asked. No more than
    one request for tokens of an upstream is under way.

    Parameters
    ==========

    clock : IReactorTime
        Seconds.
    rng : random.Random
        Spreads the requests for tokens; seeded in tests.
    host, domain : str
        Name and failure domain of this host.
    peers : dict or None
        Failure domain of each other host by name; None while unknown.
    log : function
        Writes events.

    Attributes
    ==========

    stated : StatedRates
        Rates that upstreams state.
    allocators : Allocators
        What this host allocates to itself and to others.
    client : TokenClient
        The tokens of this host.
    listeners : list of function
        Called with a service when tokens may have come, or a limit is over.
    listed : dict
        Failure domain of each other host of the list, by name.
    list_listeners : list of function
        Called when the list of hosts has been set.
    unlisted : UnlistedHosts
        Hosts that are missing from the list and may still run.
    """

    __slots__ = (
        'allocators',
        'client',
        'clock',
        'list_listeners',
        'listed',
        'listeners',
        'ranking',
        'reach',
        'stated',
        'unlisted',
    )

    def __init__(
        self, clock, rng, host='', domain='', peers=None, log=silent_log
    ):
        self.clock = clock
        self.listeners = []
        self.stated = StatedRates(clock, log)
        self.ranking = AllocatorRanking(host, domain, peers)
        self.reach = Reachability(clock, host, _ask_nobody, log)
        self.allocators = Allocators(
            clock, self.ranking, self.reach, self.stated, log
        )
        self.client = TokenClient(
            clock, rng, self.allocators, self._notify, log
        )
        self.stated.listeners.append(self._rate_changed)
        self.listed = dict(peers or {})
        self.list_listeners = []
        self.unlisted = UnlistedHosts(
            clock, self.reach, self._is_any_limited, self._rank_hosts, log
        )

    def update_hosts(self, peers):
        """Set the failure domains of the other hosts, by name."""
        before = self.listed
        self.listed = dict(peers)
        self.unlisted.update(before, self.listed)
        for listener in self.list_listeners:
            listener()
        self._rank_hosts()

    def leave(self):
        """Leave the allocation of rates to the other hosts."""
        self.ranking.leave()

    def is_idle(self):
        """Return whether no upstream is known to have stated a rate."""
        return not self.stated.by_name

    def may_send(self, name):
        """Return whether a request may be sent to an incarnation now."""
        if not self.stated.rate(name):
            return True
        allotment = self.client.by_name.get(name)
        if allotment is None:
            return False
        return allotment.valid_tokens(self.clock.seconds()) > 0

    def note_sent(self, upstream, request):
        """Count a request, by its identifier, that is sent to an upstream."""
        if self.stated.rate(upstream.name):
            allotment = self._allotment(upstream)
            allotment.note_sent(request)
            self.client.schedule(allotment)

    def note_held_back(self, upstream, request):
        """Count a request for which there is no token of an upstream."""
        allotment = self._allotment(upstream)
        allotment.note_held_back(request)
        self.client.schedule(allotment)

    def note_missed(self, upstream, request):
        """Count a request that goes on without a token of an upstream."""
        allotment = self._allotment(upstream)
        allotment.note_missed(request)
        self.client.schedule(allotment)

    def replenished(self, upstream):
        """Return a Deferred of the request for tokens that is due.

        Explanation
        ===========

        Fires at once when this host has asked shortly before: not each request
        may wait for an answer of another host. It fires soon in any case, as
        the host that is asked may not answer.
        """
        allotment = self._allotment(upstream)
        is_due = self.clock.seconds() >= allotment.asks_at
        if allotment.waiters is None and is_due:
            self.client.ask(allotment)
        if allotment.waiters is None:
            return succeed(None)
        waiter = Deferred()
        allotment.waiters.append(waiter)
        return waiter.addTimeout(
            _PATIENCE_SECONDS, self.clock, onTimeoutCancel=lambda *_: None
        )

    def seconds_until_token(self, upstreams):
        """Return the expected seconds until the host gets the next token.

        Parameters
        ==========

        upstreams : list of RatedUpstream
            Any of which may be used.
        """
        frequency = sum(1 / self._spacing(upstream) for upstream in upstreams)
        return 1 / frequency if frequency else 0.0

    def forget_old(self, registered):
        """Drop what is known of incarnations that are over.

        Parameters
        ==========

        registered : set of str
            Names of the incarnations in the registry.
        """
        self.stated.forget_old(registered)
        self.ranking.keep_only(self.stated.by_name)
        self.allocators.forget_over()
        for name in list(self.client.by_name):
            if not self.stated.rate(name):
                self._drop(name)

    def _is_any_limited(self):
        return bool(self.stated.limited())

    def _rank_hosts(self):
        hosts = {**self.unlisted.domains(), **self.listed}
        if self.ranking.update_hosts(hosts):
            self.reach.keep_only(hosts)
            self.allocators.note_hosts_changed()

    def _allotment(self, upstream):
        allotment = self.client.by_name.get(upstream.name)
        if allotment is None:
            allotment = Allotment(upstream)
            self.client.by_name[upstream.name] = allotment
        return allotment

    def _spacing(self, upstream):
        """Return the average seconds between two tokens of an upstream."""
        allotment = self.client.by_name.get(upstream.name)
        if allotment is not None and allotment.spacing:
            return allotment.spacing
        rate = self.stated.rate(upstream.name)
        hosts = len(self.ranking.peers or ()) + 1
        return hosts / rate if rate else 1.0

    def _rate_changed(self, name, before):
        self.unlisted.ask()
        allotment = self.client.by_name.get(name)
        if allotment is None:
            return
        rate = self.stated.rate(name)
        if not rate:
            self._drop(name)
        elif rate < before:
            allotment.tokens = math.floor(allotment.tokens * rate / before)

    def _drop(self, name):
        """Drop the tokens of an upstream whose limit is over."""
        allotment = self.client.by_name.pop(name)
        allotment.stop_timer()
        allotment.wake_waiters()
        self._notify(allotment.upstream.service)

    def _notify(self, service):
        for listener in self.listeners:
            listener(service)


def _ask_nobody(host, body):
    """Stand in for the links to peers of a host that has none."""
    return succeed(Unanswered('ask', host, 'no route'))
