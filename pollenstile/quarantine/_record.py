"""Verdicts in the store, where they persist and operators see them."""

from functools import partial

from pollenstile.ops.logs import silent_log
from pollenstile.ops.loops import start_loop, start_step
from pollenstile.peer import place_of
from pollenstile.platform import Conflict, Written, paused
from pollenstile.quarantine import events
from pollenstile.quarantine._types import QuarantineUpdate, Verdict
from pollenstile.quarantine._verdicts import HOLD_SECONDS

_LOOP = 'records of quarantine'
# Kind of the store's entries: one for each quarantined request, named by its
# fingerprint.
QUARANTINE_KIND = 'pollenstile-quarantine'
# Seconds for which a host waits, per host that is ranked before it, before it
# writes a verdict.
_TURN_SECONDS = 1.0
# Seconds between attempts to write while the store does not answer.
_RETRY_SECONDS = 1.0
# Number of hosts that write an entry again which the store has lost.
_REWRITERS = 3
# Seconds after a return of the store by which its entries have been listed.
_LISTED_SECONDS = 2.0
_MS = 1000


class VerdictRecorder:
    """Writes verdicts to the store, and applies changes of its entries.

    Explanation
    ===========

    The hosts that reported the request as a suspect are ranked by rendezvous
    hashing. The first one writes the entry; each further one waits a second
    longer, and writes it only if no entry has appeared by then. Deleting an
    entry releases the request. An entry that a store lacks since its return
    from an older copy was lost, and is written again.

    Parameters
    ==========

    store : Store
        The store that holds the entries.
    quarantine : Quarantine
        Quarantine state of this host.
    hosts : dict
        The other hosts by name; the caller updates it as membership changes.
    log : function
        Writes events.

    Attributes
    ==========

    stored : set of str
        Fingerprints with an entry in the store.
    """

    __slots__ = ('hosts', 'log', 'quarantine', 'store', 'stored')

    def __init__(self, store, quarantine, hosts, log=silent_log):
        self.store = store
        self.quarantine = quarantine
        self.hosts = hosts
        self.log = log
        self.stored = set()
        quarantine.on_verdict = self.write

    def take(self, change):
        """Apply a change of an entry."""
        if change.value is None:
            self.stored.discard(change.name)
            if change.after_return:
                self._write_missing()
            else:
                self.quarantine.release(change.name, 'its entry was deleted')
            return
        self.stored.add(change.name)
        verdict = self._verdict(change)
        if verdict is None:
            return
        if verdict.expires_at <= self.quarantine.clock.seconds():
            self._delete(change.name)
            return
        if self._is_released_since(verdict):
            # The release was applied here before the entry was read.
            self._delete(change.name)
            return
        self.quarantine.apply(QuarantineUpdate(verdicts=(verdict,)))

    def note_return(self):
        """Write again what the store, which is back from a copy, has lost."""
        self.quarantine.clock.callLater(_LISTED_SECONDS, self._write_missing)

    def _write_missing(self):
        hosts = {self.quarantine.host, *self.hosts}
        for verdict in self.quarantine.verdicts.all_held():
            name = verdict.fingerprint
            place = place_of(self.quarantine.host, name, hosts)
            if place < _REWRITERS and name not in self.stored:
                self._start_write(verdict, place)

    def write(self, verdict):
        """Write an entry for a quarantine verdict; delete it for a release."""
        if not verdict.is_held:
            self._delete(verdict.fingerprint)
            return
        reporters = self.quarantine.evidence.reporters(verdict.fingerprint)
        if self.quarantine.host in reporters:
            place = place_of(
                self.quarantine.host, verdict.fingerprint, reporters
            )
            self._start_write(verdict, place)

    def _start_write(self, verdict, place):
        clock = self.quarantine.clock
        write = partial(self._write_in_turn, verdict, place)
        start_loop(clock, self.log, _LOOP, write)

    def expire(self):
        """Drop old evidence and verdicts, in the store as well."""
        for verdict in self.quarantine.expire():
            if verdict.is_held:
                self._delete(verdict.fingerprint)

    def _is_released_since(self, verdict):
        verdicts = self.quarantine.verdicts.by_fingerprint
        known = verdicts.get(verdict.fingerprint)
        if known is None or known.is_held:
            return False
        return known.changed >= verdict.changed

    async def _write_in_turn(self, verdict, place):
        clock = self.quarantine.clock
        await paused(clock, place * _TURN_SECONDS)
        name = verdict.fingerprint
        while self.quarantine.is_held(name) and name not in self.stored:
            entry = {
                'team': verdict.team,
                'service': verdict.service,
                'crashes': verdict.crashes,
                'part': verdict.is_part,
                'since_ms': verdict.changed,
                'host': self.quarantine.host,
            }
            outcome = await self.store.put(QUARANTINE_KIND, name, entry, 0)
            if isinstance(outcome, (Written, Conflict)):
                return
            self.log(
                events.QUARANTINE_UNWRITTEN,
                content=name,
                reason=getattr(outcome, 'reason', repr(outcome)),
            )
            await paused(clock, _RETRY_SECONDS)

    def _delete(self, name):
        """Delete an entry if this host ranks first for it."""
        hosts = {self.quarantine.host, *self.hosts}
        is_first = place_of(self.quarantine.host, name, hosts) == 0
        if name in self.stored and is_first:
            self.stored.discard(name)
            deletion = self.store.delete(QUARANTINE_KIND, name)
            start_step(self.log, _LOOP, deletion)

    def _verdict(self, change):
        """Return the verdict of an entry, or None if it is malformed."""
        entry = change.value
        if not isinstance(entry, dict):
            return None
        since = entry.get('since_ms')
        crashes = entry.get('crashes')
        if not isinstance(since, int) or not isinstance(crashes, int):
            return None
        age = max(0, self.quarantine.now_ms() - since) / _MS
        return Verdict(
            change.name,
            str(entry.get('team', '')),
            str(entry.get('service', '')),
            crashes,
            since,
            is_held=True,
            expires_at=self.quarantine.clock.seconds() + HOLD_SECONDS - age,
            is_part=entry.get('part') is True,
        )
