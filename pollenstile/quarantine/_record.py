"""Verdicts in the store: what lasts, and what operators see."""

from twisted.internet.defer import Deferred

from pollenstile.ops.logs import silent_log
from pollenstile.peer import rank_candidates
from pollenstile.platform import Conflict, Written, paused
from pollenstile.quarantine import events
from pollenstile.quarantine._types import News, Verdict
from pollenstile.quarantine._verdicts import HOLD_SECONDS

# Kind of the store's entries, one for each request, by its fingerprint.
QUARANTINE_KIND = 'pollenstile-quarantine'
# Seconds for which each host waits for those before it to write a verdict.
_TURN_SECONDS = 1.0
# Seconds between tries while the store does not answer.
_RETRY = 1.0
_MS = 1000


class VerdictRecorder:
    """Writes verdicts into the store, and takes what stands there.

    Explanation
    ===========

    Of the hosts that had the request where upstreams ended, the first by
    rendezvous writes, the next a second later if the entry has not come by
    then. An entry that is deleted lifts the quarantine.

    Parameters
    ==========

    store : Store
        Where the entries are.
    quarantine : Quarantine
        What this host knows.
    hosts : dict
        The other hosts, by name; it changes as they come and go.
    log : function
        Writes events.

    Attributes
    ==========

    standing : set of str
        Fingerprints whose entries the store has.
    """

    __slots__ = ('hosts', 'log', 'quarantine', 'standing', 'store')

    def __init__(self, store, quarantine, hosts, log=silent_log):
        self.store = store
        self.quarantine = quarantine
        self.hosts = hosts
        self.log = log
        self.standing = set()
        quarantine.on_verdict = self.write

    def take(self, change):
        """Take a change of an entry."""
        if change.value is None:
            self.standing.discard(change.name)
            self.quarantine.lift(change.name, 'its entry was deleted')
            return
        self.standing.add(change.name)
        verdict = self._verdict(change)
        if verdict is None:
            return
        if verdict.ends <= self.quarantine.clock.seconds():
            self._delete(change.name)
            return
        if self._is_released_since(verdict):
            # Lifted before its entry had come here.
            self._delete(change.name)
            return
        self.quarantine.take(News(verdicts=(verdict,)))

    def write(self, verdict):
        """Have a verdict written, or its entry deleted."""
        if not verdict.is_held:
            self._delete(verdict.fingerprint)
            return
        reporters = self.quarantine.evidence.reporters(verdict.fingerprint)
        if self.quarantine.host in reporters:
            place = _place(verdict.fingerprint, self.quarantine.host, reporters)
            Deferred.fromCoroutine(self._written(verdict, place))

    def expire(self):
        """Forget what is too old, in the store as well."""
        for verdict in self.quarantine.expire():
            if verdict.is_held:
                self._delete(verdict.fingerprint)

    def _is_released_since(self, verdict):
        verdicts = self.quarantine.verdicts.by_fingerprint
        known = verdicts.get(verdict.fingerprint)
        if known is None or known.is_held:
            return False
        return known.changed >= verdict.changed

    async def _written(self, verdict, place):
        clock = self.quarantine.clock
        await paused(clock, place * _TURN_SECONDS)
        name = verdict.fingerprint
        while self.quarantine.is_held(name) and name not in self.standing:
            entry = {
                'team': verdict.team,
                'service': verdict.service,
                'crashes': verdict.crashes,
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
            await paused(clock, _RETRY)

    def _delete(self, name):
        """Delete an entry, if that falls to this host."""
        hosts = {self.quarantine.host, *self.hosts}
        is_first = _place(name, self.quarantine.host, hosts) == 0
        if name in self.standing and is_first:
            self.standing.discard(name)
            Deferred.fromCoroutine(self.store.delete(QUARANTINE_KIND, name))

    def _verdict(self, change):
        """Return the verdict of an entry, or None where it holds none."""
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
            ends=self.quarantine.clock.seconds() + HOLD_SECONDS - age,
        )


def _place(name, host, hosts):
    """Return a host's place among those that could do something."""
    return rank_candidates(name, hosts, len(hosts)).index(host)
