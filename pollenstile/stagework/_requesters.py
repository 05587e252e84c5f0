"""Results and groups that other hosts requested here, and their cleanup."""

from functools import partial

# Seconds from the loss of a link until its host counts as dead. A live host
# dials again at its next tick and is connected within this time.
_REDIAL_SECONDS = 0.8


class Requesters:
    """Tracks results and groups of other hosts until they are released or done.

    Explanation
    ===========

    A host that dies releases nothing. Its results would take up memory until
    they expire, seconds later, and its requested pieces would still be made.
    When most hosts of a fleet have died, these results are most of a stage's
    result memory.

    A live host whose link is cut sends its work through another host, which
    forwards it. Ownership of the results that this work needs then passes to
    the forwarding host.

    Parameters
    ==========

    hub : Hub
        Reports links that are opened and lost.
    owner : function
        Takes a service, returns this host's own queue of it.

    Attributes
    ==========

    held : dict
        Host and service by handle.
    pending : dict
        Host that sent the latest request, and service, by request and step.
    boots : dict
        Boot identifier of the process that sent the latest request, by host.
    """

    __slots__ = ('boots', 'held', 'hub', 'owner', 'pending')

    def __init__(self, hub, owner):
        self.hub = hub
        self.owner = owner
        self.held = {}
        self.pending = {}
        self.boots = {}
        hub.link_up_handlers.append(self._handle_link_up)
        hub.link_down_handlers.append(self._handle_link_down)

    def record_request(self, host, group):
        """Record a requested group and the requester of its input results."""
        self.pending[group.ident] = (host, group.service)
        for handle in group.inputs:
            before = self.held.get(handle)
            if before is not None:
                self.held[handle] = (host, before[1])
        link = self.hub.links.get(host)
        if link is not None:
            self.boots[host] = link.session.peer.boot

    def record_outcome(self, host, group, handles):
        """Record the results of a group, if there are any."""
        last, _ = self.pending.get(group.ident, (host, ''))
        if last == host:
            self.pending.pop(group.ident, None)
        if not handles:
            return
        for handle in handles:
            self.held[handle] = (last, group.service)
        seconds = _hold_seconds(self.owner(group.service))
        self.hub.clock.callLater(seconds, self.forget_handles, handles)

    def forget_handles(self, handles):
        """Forget results that were released or have expired."""
        for handle in handles:
            self.held.pop(handle, None)

    def _handle_link_up(self, link):
        boot = link.session.peer.boot
        if self.boots.get(link.host, boot) != boot:
            self._abandon(link.host)
        self.boots.pop(link.host, None)

    def _handle_link_down(self, host, link):
        check = partial(self._check_host, host)
        self.hub.clock.callLater(_REDIAL_SECONDS, check)

    def _check_host(self, host):
        if host not in self.hub.links:
            self._abandon(host)

    def _abandon(self, host):
        """Release and cancel everything that a dead host has requested."""
        for ident, (requester, service) in list(self.pending.items()):
            if requester == host:
                self.pending.pop(ident)
                self.owner(service).cancel(ident[0])
        by_service = {}
        for handle, (holder, service) in list(self.held.items()):
            if holder == host:
                self.held.pop(handle)
                by_service.setdefault(service, []).append(handle)
        for service, handles in by_service.items():
            self.owner(service).release(handles)


def _hold_seconds(queue):
    """Return the seconds after which unreleased results expire."""
    return queue.limits.hold_seconds if queue.limits else 0
