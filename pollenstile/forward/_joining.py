"""Steps by which a host that has started joins the others."""

from collections import deque
from dataclasses import replace

from twisted.internet.defer import maybeDeferred
from twisted.internet.task import deferLater

from pollenstile.ops.settings import format_address
from pollenstile.peer import parse_keys, tcp_listen
from pollenstile.tunnel.events import TUNNEL_LISTENING

# Time between checks whether a starting host has the state it needs to join.
_CHECK_SECONDS = 0.05
# The shared key, and one that hosts had drawn while the store lacked it.
_MAX_KEYS = 2


class Joining:
    """What is left to do until a host has joined.

    Explanation
    ===========

    After an error, :meth:`join` is called again. The steps that were done are
    not repeated, so that no port is opened and no loop is started twice.

    Parameters
    ==========

    daemon : ForwardDaemon
        The host.

    Attributes
    ==========

    steps : deque of function
        Steps that are not done, in their order.
    bound : str
        Address at which the host listens for peers; empty before it does.
    """

    __slots__ = ('bound', 'daemon', 'steps')

    def __init__(self, daemon):
        self.daemon = daemon
        self.bound = ''
        parts = daemon.parts
        self.steps = deque(
            (
                parts.stages.owner_wait.note_state,
                self._read_key,
                self._listen_for_peers,
                parts.hub.start,
                daemon.hosts_changed,
                parts.stages.owner_wait.note_joined,
                self._start_to_follow,
                self._note_joined,
                parts.members.register,
                self._listen_for_tunnels,
            )
        )

    async def join(self):
        """Do the steps that are left, once the host has its initial state."""
        # A host without a registry has no workers. As the owner of a stage, it
        # would queue pieces that it can't run.
        while not self.daemon.has_initial_state():
            await deferLater(self.daemon.reactor, _CHECK_SECONDS)
        while self.steps:
            await maybeDeferred(self.steps[0])
            self.steps.popleft()
            if self.daemon.leaving:
                # Its entry would stay in the store after its end.
                return

    async def _read_key(self):
        peer_key = self.daemon.parts.peer_key
        peer_key.on_change = self._set_key
        self._set_key(await peer_key.read())
        if peer_key.was_over:
            self.daemon.parts.core.configuration.settle()

    def _set_key(self, key):
        """Set the key that hosts share; links with another one stay open."""
        parts = self.daemon.parts
        hub = parts.hub
        hub.keys = (*parse_keys(key.decode()), *hub.keys)[:_MAX_KEYS]
        parts.core.quarantine.key = key

    def _listen_for_peers(self):
        daemon = self.daemon
        hub = daemon.parts.hub
        port = tcp_listen(daemon.reactor, daemon.settings.peers, hub)
        daemon.ports.append(port)
        # With port 0 the system chooses a port, which is announced to peers.
        bound = bound_address(port)
        self.bound = format_address(bound)
        address = format_address(daemon.settings.peers_seen or bound)
        hub.hello = replace(hub.hello, address=address)
        members = daemon.parts.members
        members.entry = replace(members.entry, address=address)

    def _listen_for_tunnels(self):
        """Listen for peers; they reach this port like the one of the links."""
        daemon = self.daemon
        if daemon.settings.tunnels is None:
            return
        tunnels = daemon.parts.tunnels
        port = tunnels.listen(*daemon.settings.tunnels)
        daemon.ports.append(port)
        host = daemon.parts.members.entry.address.rpartition(':')[0]
        tunnels.address = f'{host}:{bound_address(port)[1]}'
        daemon.log(TUNNEL_LISTENING, address=tunnels.address)

    def _start_to_follow(self):
        self.daemon.parts.relay.follower.start()

    def _note_joined(self):
        seen = self.daemon.parts.members.entry.address
        self.daemon.start_progress.note_joined(self.bound, seen)


def bound_address(port):
    """Return the address of a listening port, with the number in use."""
    bound = port.getHost()
    return bound.host, bound.port
