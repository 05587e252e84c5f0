"""Handlers of stage work messages from other hosts."""

from functools import partial

from twisted.internet.defer import Deferred

from pollenstile.stagework._backlogqueries import own_backlog
from pollenstile.stagework._codec import (
    answer_bytes,
    backlog_from,
    cancel_from,
    group_from,
    read_bytes,
    read_from,
    release_from,
)
from pollenstile.stagework._forwarding import Forwarder
from pollenstile.stagework._owner import NO_WORKERS
from pollenstile.stagework._requesters import Requesters
from pollenstile.stagework._subjects import (
    ASK,
    BACKLOG,
    CANCEL,
    NOTICE_TIMEOUT_SECONDS,
    READ,
    RELEASE,
    is_final,
)
from pollenstile.stagework._types import GroupRefused

_ACKNOWLEDGED = b''


class StageService:
    """Serves this host's queues to its peers.

    Parameters
    ==========

    client : StageClient
        Holds this host's queues and the groups that it waits for.
    """

    __slots__ = ('client', 'forwarder', 'hub', 'requesters')

    def __init__(self, client):
        self.client = client
        self.hub = client.hub
        self.forwarder = Forwarder(client)
        self.requesters = Requesters(self.hub, client.owner)
        subjects = self.hub.requests.subjects
        subjects[ASK] = self._handle_ask
        subjects[RELEASE] = self._handle_release
        subjects[CANCEL] = self._handle_cancel
        subjects[READ] = self._handle_read
        subjects[BACKLOG] = self._handle_backlog

    def _handle_ask(self, host, body):
        if self.client.leaving:
            return answer_bytes(GroupRefused(NO_WORKERS))
        group = group_from(body, self.client.clock.seconds())
        on_read = partial(self._notify_read, host, group)
        self.requesters.record_request(host, group)
        work = Deferred.fromCoroutine(self._outcome(group, on_read))
        work.addCallback(self._record_outcome, host, group)
        return work.addCallback(answer_bytes)

    def _record_outcome(self, outcome, host, group):
        self.requesters.record_outcome(
            host, group, getattr(outcome, 'handles', ())
        )
        return outcome

    async def _outcome(self, group, on_read):
        """Return a group's outcome at the host that owns its queue.

        Explanation
        ===========

        After many hosts have died, hosts have links to different subsets of the
        remaining ones. If each host that receives a group had a queue of its
        own on the same upstreams, calls would wait for those of another queue,
        find their inputs released, and lack memory that neither queue accounts
        for.
        """
        forwarded = await self.forwarder.outcome(group, on_read)
        if forwarded is not None:
            return forwarded
        outcome = await self.client.owner(group.service).submit(group, on_read)
        if is_final(outcome):
            return outcome
        # Refused, because another host owns the queue by now.
        return await self.forwarder.outcome(group, on_read) or outcome

    def _notify_read(self, host, group):
        body = read_bytes(group.request, group.step)
        self.hub.ask(host, READ, body, NOTICE_TIMEOUT_SECONDS)

    def _handle_backlog(self, host, body):
        return answer_bytes(own_backlog(self.client, backlog_from(body)))

    def _handle_read(self, host, body):
        self.client.inputs_read(read_from(body))
        return _ACKNOWLEDGED

    def _handle_release(self, host, body):
        service, handles, is_forwarded = release_from(body)
        self.requesters.forget_handles(handles)
        self.forwarder.release(service, handles, is_forwarded=is_forwarded)
        return _ACKNOWLEDGED

    def _handle_cancel(self, host, body):
        service, request = cancel_from(body)
        self.client.owner(service).cancel(request)
        self.forwarder.cancel(service, request)
        return _ACKNOWLEDGED
