"""Passing stage work on to the host that owns its queue."""

from dataclasses import replace

from pollenstile.stagework._codec import cancel_bytes, release_bytes
from pollenstile.stagework._subjects import (
    CANCEL,
    RELEASE,
    WORD_SECONDS,
    is_final,
)


class Passing:
    """Passes on what this host is asked for and does not own.

    Explanation
    ===========

    Who asked has no link to the owner yet, or does not know of it. Work is
    passed on once only, so that two hosts that take each other for the owner
    end by doing it.

    Parameters
    ==========

    client : StageClient
        Asks other hosts.

    Attributes
    ==========

    under_way : dict
        Hosts that were asked, by service and request.
    """

    __slots__ = ('client', 'under_way')

    def __init__(self, client):
        self.client = client
        self.under_way = {}

    async def outcome(self, group, on_read):
        """Return a group's outcome by the host that owns its queue, or None.

        Explanation
        ===========

        None when this host owns the queue, when the group was passed on
        already, or when the owner fails: then it is made here.

        Parameters
        ==========

        on_read : function
            Called when the group's inputs were fetched.
        """
        client = self.client
        owner = client.owning_host(group.service)
        if group.passed_on or owner == client.host:
            return None
        key = group.service, group.request
        self.under_way[key] = owner
        client.reading[group.ident] = on_read
        outcome = await client.remote(owner, replace(group, passed_on=True))
        client.reading.pop(group.ident, None)
        self.under_way.pop(key, None)
        return outcome if is_final(outcome) else None

    def release(self, service, handles, *, passed_on):
        """Release results at the host that had them made.

        Explanation
        ===========

        Released here, their room would count as taken there until they lapse.

        Parameters
        ==========

        passed_on : bool
            Whether another host has passed this on already.
        """
        client = self.client
        own = client.owner(service)
        owner = client.owning_host(service)
        if passed_on or owner == client.host or _holds(own, handles):
            own.release(handles)
            return
        body = release_bytes(service, handles, passed_on=True)
        client.hub.ask(owner, RELEASE, body, WORD_SECONDS)

    def cancel(self, service, request):
        """Tell the host that makes what was passed on to it."""
        owner = self.under_way.get((service, request))
        if owner is not None:
            body = cancel_bytes(service, request)
            self.client.hub.ask(owner, CANCEL, body, WORD_SECONDS)


def _holds(queue, handles):
    """Return whether a queue had some of these results made."""
    return any(
        handle in worker.held
        for worker in queue.workers.values()
        for handle in handles
    )
