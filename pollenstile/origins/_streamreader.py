"""Read the recorded versions of streams from the store."""

from twisted.internet.defer import DeferredList, succeed

from pollenstile.ops.logs import silent_log
from pollenstile.ops.loops import start_step
from pollenstile.origins import events
from pollenstile.origins._history import HISTORY_SECONDS
from pollenstile.origins._streamentry import decode_entry, streams_kind
from pollenstile.platform import Unavailable, fork_deferred, list_all

_LOOP = 'reads of streams'
# Minimum seconds between two reads of a domain, and seconds for which a request
# waits for them. A slow store answers within 0.3 s.
_READ_PERIOD_SECONDS = 1.0
_LOOK_UP_SECONDS = 0.8


class StreamReader:
    """Reads the versions of streams of failure domains.

    Parameters
    ==========

    store : Store
        Holds the entries.
    clock : IReactorTime
        Times the reads.
    domain : str
        Failure domain of this host.
    table : OriginTable
        Receives the streams that are read.
    log : function
        Writes events.

    Attributes
    ==========

    domains : function
        Returns the names of the other failure domains.
    on_own_entry : function
        Called with each entry of the own failure domain, and its streams.
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
        'log',
        'on_own_entry',
        'read_at',
        'reads',
        'store',
        'table',
        'tried_at',
    )

    def __init__(self, store, clock, domain, table, log=silent_log):
        self.store = store
        self.clock = clock
        self.domain = domain
        self.table = table
        self.log = log
        self.domains = tuple
        self.on_own_entry = _ignore_entry
        self.reads = {}
        self.read_at = {}
        self.tried_at = {}

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

    async def read(self, domain):
        """Read the streams of a domain; return whether the store answered."""
        began = self.clock.seconds()
        listing = await list_all(self.store, streams_kind(domain))
        if isinstance(listing, Unavailable):
            self.log(
                events.STREAMS_UNRECORDED,
                level='warning',
                step='read',
                reason=listing.reason,
            )
            return False
        self.read_at[domain] = began
        count = sum(self._note(domain, entry) for entry in listing.objects)
        if count:
            self.log(events.STREAMS_READ, domain=domain, streams=count)
        return True

    def _note(self, domain, entry):
        """Add the streams of an entry to the table; return their number."""
        expires_at = self.clock.seconds() + HISTORY_SECONDS
        origins = decode_entry(entry.value, expires_at)
        for key, origin in origins.items():
            self.table.add(key, origin)
        if domain == self.domain:
            self.on_own_entry(entry, origins)
        return len(origins)

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
        read = start_step(self.log, _LOOP, self.read(domain))
        if not read.called:
            self.reads[domain] = read
            read.addBoth(self._end_read, domain)
        return read

    def _end_read(self, outcome, domain):
        self.reads.pop(domain, None)
        return outcome


def _ignore_entry(entry, origins):
    """Keep nothing; the default of a host that records no streams."""


def _ignore_timeout(*_):
    """Go on without the streams; they are read in the background."""
