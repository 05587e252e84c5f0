"""Record, in the store, of the versions at which streams began.

Explanation
===========

What hosts know of streams ends with them if all end at once. So the keepers of
each failure domain write the streams of its hosts to the store while several
versions are seen, and hosts that have started read them there.
"""

import base64
import binascii

from twisted.internet.defer import Deferred, DeferredList, succeed

from pollenstile.ops.logs import silent_log
from pollenstile.origins import events
from pollenstile.origins._history import HISTORY_SECONDS
from pollenstile.origins._table import Origin
from pollenstile.platform import (
    Conflict,
    NotApplied,
    Unavailable,
    Written,
    fork_deferred,
    list_all,
)

# Kind of the store's entries, before the name of a failure domain. Each keeper
# of that domain has one entry, named after it.
STREAMS_KIND = 'pollenstile-streams'
# Minimum seconds between two writes of a host. Streams that began in between
# are not recorded when all hosts end.
_WRITE_PERIOD_SECONDS = 0.5
# Failed writes in a row after which the pause doubles no more; it is 4 s then.
_MAX_DOUBLINGS = 3
# Minimum seconds between two reads of a domain, and seconds for which a request
# waits for them. A slow store answers within 0.3 s.
_READ_PERIOD_SECONDS = 1.0
_LOOK_UP_SECONDS = 0.8
_KEY_BYTES = 8


