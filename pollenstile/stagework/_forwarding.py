"""Forwarding of stage work to the host that owns its queue."""

from dataclasses import replace

from pollenstile.stagework._codec import cancel_bytes, release_bytes
from pollenstile.stagework._subjects import (
    CANCEL,
    NOTICE_TIMEOUT_SECONDS,
    RELEASE,
    is_final,
)


class Forwarder:
    """Forwards requests for queues that this host does not own.

    Explanation
    ===========

    A host requests work here when it has no link to the owner yet, or does not
    know of the owner.
    Work is forwarded only once, so that two hosts that each take the other one
    for the owner still process it.

    Parameters
    ==========

    client : StageClient
        Sends requests to other hosts.

    Attributes
    ==========

    forwarded_to : dict
        Hosts with forwarded work under way, by service and request.
    """

    __slots__ = ('client', 'forwarded_to')

    def __init__(self, client):
        self.client = client
        self.forwarded_to = {}

    async def outcome(self, group, on_read):
        """Return a group's outcome at the host that owns its queue, or None.

        Explanation
        ===========

        Returns None when this host owns the queue, when the group was forwarded
        already, or when the owner fails. The group is then made by this host.

        Parameters
        ==========

        on_read : function
            Called when the group's inputs were fetched.
        """
        client = self.client
        owner = client.owning_host(group.service)
        if group.is_forwarded or owner == client.host:
            return None
        key = group.service, group.request
        self.forwarded_to[key] = owner
        client.read_callbacks[group.ident] = on_read
        outcome = await client.ask_host(
            owner, replace(group, is_forwarded=True)
        )
        client.read_callbacks.pop(group.ident, None)
        self.forwarded_to.pop(key, None)
        return outcome if is_final(outcome) else None

    def release(self, service, handles, *, is_forwarded):
        """Release results at the host that had them made.

        Explanation
        ===========

        If this host released them at the upstream itself, their memory would
        count as taken at the owner host until they expire.

        Parameters
        ==========

        is_forwarded : bool
            Whether another host has forwarded this release already.
        """
        client = self.client
        own_queue = client.owner(service)
        owner = client.owning_host(service)
        if is_forwarded or owner == client.host or _holds(own_queue, handles):
            own_queue.release(handles)
            return
        body = release_bytes(service, handles, is_forwarded=True)
        client.hub.ask(owner, RELEASE, body, NOTICE_TIMEOUT_SECONDS)

    def cancel(self, service, request):
        """Cancel a request at the host to which its work was forwarded."""
        owner = self.forwarded_to.get((service, request))
        if owner is not None:
            body = cancel_bytes(service, request)
            self.client.hub.ask(owner, CANCEL, body, NOTICE_TIMEOUT_SECONDS)


def _holds(queue, handles):
    """Return whether a queue holds some of these results."""
    return any(
        handle in worker.held
        for worker in queue.workers.values()
        for handle in handles
    )
