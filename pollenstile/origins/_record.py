"""Record, in the store, of the versions of services that hosts have seen."""

from dataclasses import dataclass

from twisted.internet.defer import succeed

from pollenstile.ops.logs import silent_log
from pollenstile.ops.loops import log_failure, start_step
from pollenstile.origins import events
from pollenstile.peer import place_of
from pollenstile.platform import (
    Conflict,
    Found,
    Unavailable,
    Written,
    fork_deferred,
)

_LOOP = 'records of versions'
# Kind of the store's entries, one for each service of streams, named after it.
SOFTWARE_KIND = 'pollenstile-software'
# Number of hosts that write a record by rank, and seconds for which each waits
# for the ones before it. Hosts that read the store themselves come after them.
_WRITERS = 3
_TURN_SECONDS = 0.5
# Half the seconds until the second attempt to write a record. The pauses double
# with each further attempt, up to 2 s.
_RETRY_SECONDS = 0.25
_MAX_DOUBLINGS = 3
# Seconds for which a request waits until the record is read, and minimum
# seconds between two reads of it while they fail.
_READ_SECONDS = 0.5
_READ_PERIOD_SECONDS = 1.0


@dataclass(slots=True, frozen=True)
class SoftwareRecord:
    """Versions of a service that hosts have seen lately.

    Parameters
    ==========

    versions : frozenset of str
        The versions.
    is_proven : bool
        Whether no other version was seen before the record was created.
    """

    versions: frozenset
    is_proven: bool