class StreamRecorder:
    """Writes and reads the versions of streams of failure domains.

    Parameters
    ==========

    store : Store
        Holds the entries.
    clock : IReactorTime
        Times the writes.
    host, domain : str
        Name and failure domain of this host.
    table : OriginTable
        Receives the streams that are read.
    log : function
        Writes events.

    Attributes
    ==========

    origins : dict
        Streams that this host records, by key.
    domains : function
        Returns the names of the other failure domains.
    is_away : function
        Returns whether the store answers neither this host nor its reader.
    version : int or None
        Version of this host's entry; 0 if there is none, None if unknown.
    is_changed : bool
        Whether streams were added since the last write.
    is_writing : bool
        Whether a write is in progress or scheduled.
    failures : int
        Consecutive failed writes.
    reads : dict
        Reads in progress, by domain.
    read_at : dict
        Time on the clock at which the last answered read began, by domain.
    tried_at : dict
        Time on the clock at which the last read began, by domain.
    """

    __slots__ = (
        'clock',
        'domain',
        'domains',
        'failures',
        'host',
        'is_away',
        'is_changed',
        'is_writing',
        'log',
        'origins',
        'read_at',
        'reads',
        'store',
        'table',
        'tried_at',
        'version',
        'written_at',
    )

    def __init__(self, store, clock, host, domain, table, log=silent_log):
        self.store = store
        self.clock = clock
        self.host = host
        self.domain = domain
        self.table = table
        self.log = log
        self.origins = {}
        self.domains = tuple
        self.is_away = _never
        self.version = None
        self.is_changed = False
        self.is_writing = False
        self.written_at = -_WRITE_PERIOD_SECONDS
        self.failures = 0
        self.reads = {}
        self.read_at = {}
        self.tried_at = {}

    def note(self, origins):
        """Record streams, given by key."""
        if not origins:
            return
        self.origins.update(origins)
        self.is_changed = True
        self._schedule_write()

    def review(self):
        """Forget old streams, and delete the entry when none is left."""
        now = self.clock.seconds()
        for key, origin in list(self.origins.items()):
            if origin.expires_at <= now:
                self.origins.pop(key)
        if self.version and not self.origins:
            self._schedule_write()

    async def look_up(self, key):
        """Return the version at which a stream began, or None.

        Explanation
        ===========

        The own domain is read first: callers that lose their host mostly reach
        another one of its domain.
        """
        for domains in ((self.domain,), self.domains()):
            await self._read_all(domains)
            software = self.table.software(key)
            if software is not None:
                return software
        return None

    def is_read(self):
        """Return whether the streams of all domains were read lately."""
        oldest = self.clock.seconds() - HISTORY_SECONDS
        return all(
            self.read_at.get(domain, oldest) > oldest
            for domain in (self.domain, *self.domains())
        )

    def _read_all(self, domains):
        """Return a Deferred that fires when domains were read, or late."""
        reads = [fork_deferred(self._read_lately(domain)) for domain in domains]
        done = DeferredList(reads, consumeErrors=True)
        return done.addTimeout(
            _LOOK_UP_SECONDS, self.clock, onTimeoutCancel=_ignore_timeout
        )

    def _read_lately(self, domain):
        """Return a Deferred that fires after a read that is not long ago."""
        read = self.reads.get(domain)
        if read is not None:
            return read
        now = self.clock.seconds()
        last = self.tried_at.get(domain, now - _READ_PERIOD_SECONDS)
        if now - last < _READ_PERIOD_SECONDS:
            return succeed(None)
        self.tried_at[domain] = now
        read = Deferred.fromCoroutine(self._read(domain))
        if not read.called:
            self.reads[domain] = read
            read.addBoth(self._end_read, domain)
        return read

    def _end_read(self, outcome, domain):
        self.reads.pop(domain, None)
        return outcome

    async def _read(self, domain):
        """Read the streams of a domain; return whether the store answered."""
        began = self.clock.seconds()
        listing = await list_all(self.store, _kind_of(domain))
        if isinstance(listing, Unavailable):
            self._log_failure('read', listing)
            return False
        self.read_at[domain] = began
        expires_at = self.clock.seconds() + HISTORY_SECONDS
        count = 0
        for entry in listing.objects:
            origins = _decode_origins(entry.value, expires_at)
            count += len(origins)
            for key, origin in origins.items():
                self.table.add(key, origin)
            if domain == self.domain:
                self._keep_entry(entry, origins)
        if domain == self.domain and self.version is None:
            self.version = 0
        if count:
            self.log(events.STREAMS_READ, domain=domain, streams=count)
        return True

    def _keep_entry(self, entry, origins):
        """Take over what an earlier process of this host has recorded."""
        if entry.name == self.host and self.version is None:
            self.version = entry.version
            self.origins = {**origins, **self.origins}

    def _schedule_write(self):
        if self.is_writing:
            return
        self.is_writing = True
        due = self.written_at + self._pause() - self.clock.seconds()
        self.clock.callLater(max(0, due), self._start_write)

    def _pause(self):
        return _WRITE_PERIOD_SECONDS * 2 ** min(self.failures, _MAX_DOUBLINGS)

    def _start_write(self):
        Deferred.fromCoroutine(self._write_entry())

    async def _write_entry(self):
        self.written_at = self.clock.seconds()
        is_done = False
        if self.is_away():
            # No call was made, so the next one needs no longer pause.
            self.failures = 0
        else:
            is_done = await self._write()
            self.failures = 0 if is_done else self.failures + 1
        self.is_writing = False
        if self.is_changed or not is_done:
            self._schedule_write()

    async def _write(self):
        """Write or delete this host's entry; return whether that is done."""
        # Written blindly, the entry of an earlier process would be lost.
        if self.version is None and not await self._read(self.domain):
            return False
        kind = _kind_of(self.domain)
        self.is_changed = False
        is_kept = bool(self.origins)
        if not is_kept and not self.version:
            return True
        if is_kept:
            entry = _encode_origins(self.origins)
            outcome = await self.store.put(kind, self.host, entry, self.version)
        else:
            outcome = await self.store.delete(kind, self.host, self.version)
        if isinstance(outcome, Written):
            self.version = outcome.version if is_kept else None
            return True
        self.is_changed = True
        if not isinstance(outcome, NotApplied):
            # The write may still be applied, or another one was.
            self.version = None
        if not isinstance(outcome, Conflict):
            self._log_failure('write', outcome)
        return False

    def _log_failure(self, step, outcome):
        self.log(
            events.STREAMS_UNRECORDED,
            level='warning',
            step=step,
            reason=outcome.reason,
            streams=len(self.origins),
            attempts=self.failures,
        )


def _kind_of(domain):
    return f'{STREAMS_KIND}-{domain}'


def _encode_origins(origins):
    """Return the entry of streams, given by key."""
    groups = {}
    for key, origin in origins.items():
        groups.setdefault(origin.software, []).append(key)
    return {
        'streams': {
            software: base64.b64encode(b''.join(keys)).decode()
            for software, keys in groups.items()
        }
    }


def _decode_origins(value, expires_at):
    """Return the streams of an entry by key; none of another writer's."""
    groups = value.get('streams') if isinstance(value, dict) else None
    if not isinstance(groups, dict):
        return {}
    origins = {}
    for software, text in groups.items():
        keys = _decode_keys(text)
        origins.update({key: Origin(software, '', expires_at) for key in keys})
    return origins


def _decode_keys(text):
    try:
        keys = base64.b64decode(text, validate=True)
    except (binascii.Error, TypeError, ValueError):
        return ()
    if len(keys) % _KEY_BYTES:
        return ()
    starts = range(0, len(keys), _KEY_BYTES)
    return [keys[start : start + _KEY_BYTES] for start in starts]


def _never():
    return False


def _ignore_timeout(*_):
    """Go on without the streams; they are read in the background."""
