"""Submission of stage work to the hosts that own the queues."""

from functools import partial

from twisted.internet.defer import CancelledError, Deferred

from pollenstile.ops.logs import silent_log
from pollenstile.peer import BadMessageError, Unanswered
from pollenstile.routes import StageLimits
from pollenstile.stagework import events
from pollenstile.stagework._backlogqueries import refresh_backlogs
from pollenstile.stagework._backlogs import Backlogs
from pollenstile.stagework._calltimes import long_wait
from pollenstile.stagework._codec import (
    answer_from,
    cancel_bytes,
    group_bytes,
    release_bytes,
)
from pollenstile.stagework._ownerwait import OwnerWait
from pollenstile.stagework._ownership import Ownership
from pollenstile.stagework._plan import crowded_seconds, usual_seconds
from pollenstile.stagework._subjects import (
    ASK,
    CANCEL,
    NOTICE_TIMEOUT_SECONDS,
    RELEASE,
    is_final,
)
from pollenstile.stagework._types import GroupRefused

# Seconds to wait for an owner's answer beyond the group's deadline.
_ANSWER_MARGIN_SECONDS = 0.5
_USUAL_LIMITS = StageLimits()


class StageClient:
    """Submits groups to the owners of stages, with failover to other hosts.

    Parameters
    ==========

    host : str
        This host's name.
    hub : Hub
        Links to peers.
    clock : IReactorTime
        Source of the current time.
    owner : function
        Takes a service, returns this host's own :class:`Owner` of it.
    log : function
        Writes events.

    Attributes
    ==========

    ownership : Ownership
        Owners of all queues.
    backlogs : Backlogs
        Latest backlogs that owners reported.
    limits : dict
        Limits of stage services, by name.
    domains : dict
        Failure domains of upstreams, by address.
    leaving : bool
        Whether this host accepts no new work.
    owner_wait : OwnerWait
        Whether pieces wait for the links of a host that has just started.
    read_callbacks : dict
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
        'owner_wait',
        'ownership',
        'read_callbacks',
    )

    def __init__(self, host, hub, clock, owner, log=silent_log):
        self.host = host
        self.hub = hub
        self.clock = clock
        self.owner = owner
        self.log = log
        self.ownership = Ownership(host, hub)
        self.owner_wait = OwnerWait(clock, self.ownership)
        self.limits = {}
        self.domains = {}
        self.backlogs = Backlogs(clock)
        self.read_callbacks = {}
        self.leaving = False

    def seconds(self, service, count):
        """Return the seconds that pieces need at a service's latest backlog.

        Explanation
        ===========

        The reported backlog is not reduced by its age. In a burst, new pieces
        arrive as fast as others are made; with a reduced backlog, requests were
        admitted that were late at the next stage.
        """
        limits = self.limits.get(service)
        if limits is None:
            return 0
        usual = usual_seconds(limits, count)
        backlog = self.backlogs.latest(service)
        return max(usual, backlog.wait) if backlog else usual

    def is_crowded(self, service):
        """Return whether results of a service should be released early."""
        limits = self.limits.get(service)
        backlog = self.backlogs.latest(service)
        if limits is None or backlog is None:
            return False
        return backlog.tight or backlog.wait > crowded_seconds(limits)

    def is_queue_long(self, service):
        """Return whether a service's queue is too long for late requests."""
        limits = self.limits.get(service)
        backlog = self.backlogs.latest(service)
        if limits is None or backlog is None:
            return False
        return backlog.wait > long_wait(limits)

    def refresh_backlogs(self, services):
        """Query the owners whose latest backlog would refuse a request."""
        return refresh_backlogs(self, services)

    def limits_of(self, service):
        """Return a service's limits, or the defaults when they are unknown."""
        return self.limits.get(service, _USUAL_LIMITS)

    def domain_of(self, handles):
        """Return the failure domain that holds most of some results."""
        domains = [
            self.domains.get(handle.partition('/')[0], '') for handle in handles
        ]
        return max(set(domains), key=domains.count)

    def domains_with(self, service):
        """Return the failure domains that have upstreams of a service."""
        workers = self.owner(service).workers.values()
        return tuple(sorted({worker.domain for worker in workers}))

    def review(self, owners, *, leaving):
        """Hand over queues that another host owns now.

        Parameters
        ==========

        owners : dict
            This host's queues, by service.
        leaving : bool
            Whether this host accepts no new work.
        """
        self.leaving = leaving
        for service, owner in owners.items():
            if not owner.waiting:
                continue
            if self.owning_host(service) != self.host:
                owner.hand_over()

    def submit(self, group, on_read):
        """Return a Deferred of the owner host and the group's outcome.

        Parameters
        ==========

        on_read : function
            Called when the group's inputs were fetched and may be released.
        """
        self.read_callbacks[group.ident] = on_read
        work = Deferred.fromCoroutine(self._outcome(group))
        return work.addBoth(
            _without_read_callback, self.read_callbacks, group.ident
        )

    def cancel(self, service, plan):
        """Cancel a request at all hosts that may own a service."""
        self.owner(service).cancel(plan.request)
        body = cancel_bytes(service, plan.request)
        for host in self.candidates(service):
            if host != self.host:
                self.hub.ask(host, CANCEL, body, NOTICE_TIMEOUT_SECONDS)

    def release(self, host, service, handles):
        """Release results at the owner that had them made.

        Explanation
        ===========

        When the owner is unreachable, this host releases them itself, because
        unreleased results take up memory for seconds.
        """
        if host == self.host or host not in self.hub.links:
            self.owner(service).release(handles)
            return
        body = release_bytes(service, handles)
        self.hub.ask(host, RELEASE, body, NOTICE_TIMEOUT_SECONDS)

    def inputs_read(self, ident):
        """Run the callback of a group whose inputs were fetched."""
        on_read = self.read_callbacks.pop(ident, None)
        if on_read is not None:
            on_read()

    def candidates(self, service):
        """Return reachable hosts in the order of ownership of a service."""
        return self.ownership.candidates(service, leaving=self.leaving)

    def owning_host(self, service):
        """Return the host that owns a service's queue in this host's view."""
        return self.ownership.first_candidate(service, leaving=self.leaving)

    async def _outcome(self, group):
        tried = set()
        await self.owner_wait.pass_by(group.service, group.deadline)
        while True:
            untried = [
                candidate
                for candidate in self.candidates(group.service)
                if candidate not in tried
            ]
            host = untried[0] if untried else self.host
            ask = self._ask_own_queue if host == self.host else self.ask_host
            outcome = await ask(host, group)
            if is_final(outcome):
                self.backlogs.record(group.service, outcome)
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
            # Calls of the owner that was lost may delay those of the next one,
            # so the start of a call doesn't show that its inputs were fetched.
            self.read_callbacks.pop(group.ident, None)

    async def _ask_own_queue(self, host, group):
        on_read = partial(self.inputs_read, group.ident)
        answer = self.owner(group.service).submit(group, on_read)
        try:
            return await answer
        except CancelledError:
            self.owner(group.service).cancel(group.request)
            raise

    async def ask_host(self, host, group):
        """Return the outcome of a group at another host, or ``Unanswered``."""
        now = self.clock.seconds()
        body = group_bytes(group, now)
        remaining = max(0, group.deadline - now) + _ANSWER_MARGIN_SECONDS
        answer = await self.hub.ask(host, ASK, body, remaining)
        if isinstance(answer, Unanswered):
            return answer
        try:
            return answer_from(answer)
        except BadMessageError as error:
            return Unanswered(ASK, host, str(error))


def _without_read_callback(outcome, read_callbacks, ident):
    """Remove a group's read callback and return the outcome unchanged."""
    read_callbacks.pop(ident, None)
    return outcome
