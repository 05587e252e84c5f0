"""Answers to what other hosts ask about stage work."""

from functools import partial

from pollenstile.stagework._client import (
    ASK,
    CANCEL,
    READ,
    RELEASE,
    WORD_SECONDS,
)
from pollenstile.stagework._codec import (
    answer_bytes,
    cancel_from,
    group_from,
    read_bytes,
    read_from,
    release_from,
)
from pollenstile.stagework._owner import NO_WORKERS
from pollenstile.stagework._types import GroupRefused

_TAKEN = b''


class StageService:
    """This host's queues, for its peers.

    Parameters
    ==========

    client : StageClient
        Knows the own queues and the groups that this host waits for.
    """

    __slots__ = ('client', 'hub')

    def __init__(self, client):
        self.client = client
        self.hub = client.hub
        subjects = self.hub.requests.subjects
        subjects[ASK] = self._asked
        subjects[RELEASE] = self._released
        subjects[CANCEL] = self._cancelled
        subjects[READ] = self._told_read

    def _asked(self, host, body):
        if self.client.leaving:
            return answer_bytes(GroupRefused(NO_WORKERS))
        group = group_from(body, self.client.clock.seconds())
        on_read = partial(self._tell_read, host, group)
        outcome = self.client.owner(group.service).submit(group, on_read)
        return outcome.addCallback(answer_bytes)

    def _tell_read(self, host, group):
        body = read_bytes(group.request, group.step)
        self.hub.ask(host, READ, body, WORD_SECONDS)

    def _told_read(self, host, body):
        self.client.inputs_read(read_from(body))
        return _TAKEN

    def _released(self, host, body):
        service, handles = release_from(body)
        self.client.owner(service).release(handles)
        return _TAKEN

    def _cancelled(self, host, body):
        service, request = cancel_from(body)
        self.client.owner(service).cancel(request)
        return _TAKEN
