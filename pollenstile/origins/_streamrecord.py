"""Record, in the store, of the versions at which streams began.

Explanation
===========

What hosts know of streams ends with them if all end at once. So the keepers of
each failure domain write the streams of its hosts to the store while several
versions are seen, and hosts that have started read them there.
"""

from twisted.internet.defer import Deferred

from pollenstile.ops.logs import silent_log
from pollenstile.ops.loops import log_failure, start_step
from pollenstile.origins import events
from pollenstile.origins._streamentry import encode_entry, streams_kind
from pollenstile.origins._streamreader import StreamReader
from pollenstile.platform import Conflict, NotApplied, Written

_LOOP = 'records of streams'
# Minimum seconds between two writes of a host. Streams that began in between
# are not recorded when all hosts end.
_WRITE_PERIOD_SECONDS = 0.5
# Failed writes in a row after which the pause doubles no more; it is 4 s then.
_MAX_DOUBLINGS = 3
# Seconds after which streams that are not written should be written elsewhere.
# A slow store takes a write within 0.8 s.
_LATE_SECONDS = 1.0


class StreamRecorder:
    """Writes the versions of streams of a failure domain.

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
    unwritten : dict
        Streams of its domain among them that no host has written, by key.
    unwritten_since : float
        Time on the clock at which the first of them was noted.
    is_late : bool
        Whether streams were not written in time since the last write.
    waiting : list of Deferred
        Fire with whether the next write has succeeded.
    reader : StreamReader
        Reads the streams of all failure domains.
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
    """

    __slots__ = (
        'clock',
        'domain',
        'failures',
        'host',
        'is_away',
        'is_changed',
        'is_late',
        'is_writing',
        'log',
        'origins',
        'reader',
        'store',
        'table',
        'unwritten',
        'unwritten_since',
        'version',
        'waiting',
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
        self.unwritten = {}
        self.unwritten_since = 0.0
        self.is_late = False
        self.waiting = []
        self.reader = StreamReader(store, clock, domain, table, log)
        self.reader.on_own_entry = self._keep_entry
        self.is_away = _never
        self.version = None
        self.is_changed = False
        self.is_writing = False
        self.written_at = -_WRITE_PERIOD_SECONDS
        self.failures = 0

    def note(self, origins):
        """Record streams, given by key."""
        if not origins:
            return
        if not self.unwritten:
            self.unwritten_since = self.clock.seconds()
        self._add(origins)
        self.unwritten.update({key: self.origins[key] for key in origins})

    def write_for_peer(self, origins):
        """Write streams that a peer can't write.

        Returns
        =======

        Deferred
            Fires with whether they were written.
        """
        for key, origin in origins.items():
            self.table.add(key, origin)
        written = Deferred()
        self.waiting.append(written)
        self._add(origins)
        return written

    def can_write(self):
        """Return whether the store takes the writes of this host in time."""
        self._check_late()
        return not (self.is_away() or self.failures or self.is_late)

    def late_streams(self):
        """Return the streams that should have been written by now, by key."""
        self._check_late()
        return dict(self.unwritten) if self.failures or self.is_late else {}

    def note_written(self, keys):
        """Record that streams are in the store, whoever has written them."""
        for key in keys:
            self.unwritten.pop(key, None)
        self.unwritten_since = self.clock.seconds()

    def review(self):
        """Forget old streams, and delete the entry when none is left."""
        now = self.clock.seconds()
        for key, origin in list(self.origins.items()):
            if origin.expires_at <= now:
                self.origins.pop(key)
                self.unwritten.pop(key, None)
        if self.version and not self.origins:
            self._schedule_write()

    async def _read_version(self):
        """Read the version of this host's entry; return whether it is known."""
        if not await self.reader.read(self.domain):
            return False
        if self.version is None:
            self.version = 0
        return True

    def _keep_entry(self, entry, origins):
        """Take over what an earlier process of this host has recorded."""
        if entry.name == self.host and self.version is None:
            self.version = entry.version
            self.origins = {**origins, **self.origins}

    def _check_late(self):
        age = self.clock.seconds() - self.unwritten_since
        if self.unwritten and age >= _LATE_SECONDS:
            self.is_late = True

    def _add(self, origins):
        """Record streams; the first version that is known of each stays."""
        for key, origin in origins.items():
            known = self.origins.get(key, origin)
            if known.software == origin.software:
                self.origins[key] = origin
        self.is_changed = True
        self._schedule_write()

    def _schedule_write(self):
        if self.is_writing:
            return
        self.is_writing = True
        due = self.written_at + self._pause() - self.clock.seconds()
        self.clock.callLater(max(0, due), self._start_write)

    def _pause(self):
        return _WRITE_PERIOD_SECONDS * 2 ** min(self.failures, _MAX_DOUBLINGS)

    def _start_write(self):
        start_step(self.log, _LOOP, self._write_entry())

    async def _write_entry(self):
        self.written_at = self.clock.seconds()
        is_called = not self.is_away()
        is_known = is_called and await _attempt(self, self._knows_version)
        # From here to the call of the store nothing may be added.
        waiting = self.waiting
        self.waiting = []
        noted = list(self.unwritten)
        is_done = is_known and await _attempt(self, self._write)
        # Where no call was made, the next one needs no longer pause.
        is_failed = is_called and not is_done
        self.failures = self.failures + 1 if is_failed else 0
        if is_done:
            self.is_late = False
            self.note_written(noted)
        for written in waiting:
            written.callback(is_done)
        self.is_writing = False
        if self.is_changed or not is_done:
            self._schedule_write()

    async def _knows_version(self):
        """Return whether this host's entry is known; read it if need be.

        Explanation
        ===========

        Written blindly, the entry of an earlier process would be lost.
        """
        return self.version is not None or await self._read_version()

    async def _write(self):
        """Write or delete this host's entry; return whether that is done."""
        kind = streams_kind(self.domain)
        self.is_changed = False
        is_kept = bool(self.origins)
        if not is_kept and not self.version:
            return True
        if is_kept:
            entry = encode_entry(self.origins)
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
            self._log_failure(outcome)
        return False

    def _log_failure(self, outcome):
        self.log(
            events.STREAMS_UNRECORDED,
            level='warning',
            step='write',
            reason=outcome.reason,
            streams=len(self.origins),
            attempts=self.failures,
        )


async def _attempt(record, step):
    """Return whether a step of a write succeeded; False after an error."""
    try:
        return await step()
    except Exception as error:
        # Whether a write was applied is not known.
        record.version = None
        record.is_changed = True
        log_failure(record.log, _LOOP, error)
        return False


def _never():
    return False
