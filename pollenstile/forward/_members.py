"""Entry hosts of the fleet, as their own entries in the store say."""

import secrets
from dataclasses import dataclass

from twisted.internet.defer import Deferred

from pollenstile.forward import events
from pollenstile.ops.logs import silent_log
from pollenstile.platform import Absent, Conflict, Found, Written, paused

HOSTS = 'pollenstile-hosts'
_KEYS = 'pollenstile-keys'
_KEY = 'peers'
_KEY_BYTES = 32
# Seconds between tries while the store does not answer.
_RETRY = 0.5


@dataclass(slots=True, frozen=True)
class PeerHost:
    """Another entry host, as its entry says.

    Parameters
    ==========

    address : str
        Where it listens for peers.
    domain : str
        Its failure domain.
    capacity : float
        Its cores.
    """

    address: str
    domain: str = ''
    capacity: float = 1.0


class Members:
    """This host's entry, and those of the others.

    Parameters
    ==========

    store : Store
        Where the entries are.
    clock : IReactorTime
        Paces the tries.
    host : str
        The own name.
    entry : PeerHost
        The own entry.

    Attributes
    ==========

    registered : bool
        Whether the own entry should stand.
    standing : dict or None
        The own entry as the store has it; None where there is none.
    hosts : dict
        :class:`PeerHost` of each other host, by name.
    known : bool
        Whether a whole list has come.
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
        'registered',
        'standing',
        'store',
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
        self.registered = False
        self.standing = None

    def apply(self, change):
        """Take a change of an entry."""
        if change.name == self.host:
            self.standing = change.value
            if self.registered and change.value is None:
                # Taken back by a call of this host's last process that came
                # late: unknown to its peers, it would be asked for nothing.
                Deferred.fromCoroutine(self.register())
            return
        peer = _peer_host(change.value)
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
        self._changed()

    def note_listed(self):
        """Note that a whole list has come."""
        self.known = True
        self._changed()

    async def register(self):
        """Write the own entry until the store has it.

        Explanation
        ===========

        Each call of the store is paid for, and a fleet that restarts makes a
        few of them for each host: an entry that stands already, from before a
        crash, is not written again, and one that is new is created at once.
        """
        entry = {
            'address': self.entry.address,
            'domain': self.entry.domain,
            'capacity': self.entry.capacity,
        }
        self.registered = True
        expected = 0 if self.standing is None else None
        while entry != self.standing:
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
            await paused(self.clock, _RETRY)

    async def peer_key(self):
        """Return the key that the fleet's hosts share; make it if need be.

        Explanation
        ===========

        Only who reads the store has it. Two hosts that make one at a time
        both read what the store took first.
        """
        while True:
            found = await self.store.get(_KEYS, _KEY)
            if isinstance(found, Found):
                return str(found.value.get('key', '')).encode()
            if isinstance(found, Absent):
                key = {'key': secrets.token_hex(_KEY_BYTES)}
                await self.store.put(_KEYS, _KEY, key, if_version=0)
                continue
            await paused(self.clock, _RETRY)

    def leave(self):
        """Take the own entry back; return the store's call."""
        self.registered = False
        return self.store.delete(HOSTS, self.host)

    def _changed(self):
        for listener in self.listeners:
            listener()


def _peer_host(entry):
    """Return the host of an entry; None for a deleted or unreadable one."""
    if not isinstance(entry, dict):
        return None
    address = entry.get('address')
    if not isinstance(address, str) or not address:
        return None
    capacity = entry.get('capacity')
    if not isinstance(capacity, (int, float)) or capacity <= 0:
        capacity = 1.0
    return PeerHost(address, str(entry.get('domain', '')), capacity)
