"""Record, in the store, of services that several versions serve."""

from twisted.internet.defer import Deferred, succeed

from pollenstile.ops.logs import silent_log
from pollenstile.origins import events
from pollenstile.origins._history import HISTORY_SECONDS
from pollenstile.peer import place_of
from pollenstile.platform import (
    Conflict,
    Found,
    Unavailable,
    Written,
    fork_deferred,
    paused,
)

# Kind of the store's entries: one for each service of which several versions
# were seen lately, named after it.
SOFTWARE_KIND = 'pollenstile-software'
# Number of hosts that write a record, and seconds for which each waits for the
# ones that rank before it.
_WRITERS = 3
_TURN_SECONDS = 0.5
# Attempts to write a record, and seconds between them.
_MAX_ATTEMPTS = 5
_RETRY_SECONDS = 0.5
# Seconds for which a request waits until the record is read, and minimum
# seconds between two reads of it while they fail.
_READ_SECONDS = 0.5
_READ_PERIOD_SECONDS = 1.0


class SoftwareRecorder:
    """Writes and reads which versions of a service hosts have seen lately.

    Explanation
    ===========

    A host that has just started, or was cut off from the store, can't know
    which versions served before. While there is one version only, there is no
    entry, and nothing is written.

    Parameters
    ==========

    store : Store
        Holds the entries.
    clock : IReactorTime
        Times the turns.
    host : str
        Name of this host.
    hosts : dict
        The other hosts by name; the caller updates it as membership changes.
    history : SoftwareHistory
        Versions that this host has seen.
    log : function
        Writes events.

    Attributes
    ==========

    recorded : dict
        The last known entry of a service: :class:`Found`, or None without one.
    reads : dict
        Reads in progress, by service.
    read_at : dict
        Time of the last read on the clock, by service.
    writing : set of str
        Services whose record this host is about to write.
    is_settled : function
        Returns whether a store that came back from an older copy has had the
        time to be written again, so that a missing record shows something.
    """

    __slots__ = (
        'clock',
        'history',
        'host',
        'hosts',
        'is_settled',
        'log',
        'read_at',
        'reads',
        'recorded',
        'store',
        'writing',
    )

    def __init__(self, store, clock, host, hosts, history, log=silent_log):
        self.store = store
        self.clock = clock
        self.host = host
        self.hosts = hosts
        self.history = history
        self.log = log
        self.recorded = {}
        self.reads = {}
        self.read_at = {}
        self.writing = set()
        self.is_settled = _always
        history.listeners.append(self._version_seen)

    def confirm(self, service):
        """Return a Deferred that fires when the record was read, or late."""
        if service not in self.reads:
            now = self.clock.seconds()
            last = self.read_at.get(service, -_READ_PERIOD_SECONDS)
            if now - last < _READ_PERIOD_SECONDS:
                return succeed(None)
            self._start_read(service)
        read = self.reads.get(service)
        if read is None:
            return succeed(None)
        return fork_deferred(read).addTimeout(
            _READ_SECONDS, self.clock, onTimeoutCancel=_ignore_timeout
        )

    def review(self):
        """Delete the records of services that have one version again."""
        for service, entry in list(self.recorded.items()):
            if entry is not None and self._is_outdated(service):
                self.recorded.pop(service)
                Deferred.fromCoroutine(self._delete(service, entry.version))

    def _start_read(self, service):
        self.read_at[service] = self.clock.seconds()
        read = Deferred.fromCoroutine(self._read(service))
        if not read.called:
            self.reads[service] = read
            read.addBoth(self._end_read, service)

    def note_return(self):
        """Write the records again; the store is back from an older copy."""
        self.recorded.clear()
        for service in list(self.history.gone_at):
            self._version_seen(service)

    async def _read(self, service):
        was_settled = self.is_settled()
        entry = await self.store.get(SOFTWARE_KIND, service)
        if isinstance(entry, Unavailable):
            self._log_failure(service, 'read', entry)
            return
        is_found = isinstance(entry, Found)
        self.recorded[service] = entry if is_found else None
        versions = _versions_of(entry) if is_found else ()
        if was_settled or versions:
            self.history.confirm(service, versions)

    def _end_read(self, outcome, service):
        self.reads.pop(service, None)
        return outcome

    def _is_outdated(self, service):
        history = self.history
        if history.in_gap or history.is_mixed(service):
            return False
        followed = self.clock.seconds() - history.followed_since
        return followed >= HISTORY_SECONDS

    def _version_seen(self, service):
        if service in self.writing or not self.history.is_mixed(service):
            return
        hosts = {self.host, *self.hosts}
        place = place_of(self.host, f'software/{service}', hosts)
        if place < _WRITERS:
            Deferred.fromCoroutine(self._write_in_turn(service, place))

    async def _write_in_turn(self, service, place):
        self.writing.add(service)
        if place:
            await paused(self.clock, place * _TURN_SECONDS)
            await self._read(service)
        for _ in range(_MAX_ATTEMPTS):
            if await self._write(service):
                break
            await paused(self.clock, _RETRY_SECONDS)
        self.writing.discard(service)

    async def _write(self, service):
        """Write the record of a service; return whether it is complete."""
        known = self.recorded.get(service)
        versions = set(_versions_of(known)) if known else set()
        missing = self.history.versions(service) - versions
        if not missing:
            return True
        entry = {'versions': sorted(versions | missing)}
        expected = known.version if known else 0
        outcome = await self.store.put(SOFTWARE_KIND, service, entry, expected)
        if isinstance(outcome, Written):
            self.recorded[service] = Found(
                SOFTWARE_KIND, service, outcome.version, entry
            )
            self.log(events.SOFTWARE_RECORDED, service=service, **entry)
            # Another version may have been seen meanwhile.
            return self.history.versions(service).issubset(entry['versions'])
        if not isinstance(outcome, Conflict):
            self._log_failure(service, 'write', outcome)
            return False
        await self._read(service)
        return False

    async def _delete(self, service, version):
        # If the call fails, the record stays until a host reads it that has
        # followed the registry for long enough. Another host may be faster.
        outcome = await self.store.delete(SOFTWARE_KIND, service, version)
        self.log(
            events.SOFTWARE_RECORDED,
            service=service,
            versions=[],
            outcome=type(outcome).__name__,
        )

    def _log_failure(self, service, step, outcome):
        self.log(
            events.SOFTWARE_UNRECORDED,
            level='warning',
            service=service,
            step=step,
            reason=outcome.reason,
        )


def _versions_of(entry):
    """Return the versions of an entry; none if another writer spoiled it."""
    versions = entry.value.get('versions') if _is_map(entry.value) else None
    if not isinstance(versions, list):
        return ()
    return tuple(software for software in versions if isinstance(software, str))


def _is_map(value):
    return isinstance(value, dict)


def _always():
    return True


def _ignore_timeout(*_):
    """Go on without the record; it is read in the background."""