class SoftwareRecorder:
    """Writes and reads which versions of a service hosts have seen lately.

    Explanation
    ===========

    A host that has just started, or was cut off from the store, can't know
    which versions served before. Each service of streams has a record, which is
    written again when a version appears, and a minute after one has gone.

    A record that is missing shows nothing: another version may have served
    while the store took no writes. So a record that is created by a host which
    can't know what served before is not proven until hosts have followed the
    registry for a minute.

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
        The last answer to a read or write of a service's entry: :class:`Found`
        or :class:`Absent`.
    reads : dict
        Reads in progress, by service.
    read_at : dict
        Time of the last read on the clock, by service.
    writing : set of str
        Services whose record this host is writing.
    lacking_since : dict
        Time at which a record was found not to fit, by service.
    places : dict
        Place of this host among the writers, and the number of hosts for which
        it was worked out, by service.
    retries : dict
        Number of failed attempts to write a record, by service.
    is_settled : function
        Returns whether a store that came back from an older copy has had the
        time to be written again, so that what it shows is complete.
    has_streams : function
        Takes a service; returns whether streams may begin at it.
    is_joined : function
        Returns whether this host knows the other hosts.
    is_away : function
        Returns whether the store answers neither this host nor its reader.
    is_following : function
        Returns whether another host reads the store for this one.
    """

    __slots__ = (
        'clock',
        'has_streams',
        'history',
        'host',
        'hosts',
        'is_away',
        'is_following',
        'is_joined',
        'is_settled',
        'lacking_since',
        'log',
        'places',
        'read_at',
        'reads',
        'recorded',
        'retries',
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
        self.lacking_since = {}
        self.places = {}
        self.retries = {}
        self.is_settled = _always
        self.has_streams = _has_streams
        self.is_joined = _always
        self.is_away = _never
        self.is_following = _never

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
        """Write the records that don't fit, if it is the turn of this host."""
        if not self.is_joined() or self.history.in_gap or self.is_away():
            return
        for service in list(self.history.gone_at):
            if self.has_streams(service) and self._is_due(service):
                self.writing.add(service)
                start_step(self.log, _LOOP, self._write_in_turn(service))

    def note_return(self):
        """Read the records again; the store is back from an older copy."""
        self.recorded.clear()

    def _start_read(self, service):
        self.read_at[service] = self.clock.seconds()
        read = start_step(self.log, _LOOP, self._read(service))
        if not read.called:
            self.reads[service] = read
            read.addBoth(self._end_read, service)

    async def _read(self, service):
        """Read a record; return whether the store has answered."""
        was_settled = self.is_settled()
        entry = await self.store.get(SOFTWARE_KIND, service)
        if isinstance(entry, Unavailable):
            self._log_failure(service, 'read', entry)
            return False
        self.recorded[service] = entry
        record = _record_of(entry)
        is_proven = service in self.history.new_services
        if record is not None:
            is_proven = record.is_proven
        self.history.note_recorded(
            service,
            record.versions if record else (),
            is_proof=was_settled and is_proven,
        )
        return True

    def _end_read(self, outcome, service):
        self.reads.pop(service, None)
        return outcome

    def _is_due(self, service):
        """Return whether this host has to write a record now."""
        if service in self.writing:
            return False
        if not self._is_lacking(service):
            self.lacking_since.pop(service, None)
            return False
        now = self.clock.seconds()
        lacking_since = self.lacking_since.setdefault(service, now)
        return now - lacking_since >= self._turn_seconds(service)

    def _turn_seconds(self, service):
        """Return the seconds for which this host leaves a record to others."""
        place = self._place(service)
        if place >= _WRITERS:
            # The first ones may be away. Then each reader of the store acts.
            if self.is_following():
                return float('inf')
            place = _WRITERS
        turn = place * _TURN_SECONDS
        retries = self.retries.get(service, 0)
        if not retries:
            return turn
        return turn + _RETRY_SECONDS * 2 ** min(retries, _MAX_DOUBLINGS)

    def _place(self, service):
        """Return the turn of this host among those that write a record."""
        place, count = self.places.get(service, (0, 0))
        if count != len(self.hosts) + 1:
            hosts = {self.host, *self.hosts}
            place = place_of(self.host, f'software/{service}', hosts)
            self.places[service] = place, len(hosts)
        return place

    def _is_lacking(self, service):
        """Return whether the record may differ from what it should be."""
        known = self.recorded.get(service)
        if known is None:
            return True
        return self._wanted_record(service) != _record_of(known)

    def _wanted_record(self, service):
        """Return the record that a service should have; None for no record."""
        history = self.history
        seen = history.listed_versions(service)
        known = self.recorded.get(service)
        before = None if known is None else _record_of(known)
        if history.has_followed():
            if before is not None:
                # The registry may be known late here: what others have
                # recorded stays until it is old.
                seen |= before.versions & history.heard_versions(service)
            return SoftwareRecord(seen, is_proven=True) if seen else None
        is_proven = history.is_complete(service)
        if before is None:
            return SoftwareRecord(seen, is_proven) if seen else None
        return SoftwareRecord(
            before.versions | seen, before.is_proven or is_proven
        )

    async def _read_and_write(self, service):
        is_read = await self._read(service)
        if is_read and self._is_lacking(service):
            return await self._write(service)
        return is_read

    async def _write_in_turn(self, service):
        """Read a record, which another host may have written, and write it."""
        is_done = False
        try:
            is_done = await self._read_and_write(service)
        except Exception as error:
            log_failure(self.log, _LOOP, error)
        self.writing.discard(service)
        if is_done:
            self.retries.pop(service, None)
            return
        self.retries[service] = self.retries.get(service, 0) + 1
        self.lacking_since[service] = self.clock.seconds()

    async def _write(self, service):
        """Write the record of a service; return whether it was written."""
        known = self.recorded.get(service)
        record = self._wanted_record(service)
        if record is None:
            outcome = await self.store.delete(
                SOFTWARE_KIND, service, known.version
            )
        else:
            entry = _entry_of(record)
            outcome = await self.store.put(
                SOFTWARE_KIND, service, entry, known.version
            )
        if not isinstance(outcome, Written):
            if not isinstance(outcome, Conflict):
                self._log_failure(service, 'write', outcome)
            return False
        self.recorded.pop(service, None)
        if record is not None:
            self.recorded[service] = Found(
                SOFTWARE_KIND, service, outcome.version, entry
            )
        self.log(
            events.SOFTWARE_RECORDED,
            service=service,
            versions=sorted(record.versions) if record else [],
            proven=record is not None and record.is_proven,
        )
        return True

    def _log_failure(self, service, step, outcome):
        self.log(
            events.SOFTWARE_UNRECORDED,
            level='warning',
            service=service,
            step=step,
            reason=outcome.reason,
            attempts=self.retries.get(service, 0),
        )


def _entry_of(record):
    return {'versions': sorted(record.versions), 'proven': record.is_proven}


def _record_of(entry):
    """Return the record of an entry; None if there is none.

    Explanation
    ===========

    A record that another writer spoiled is empty.

    Hosts of an earlier software version write a record only when they have seen
    several versions, and don't state whether it is proven.
    """
    if not isinstance(entry, Found):
        return None
    value = entry.value if isinstance(entry.value, dict) else {}
    versions = value.get('versions')
    if not isinstance(versions, list):
        return SoftwareRecord(frozenset(), is_proven=False)
    return SoftwareRecord(
        frozenset(name for name in versions if isinstance(name, str)),
        value.get('proven', True) is True,
    )


def _always():
    return True


def _never():
    return False


def _has_streams(service):
    return True


def _ignore_timeout(*_):
    """Go on without the record; it is read in the background."""
