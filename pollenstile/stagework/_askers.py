"""What other hosts have had made here, and what becomes of it when they die."""

from functools import partial

# Seconds from the loss of a link until its host counts as dead: one that lives
# dials again at its next tick and is met by then.
_REDIAL_SECONDS = 0.8


class Askers:
    """Results and groups of other hosts, until they are released or over.

    Explanation
    ===========

    A host that dies releases nothing. What it held would take up room until it
    lapses, seconds later, and what it asked for would still be made. After most
    hosts of a fleet have died, that is most of a stage's room.

    A host that lives behind a cut link goes on by way of another one, which
    passes its work on: what it needs belongs to that one from then on.

    Parameters
    ==========

    hub : Hub
        Tells which links come and go.
    owner : function
        Takes a service, returns this host's own queue of it.

    Attributes
    ==========

    held : dict
        Host and service by handle.
    pending : dict
        Host that asked last, and service, by request and step.
    boots : dict
        Boot identifier of the process that asked last, by host.
    """

    __slots__ = ('boots', 'held', 'hub', 'owner', 'pending')

    def __init__(self, hub, owner):
        self.hub = hub
        self.owner = owner
        self.held = {}
        self.pending = {}
        self.boots = {}
        hub.ups.append(self._met)
        hub.downs.append(self._lost)

    def asked(self, host, group):
        """Note a group that a host asks for, and the results that it needs."""
        self.pending[group.ident] = (host, group.service)
        for handle in group.inputs:
            before = self.held.get(handle)
            if before is not None:
                self.held[handle] = (host, before[1])
        link = self.hub.links.get(host)
        if link is not None:
            self.boots[host] = link.session.peer.boot

    def answered(self, host, group, handles):
        """Note what a group came to: results, or none."""
        last, _ = self.pending.get(group.ident, (host, ''))
        if last == host:
            self.pending.pop(group.ident, None)
        if not handles:
            return
        for handle in handles:
            self.held[handle] = (last, group.service)
        seconds = _hold_seconds(self.owner(group.service))
        self.hub.clock.callLater(seconds, self.released, handles)

    def released(self, handles):
        """Forget results that were released, or have lapsed."""
        for handle in handles:
            self.held.pop(handle, None)

    def _met(self, link):
        boot = link.session.peer.boot
        if self.boots.get(link.host, boot) != boot:
            self._abandon(link.host)
        self.boots.pop(link.host, None)

    def _lost(self, host, link):
        look = partial(self._look, host)
        self.hub.clock.callLater(_REDIAL_SECONDS, look)

    def _look(self, host):
        if host not in self.hub.links:
            self._abandon(host)

    def _abandon(self, host):
        """Give up all that a dead host had made or asked for."""
        for ident, (asker, service) in list(self.pending.items()):
            if asker == host:
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
    """Return for how long results stand that nobody releases."""
    return queue.limits.hold_seconds if queue.limits else 0
