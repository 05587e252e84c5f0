"""Registration of this host in the store, and the list of other hosts."""

import secrets
from dataclasses import dataclass

from twisted.internet.defer import Deferred

from pollenstile.forward import events
from pollenstile.ops.logs import silent_log
from pollenstile.platform import Absent, Conflict, Found, Written, paused

# Kind of the store's entries of hosts, one per host, named after it.
HOSTS = 'pollenstile-hosts'
# Kind and name of the stored key that the hosts share, and its length.
# Kind and name of the object with the key that hosts share.
PEER_KEY = ('pollenstile-keys', 'peers')
_KEY_BYTES = 32
# Time between retries while the store does not answer.
_RETRY_SECONDS = 0.5


@dataclass(slots=True, frozen=True)
class PeerHost:
    """An entry host, as registered in the store.

    Parameters
    ==========

    address : str
        Address on which it listens for peers.
    domain : str
        Failure domain of the host.
    capacity : float
        Number of cores.
    """

    address: str
    domain: str = ''
    capacity: float = 1.0


class Members:
    """Entries of this host and of the other hosts of the fleet.

    Parameters
    ==========

    store : Store
        Holds the entries.
    clock : IReactorTime
        Schedules the retries.
    host : str
        Name of this host.
    entry : PeerHost
        Entry of this host.

    Attributes
    ==========

    should_register : bool
        Whether the entry of this host should be in the store.
    stored_entry : dict or None
        Entry of this host as found in the store; None if there is none.
    hosts : dict
        :class:`PeerHost` of each other host, by name.
    known : bool
        Whether a full list was received.
    listeners : list of function
        Called after each change.
    """

    __slots__ = (
        'clock',
        'entry',
        'host',
        'hosts',
        'known',
        'listeners',
        'log',
        'should_register',
        'store',
        'stored_entry',
    )

    def __init__(self, store, clock, host, entry, log=silent_log):
        self.store = store
        self.clock = clock
        self.host = host
        self.entry = entry
        self.log = log
        self.hosts = {}
        self.known = False
        self.listeners = []
        self.should_register = False
        self.stored_entry = None

    def apply(self, change):
        """Apply a change of an entry."""
        if change.name == self.host:
            self.stored_entry = change.value
            if self.should_register and change.value is None:
                # A delayed delete call of the previous process of this host
                # removed the entry. Peers send no requests to a host that is
                # not registered.
                Deferred.fromCoroutine(self.register())
            return
        peer = _decode_peer_host(change.value)
        if peer is None:
            self.hosts.pop(change.name, None)
        else:
            self.hosts[change.name] = peer
        self.log(
            events.HOSTS_CHANGED,
            peer=change.name,
            address=peer.address if peer else '',
            hosts=len(self.hosts) + 1,
        )
        self._notify_listeners()

    def note_listed(self):
        """Record that a full list was received."""
        self.known = True
        self._notify_listeners()

    async def register(self):
        """Write the entry of this host, repeatedly until the store has it.

        Explanation
        ===========

        Calls to the store are billed, and a restart of the fleet needs some of
        them for each host. An identical entry from before a crash is therefore
        not written again, and a new entry is created without a read.
        """
        entry = {
            'address': self.entry.address,
            'domain': self.entry.domain,
            'capacity': self.entry.capacity,
        }
        self.should_register = True
        expected = 0 if self.stored_entry is None else None
        while entry != self.stored_entry:
            outcome = await self.store.put(HOSTS, self.host, entry, expected)
            if isinstance(outcome, Written):
                return
            expected = None
            if isinstance(outcome, Conflict):
                continue
            self.log(
                events.REGISTER_FAILED,
                level='warning',
                reason=getattr(outcome, 'reason', repr(outcome)),
            )
            await paused(self.clock, _RETRY_SECONDS)

    async def peer_key(self):
        """Return the key shared by the hosts, creating it if necessary.

        Explanation
        ===========

        Only processes with access to the store have the key. When two hosts
        create a key concurrently, both read the one that was stored first.
        """
        while True:
            found = await self.store.get(*PEER_KEY)
            if isinstance(found, Found):
                return str(found.value.get('key', '')).encode()
            if isinstance(found, Absent):
                key = {'key': secrets.token_hex(_KEY_BYTES)}
                await self.store.put(*PEER_KEY, key, if_version=0)
                continue
            await paused(self.clock, _RETRY_SECONDS)

    def leave(self):
        """Delete the entry of this host; return the coroutine of the call."""
        self.should_register = False
        return self.store.delete(HOSTS, self.host)

    def _notify_listeners(self):
        for listener in self.listeners:
            listener()


def _decode_peer_host(entry):
    """Decode an entry; return None for a deleted or invalid one."""
    if not isinstance(entry, dict):
        return None
    address = entry.get('address')
    if not isinstance(address, str) or not address:
        return None
    capacity = entry.get('capacity')
    if not isinstance(capacity, (int, float)) or capacity <= 0:
        capacity = 1.0
    return PeerHost(address, str(entry.get('domain', '')), capacity)
