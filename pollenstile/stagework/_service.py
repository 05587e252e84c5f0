"""Answers to what other hosts ask about stage work."""

from functools import partial

from twisted.internet.defer import Deferred

from pollenstile.stagework._askers import Askers
from pollenstile.stagework._codec import (
    answer_bytes,
    backlog_from,
    cancel_from,
    group_from,
    read_bytes,
    read_from,
    release_from,
)
from pollenstile.stagework._owner import NO_WORKERS
from pollenstile.stagework._passing import Passing
from pollenstile.stagework._refreshing import own_backlog
from pollenstile.stagework._subjects import (
    ASK,
    BACKLOG,
    CANCEL,
    READ,
    RELEASE,
    WORD_SECONDS,
    is_final,
)
from pollenstile.stagework._types import GroupRefused

_TAKEN = b''


class StageService:
    """This host's queues, for its peers.

    Parameters
    ==========

    client : StageClient
        Knows the own queues and the groups that this host waits for.
    """

    __slots__ = ('askers', 'client', 'hub', 'passing')

    def __init__(self, client):
        self.client = client
        self.hub = client.hub
        self.passing = Passing(client)
        self.askers = Askers(self.hub, client.owner)
        subjects = self.hub.requests.subjects
        subjects[ASK] = self._asked
        subjects[RELEASE] = self._released
        subjects[CANCEL] = self._cancelled
        subjects[READ] = self._told_read
        subjects[BACKLOG] = self._told_backlog

    def _asked(self, host, body):
        if self.client.leaving:
            return answer_bytes(GroupRefused(NO_WORKERS))
        group = group_from(body, self.client.clock.seconds())
        on_read = partial(self._tell_read, host, group)
        self.askers.asked(host, group)
        work = Deferred.fromCoroutine(self._outcome(group, on_read))
        work.addCallback(self._answered, host, group)
        return work.addCallback(answer_bytes)

    def _answered(self, outcome, host, group):
        self.askers.answered(host, group, getattr(outcome, 'handles', ()))
        return outcome

    async def _outcome(self, group, on_read):
        """Have a group made by whoever owns its queue.

        Explanation
        ===========

        After many hosts have died, each host reaches others of them first. A
        queue at each host that is asked would draw on the same upstreams:
        calls would wait for those of the other queue, find their inputs
        released, and no room that either queue knows of.
        """
        passed = await self.passing.outcome(group, on_read)
        if passed is not None:
            return passed
        outcome = await self.client.owner(group.service).submit(group, on_read)
        if is_final(outcome):
            return outcome
        # Given back, as another host owns the queue by now.
        return await self.passing.outcome(group, on_read) or outcome

    def _tell_read(self, host, group):
        body = read_bytes(group.request, group.step)
        self.hub.ask(host, READ, body, WORD_SECONDS)

    def _told_backlog(self, host, body):
        return answer_bytes(own_backlog(self.client, backlog_from(body)))

    def _told_read(self, host, body):
        self.client.inputs_read(read_from(body))
        return _TAKEN

    def _released(self, host, body):
        service, handles, passed_on = release_from(body)
        self.askers.released(handles)
        self.passing.release(service, handles, passed_on=passed_on)
        return _TAKEN

    def _cancelled(self, host, body):
        service, request = cancel_from(body)
        self.client.owner(service).cancel(request)
        self.passing.cancel(service, request)
        return _TAKEN
