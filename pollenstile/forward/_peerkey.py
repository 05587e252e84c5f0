"""The key that hosts share, kept in the store over its returns from copies."""

import secrets

from functools import partial

from pollenstile.forward import events
from pollenstile.ops.logs import silent_log
from pollenstile.ops.loops import start_loop
from pollenstile.peer import place_of
from pollenstile.platform import Absent, Conflict, Found, Written, paused

_LOOP = 'key of peers'
# Kind and name of the stored key.
PEER_KEY = ('pollenstile-keys', 'peers')
_KEY_BYTES = 32
# Time between retries while the store does not answer.
_RETRY_SECONDS = 0.5
# Longest time between retries of a write; each one takes twice as long as the
# one before.
_MAX_RETRY_SECONDS = 4.0
# Number of hosts that look for the key early after a return of the store, and
# the time that each host waits for those before it.
_EARLY_WRITERS = 3
_TURN_SECONDS = 0.5
# Time after a return until the key is checked, and until the return is
# recorded as over: operators and upstreams have then written again.
_CHECK_SECONDS = 0.2
_OVER_SECONDS = 2.5


class PeerKey:
    """Reads, draws and restores the key that all hosts share.

    Explanation
    ===========

    Only processes with access to the store have the key. When two hosts create
    a key concurrently, both read the one that was stored first. A store that
    returns from an older copy may lack the key. Hosts that have it write it
    again in turn, over one that a host which has just started may have drawn
    meanwhile; that host reads it once more when the return is over. Each host
    looks for it until it is stored: those before it may have ended, or may not
    reach the store. A host that starts without it would draw another key and
    link to none of the others. The stored
    key names the last era whose return is over, so that a host that starts
    later need not wait.

    Parameters
    ==========

    store : EraStore
        Holds the key.
    clock : IReactorTime
        Schedules the retries.
    host : str
        Name of this host.
    hosts : dict
        The other hosts by name; the caller updates it as membership changes.
    log : function
        Writes events.

    Attributes
    ==========

    key : str
        The key; empty before it was read.
    is_provisional : bool
        Whether the key was read in a return of the store, and may not be the
        one that the others share.
    was_over : bool
        Whether, when the key was read, the last return of the store was over.
    on_change : function
        Called with the key, as bytes, when another one replaces it.
    """

    __slots__ = (
        'clock',
        'host',
        'hosts',
        'is_provisional',
        'key',
        'log',
        'on_change',
        'store',
        'was_over',
    )

    def __init__(self, store, clock, host, hosts, log=silent_log):
        self.store = store
        self.clock = clock
        self.host = host
        self.hosts = hosts
        self.log = log
        self.key = ''
        self.is_provisional = False
        self.was_over = False
        self.on_change = _ignore

    async def read(self):
        """Return the key as bytes, creating it if necessary."""
        while True:
            found = await self.store.get(*PEER_KEY)
            if isinstance(found, Found) and _key_of(found):
                self.key = _key_of(found)
                self.was_over = self._is_over(found)
                if not self.was_over:
                    self.is_provisional = True
                    self.clock.callLater(_OVER_SECONDS, self._join_others)
                return self.key.encode()
            if not await self._create(found):
                await paused(self.clock, _RETRY_SECONDS)

    async def _create(self, found):
        """Write a key where there is none; return whether to read again.

        Explanation
        ===========

        Also in place of an entry that another writer has spoiled.
        """
        if not isinstance(found, (Found, Absent)):
            return False
        key = {'key': secrets.token_hex(_KEY_BYTES)}
        outcome = await self.store.put(*PEER_KEY, key, found.version)
        is_absent = isinstance(found, Absent)
        return is_absent or isinstance(outcome, (Written, Conflict))

    def note_return(self):
        """Restore the key in turn, after a return of the store."""
        if not self.key:
            return
        place = self._place()
        wait = place * _TURN_SECONDS
        if place < _EARLY_WRITERS:
            self.clock.callLater(
                wait + _CHECK_SECONDS, self._restore, is_over=False
            )
        self.clock.callLater(wait + _OVER_SECONDS, self._restore, is_over=True)

    def _restore(self, *, is_over):
        write = partial(self._write_until_stored, is_over)
        start_loop(self.clock, self.log, _LOOP, write)

    async def _write_until_stored(self, is_over):
        """Write the key until the store has it, or has returned once more."""
        era = self.store.eras.number
        wait = _RETRY_SECONDS
        while not self.is_provisional and self.store.eras.number == era:
            if await self._write_if_needed(is_over):
                return
            await paused(self.clock, wait)
            wait = min(wait * 2, _MAX_RETRY_SECONDS)

    async def _write_if_needed(self, is_over):
        """Write the key if the store lacks it; return whether it has it."""
        found = await self.store.get(*PEER_KEY)
        if not isinstance(found, (Found, Absent)):
            return False
        is_same = isinstance(found, Found) and _key_of(found) == self.key
        if is_same and (not is_over or self._is_over(found)):
            return True
        value = {'key': self.key}
        if is_over:
            value['era'] = self.store.eras.number
        outcome = await self.store.put(*PEER_KEY, value, found.version)
        self.log(
            events.PEER_KEY_RESTORED,
            level='info' if is_same else 'warning',
            outcome=type(outcome).__name__,
            returned=is_over,
        )
        return isinstance(outcome, Written)

    def _join_others(self):
        start_loop(self.clock, self.log, _LOOP, self._adopt)

    async def _adopt(self):
        """Take the key that is stored now that the return is over."""
        found = await self._stored()
        if isinstance(found, Found) and _key_of(found) != self.key:
            self.key = _key_of(found)
            self.log(events.PEER_KEY_CHANGED, level='warning')
            self.on_change(self.key.encode())
        self.is_provisional = False
        await paused(self.clock, self._place() * _TURN_SECONDS)
        await self._write_until_stored(is_over=True)

    async def _stored(self):
        """Return ``Found`` or ``Absent`` once the store answers."""
        wait = _RETRY_SECONDS
        while True:
            found = await self.store.get(*PEER_KEY)
            if isinstance(found, (Found, Absent)):
                return found
            await paused(self.clock, wait)
            wait = min(wait * 2, _MAX_RETRY_SECONDS)

    def _place(self):
        """Return the turn of this host among those that write the key."""
        return place_of(self.host, PEER_KEY[1], {self.host, *self.hosts})

    def _is_over(self, found):
        """Return whether the return of the store to this era is over."""
        eras = self.store.eras
        if not eras.number:
            return True
        era = found.value.get('era') if isinstance(found.value, dict) else None
        return era == eras.number


def _key_of(found):
    """Return the key of an entry; empty if another writer has spoiled it."""
    value = found.value if isinstance(found.value, dict) else {}
    key = value.get('key')
    return key if isinstance(key, str) else ''


def _ignore(key):
    """Ignore another key."""
