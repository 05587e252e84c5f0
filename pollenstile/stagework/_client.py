"""Stage work handed to the hosts that own the queues."""

from functools import partial

from twisted.internet.defer import CancelledError, Deferred

from pollenstile.ops.logs import silent_log
from pollenstile.peer import BadMessageError, Unanswered
from pollenstile.routes import StageLimits
from pollenstile.stagework import events
from pollenstile.stagework._backlogs import Backlogs
from pollenstile.stagework._calltimes import long_wait
from pollenstile.stagework._codec import (
    answer_from,
    cancel_bytes,
    group_bytes,
    release_bytes,
)
from pollenstile.stagework._ownership import Ownership
from pollenstile.stagework._plan import crowded_seconds, usual_seconds
from pollenstile.stagework._refreshing import refresh_backlogs
from pollenstile.stagework._subjects import (
    ASK,
    CANCEL,
    RELEASE,
    WORD_SECONDS,
    is_final,
)
from pollenstile.stagework._types import GroupRefused

# Seconds for the answer of an owner beyond the group's own end.
_ANSWER_MARGIN = 0.5
_USUAL_LIMITS = StageLimits()


class StageClient:
    """Finds the owner of a stage, also when one dies, and asks it.

    Parameters
    ==========

    host : str
        This host's name.
    hub : Hub
        Links to peers.
    clock : IReactorTime
        Measures what is left.
    owner : function
        Takes a service, returns this host's own :class:`Owner` of it.
    log : function
        Writes events.

    Attributes
    ==========

    ownership : Ownership
        Who owns which queue.
    backlogs : Backlogs
        What owners told last.
    limits : dict
        Of stage services, by name.
    domains : dict
        Failure domains of upstreams, by address.
    leaving : bool
        Whether this host takes no new work.
    reading : dict
        Functions to call when a group's inputs were fetched, by group.
    """

    __slots__ = (
        'backlogs',
        'clock',
        'domains',
        'host',
        'hub',
        'leaving',
        'limits',
        'log',
        'owner',
        'ownership',
        'reading',
    )

    def __init__(self, host, hub, clock, owner, log=silent_log):
        self.host = host
        self.hub = hub
        self.clock = clock
        self.owner = owner
        self.log = log
        self.ownership = Ownership(host, hub)
        self.limits = {}
        self.domains = {}
        self.backlogs = Backlogs(clock)
        self.reading = {}
        self.leaving = False

    def seconds(self, service, count):
        """Return what pieces of a service take at its last known backlog.

        Explanation
        ===========

        The backlog is taken as it was told: under a burst it is made up as
        fast as it is worked off, and counted down by its age it let requests
        in that were late at the next stage.
        """
        limits = self.limits.get(service)
        if limits is None:
            return 0
        usual = usual_seconds(limits, count)
        backlog = self.backlogs.latest(service)
        return max(usual, backlog.wait) if backlog else usual

    def is_crowded(self, service):
        """Return whether room of a service is worth saving."""
        limits = self.limits.get(service)
        backlog = self.backlogs.latest(service)
        if limits is None or backlog is None:
            return False
        return backlog.tight or backlog.wait > crowded_seconds(limits)

    def is_queue_long(self, service):
        """Return whether a service's queue has no place for what is late."""
        limits = self.limits.get(service)
        backlog = self.backlogs.latest(service)
        if limits is None or backlog is None:
            return False
        return backlog.wait > long_wait(limits)

    def refresh_backlogs(self, services):
        """Ask owners anew whose last word would keep a request out."""
        return refresh_backlogs(self, services)

    def limits_of(self, service):
        """Return a service's limits, the usual ones when they are not known."""
        return self.limits.get(service, _USUAL_LIMITS)

    def domain_of(self, handles):
        """Return the failure domain in which most results lie."""
        domains = [
            self.domains.get(handle.partition('/')[0], '') for handle in handles
        ]
        return max(set(domains), key=domains.count)

    def domains_with(self, service):
        """Return the failure domains that have upstreams of a service."""
        workers = self.owner(service).workers.values()
        return tuple(sorted({one.domain for one in workers}))

    def review(self, owners, *, leaving):
        """Hand queues over that another host owns now.

        Parameters
        ==========

        owners : dict
            This host's queues, by service.
        leaving : bool
            Whether this host takes no new work.
        """
        self.leaving = leaving
        for service, owner in owners.items():
            if not owner.waiting:
                continue
            if self.owning_host(service) != self.host:
                owner.hand_over()

    def submit(self, group, on_read):
        """Return a Deferred of owner host and the group's outcome.

        Parameters
        ==========

        on_read : function
            Called when the group's inputs were fetched and may be released.
        """
        self.reading[group.ident] = on_read
        work = Deferred.fromCoroutine(self._outcome(group))
        return work.addBoth(_forgotten, self.reading, group.ident)

    def cancel(self, service, plan):
        """Tell whoever may own a service that a request is over."""
        self.owner(service).cancel(plan.request)
        body = cancel_bytes(service, plan.request)
        for host in self.candidates(service):
            if host != self.host:
                self.hub.ask(host, CANCEL, body, WORD_SECONDS)

    def release(self, host, service, handles):
        """Tell an owner that results are not needed any more.

        Explanation
        ===========

        An owner that is gone can't release them; this host does, since
        results that nobody releases take up room for seconds.
        """
        if host == self.host or host not in self.hub.links:
            self.owner(service).release(handles)
            return
        body = release_bytes(service, handles)
        self.hub.ask(host, RELEASE, body, WORD_SECONDS)

    def inputs_read(self, ident):
        """Note that a group's inputs were fetched."""
        on_read = self.reading.pop(ident, None)
        if on_read is not None:
            on_read()

    def candidates(self, service):
        """Return reachable hosts in the order in which they own a service."""
        return self.ownership.candidates(service, leaving=self.leaving)

    def owning_host(self, service):
        """Return the host that owns a service's queue, as this one sees it."""
        return self.ownership.first(service, leaving=self.leaving)

    async def _outcome(self, group):
        tried = set()
        while True:
            untried = [
                one
                for one in self.candidates(group.service)
                if one not in tried
            ]
            host = untried[0] if untried else self.host
            ask = self._own if host == self.host else self.remote
            outcome = await ask(host, group)
            if is_final(outcome):
                self.backlogs.note(group.service, outcome)
                return host, outcome
            self.log(
                events.STAGE_OWNER_LOST,
                level='warning',
                request=group.request,
                service=group.service,
                peer=host,
                reason=outcome.reason,
            )
            if host in tried:
                return host, GroupRefused(outcome.reason)
            if self.clock.seconds() >= group.deadline:
                return host, GroupRefused('late')
            tried.add(host)

    async def _own(self, host, group):
        on_read = partial(self.inputs_read, group.ident)
        asked = self.owner(group.service).submit(group, on_read)
        try:
            return await asked
        except CancelledError:
            self.owner(group.service).cancel(group.request)
            raise

    async def remote(self, host, group):
        """Return a group's outcome by another host, or ``Unanswered``."""
        now = self.clock.seconds()
        body = group_bytes(group, now)
        left = max(0, group.deadline - now) + _ANSWER_MARGIN
        answer = await self.hub.ask(host, ASK, body, left)
        if isinstance(answer, Unanswered):
            return answer
        try:
            return answer_from(answer)
        except BadMessageError as error:
            return Unanswered(ASK, host, str(error))


def _forgotten(outcome, reading, ident):
    """Return an outcome after which nobody waits for a group's reading."""
    reading.pop(ident, None)
    return outcome
