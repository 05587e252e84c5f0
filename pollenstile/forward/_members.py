"""Registration of this host in the store, and the list of other hosts."""

from dataclasses import dataclass
from functools import partial

from pollenstile.forward import events
from pollenstile.forward._absent import AbsentEntries
from pollenstile.ops.batch import Batch
from pollenstile.ops.logs import silent_log
from pollenstile.ops.loops import guarded, start_loop, start_step
from pollenstile.ops.numbers import whole_number
from pollenstile.peer import place_of
from pollenstile.platform import Conflict, Written, paused

_LOOP = 'registration'
# Kind of the store's entries of hosts, one per host, named after it.
HOSTS = 'pollenstile-hosts'
# Time between retries while the store does not answer.
_RETRY_SECONDS = 0.5
# Time for which an entry of a peer is kept that the store lacks since its
# return from an older copy: the peer writes it again.
_MISSING_SECONDS = 4.0
# Bounds of the time after a return of the store until this host checks whether
# the store has its entry. By then its entries have been listed.
_CHECK_SECONDS = (1.0, 2.0)
# Time for which a host that has left is remembered.
_REMEMBER_SECONDS = 60.0
_MAX_PORT = 65535
# Cores beyond which an entry is not believed.
_MAX_CAPACITY = 1e6


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
    absent : AbsentEntries
        Peers whose entries the store lacks since its return from an older copy.
    left_at : dict
        Time at which the entry of a peer was deleted, by name.
    notifying : Batch
        Calls the listeners.
    """

    __slots__ = (
        'absent',
        'clock',
        'entry',
        'host',
        'hosts',
        'known',
        'left_at',
        'listeners',
        'log',
        'notifying',
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
        self.absent = AbsentEntries(clock)
        self.left_at = {}
        self.notifying = Batch(self._notify_listeners)

    def apply(self, change):
        """Apply a change of an entry."""
        if change.name == self.host:
            self._apply_own(change)
            return
        self.absent.end(change.name)
        peer = _decode_peer_host(change.value)
        if change.after_return and peer is None:
            self.absent.keep(
                change.name,
                _MISSING_SECONDS,
                partial(self._replace, change.name, None),
            )
            return
        if change.after_return and self._has_left(change.name):
            # The copy has the entry of a host that has deleted it. Nobody else
            # would delete it again.
            self._delete_in_turn(change)
            return
        self._replace(change.name, peer)

    def note_return(self, random):
        """Write the entry again if the store, back from a copy, lost it."""
        wait = random.uniform(*_CHECK_SECONDS)
        self.clock.callLater(wait, self._check_own)

    def _apply_own(self, change):
        self.stored_entry = change.value
        if change.value is None or change.after_return:
            # A delayed delete call of the previous process of this host removed
            # the entry, or the store lost it. Peers send no requests to a host
            # that is not registered.
            self._check_own()

    def _check_own(self):
        if self.should_register:
            start_loop(self.clock, self.log, _LOOP, self.register)

    def _has_left(self, name):
        left_at = self.left_at.get(name, -_REMEMBER_SECONDS)
        return self.clock.seconds() - left_at < _REMEMBER_SECONDS

    def _delete_in_turn(self, change):
        hosts = {self.host, *self.hosts}
        if place_of(self.host, change.name, hosts) == 0:
            call = self.store.delete(HOSTS, change.name, change.version)
            start_step(self.log, _LOOP, call)

    def _replace(self, name, peer):
        if peer is None:
            self.hosts.pop(name, None)
            self.left_at[name] = self.clock.seconds()
        else:
            self.hosts[name] = peer
            self.left_at.pop(name, None)
        self.log(
            events.HOSTS_CHANGED,
            peer=name,
            address=peer.address if peer else '',
            hosts=len(self.hosts) + 1,
        )
        self.notifying.request()

    def note_listed(self):
        """Record that a full list was received."""
        self.known = True
        self.notifying.request()

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

    def leave(self):
        """Delete the entry of this host; return the coroutine of the call."""
        self.should_register = False
        return self.store.delete(HOSTS, self.host)

    def _notify_listeners(self):
        for listener in self.listeners:
            guarded(self.log, _LOOP, listener)()


def _has_port(address):
    port = whole_number(address.rpartition(':')[-1])
    return port is not None and 0 < port <= _MAX_PORT


def _decode_peer_host(entry):
    """Decode an entry; return None for a deleted or invalid one."""
    if not isinstance(entry, dict):
        return None
    address = entry.get('address')
    if not isinstance(address, str) or not _has_port(address):
        return None
    capacity = entry.get('capacity')
    is_number = isinstance(capacity, (int, float))
    if not is_number or not 0 < capacity <= _MAX_CAPACITY:
        capacity = 1.0
    return PeerHost(address, str(entry.get('domain', '')), capacity)
