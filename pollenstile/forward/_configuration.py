"""Route table in force, and when it was last verified to be the newest."""

import msgspec

from pollenstile.forward import events
from pollenstile.forward._configloop import ConfigurationLoop
from pollenstile.forward._relayedconfig import apply_relayed_update
from pollenstile.forward._settling import Settling
from pollenstile.ops.logs import silent_log
from pollenstile.platform import RevisionTimes, era_of

# Share of the revocation bound for which a verification is valid. The rest
# allows for the time between the sending of a request and its handling here.
_VERIFIED_SHARE = 0.9
# Share of the bound after which callers should be sent to other hosts. By then
# two reads have failed, and the load balancer takes two seconds to react.
_FRESH_SHARE = 0.45
# Time from a host's first read until it knows that the store's last return
# from a copy is over.
_MAX_JOIN_SECONDS = 0.5
# Default time within which a change must be in force.
_APPLY_SECONDS = 2.0
_MS = 1000


class Configuration:
    """The latest configuration; never replaced by an older version.

    Explanation
    ===========

    A revoked key must stop working within a bound on every host, including
    hosts that are partitioned from the store. Requests with a key are therefore
    accepted only if the table was recently verified to be the newest. An
    answered linearizable read verifies the table as of the moment before the
    read was sent; it may be a full read or a read of the changes after a
    revision. An unanswered watch verifies nothing.

    A store that has come back from an older copy shows an older configuration
    until the operator has written the newest one again. The table in force
    stays, and the store's answers verify it only from then on, or after a time.

    Parameters
    ==========

    store : Store
        Provides linearizable reads.
    clock : IReactorTime
        Schedules the reads.
    suspend_clock : function
        Returns seconds, including time spent suspended, so that a host that
        was suspended does not treat an old verification as recent.
    decode : function
        Decodes a stored value to a route table; raises ValueError.
    revoke_seconds : float
        Time within which a revoked key must stop working.

    Attributes
    ==========

    apply_seconds : float
        Time within which a change must be in force.
    table : RouteTable or None
        Table in force.
    verified_at : float
        Time on the suspend clock at which the table was last known to be the
        newest.
    listeners : list of function
        Called with each new table.
    loop : ConfigurationLoop
        Reads the store.
    in_storm : bool
        Whether changes arrive faster than reads.
    found : Found or None
        Stored object from which the table was decoded.
    text : str
        Encoded value of this object, from which patches are computed.
    revision : int
        Revision of the table in force.
    newest_revision : int
        Revision of the newest known configuration, including one that can't be
        decoded.
    known_revision : int or None
        Revision of the store up to which the configuration is known, from
        reads or from updates of another host.
    known_at : float
        Time on the suspend clock as of which ``known_revision`` holds.
    settling : Settling
        Whether an answer of the store proves that nothing newer exists.
    revision_times : RevisionTimes
        Revisions of the store that own reads have shown.
    """

    __slots__ = (
        'apply_seconds',
        'decode',
        'found',
        'in_storm',
        'known_at',
        'known_revision',
        'listeners',
        'log',
        'loop',
        'newest_revision',
        'revision',
        'revision_times',
        'revoke_seconds',
        'settling',
        'suspend_clock',
        'table',
        'text',
        'verified_at',
    )

    def __init__(
        self,
        store,
        clock,
        suspend_clock,
        random,
        decode,
        revoke_seconds,
        log=silent_log,
    ):
        self.suspend_clock = suspend_clock
        self.decode = decode
        self.revoke_seconds = revoke_seconds
        self.apply_seconds = _APPLY_SECONDS
        self.log = log
        self.table = None
        self.revision = 0
        self.newest_revision = 0
        self.found = None
        self.text = ''
        self.known_revision = None
        self.known_at = -1000.0
        self.in_storm = False
        self.verified_at = -1000.0
        self.settling = Settling(suspend_clock)
        self.listeners = []
        self.revision_times = RevisionTimes(clock)
        self.loop = ConfigurationLoop(store, clock, random, self, log)

    def is_verified(self):
        """Return whether keys may be trusted now."""
        return self.age() < _VERIFIED_SHARE * self.revoke_seconds

    def is_fresh(self):
        """Return whether keys may also be trusted for the next seconds.

        Explanation
        ===========

        A host that is disconnected from the store must eventually refuse all
        requests with a key. Callers that are sent to other hosts before that
        are not affected.
        """
        return self.age() < _FRESH_SHARE * self.revoke_seconds

    def is_current(self):
        """Return whether requests may be decided by the table in force.

        Explanation
        ===========

        While the store is unreachable, the host keeps using the known table.
        While the store is reachable, the host would have read a change in time.
        The remaining case is a host that did not read the store, because of
        its own load or of the reader that it followed; its table may be
        outdated. A failure of the store before the last verification does not
        count.
        """
        is_unreachable = self.loop.unreachable_at > self.verified_at
        if is_unreachable or self.age() < self.apply_seconds:
            return True
        # While answers of the store prove nothing, the known table is used.
        return self.is_settling()

    def is_settling(self):
        """Return whether nothing is proved since a return of the store.

        Explanation
        ===========

        Soon after answers are proofs again, one has arrived.
        """
        until = self.settling.until
        is_recent = self.suspend_clock() < until + self.apply_seconds
        return is_recent and until > self.verified_at

    def note_return(self):
        """Let answers of the store, which is back from a copy, prove nothing.

        Explanation
        ===========

        The table in force stays. Its reads begin anew.
        """
        self.settling.begin()
        self.known_revision = None
        self.loop.wake()

    def settle(self):
        """Take the last answer of the store as a proof."""
        unproven_at = self.settling.unproven_at
        self.settling.end()
        if self.suspend_clock() - unproven_at < _MAX_JOIN_SECONDS:
            self._verify(unproven_at)

    @property
    def version(self):
        """Return the operator's version of the table in force; 0 for none."""
        return self.table.version if self.table else 0

    def age(self):
        """Return the seconds since the last verification of the table."""
        return self.suspend_clock() - self.verified_at

    def age_ms(self):
        """Return the age in whole milliseconds, as written to log lines."""
        return int(self.age() * _MS)

    def apply_read(self, read, began, *, is_full):
        """Apply the result of a read of the store.

        Parameters
        ==========

        read : ConfigRead
            A newer configuration, or the result that there is none.
        began : float
            Time on the suspend clock before the read was sent.
        is_full : bool
            Whether this was a full read.
        """
        previous_revision = self.newest_revision
        self.settling.note_read(read.revision)
        self.revision_times.note(read.revision)
        self.known_revision = max(read.revision, self.known_revision or 0)
        self.known_at = max(began, self.known_at)
        if read.found is not None:
            self.apply(read.found, began)
        elif read.changed:
            # The configuration was deleted, so the table in force here is not
            # the newest any more.
            self.newest_revision = max(self.newest_revision, read.revision)
        elif self.newest_revision == self.revision:
            self._verify(began)
        is_newer = self.newest_revision > previous_revision
        # A full read without a newer version ends a series of rapid changes.
        self.in_storm = is_newer and (self.in_storm or not is_full)

    def apply(self, found, began):
        """Apply a stored configuration, unless a newer one is known.

        Parameters
        ==========

        found : Found
            The stored configuration.
        began : float
            Time on the suspend clock before the read was sent.
        """
        if self.apply_found(found):
            self._verify(began)

    def apply_found(self, found):
        """Apply a stored configuration; return whether it is a proof."""
        if found.version < self.newest_revision:
            return False
        self.newest_revision = found.version
        if found.version > self.revision or self.table is None:
            if not self.replace_table(found):
                return False
            self.revision = found.version
        return True

    def _verify(self, began):
        """Record that the store has shown nothing newer since a moment."""
        if self.settling.is_proof(began):
            self.verified_at = max(self.verified_at, began)
        else:
            self.settling.unproven_at = began

    def apply_update(self, update, began):
        """Apply an update from a reader; return whether reads can be skipped.

        See Also
        ========

        pollenstile.forward._relayedconfig.apply_relayed_update
        """
        return apply_relayed_update(self, update, began)

    def resumable_revision(self):
        """Return the store's revision from which other hosts may resume reads.

        Explanation
        ===========

        The result is 0 while a configuration newer than the one in force is
        known that could not be decoded. A later answer without changes would
        otherwise verify the old configuration.
        """
        return (
            self.known_revision
            if self.known_revision and self.newest_revision == self.revision
            else 0
        )

    def replace_table(self, found):
        """Put a stored configuration in force; return whether it is a proof.

        Explanation
        ===========

        A configuration that can't be decoded, or is older than the one in
        force, is logged and not put in force.
        """
        try:
            table, text = _read_table(self.decode, found.value)
        except Exception as error:
            # Another writer's text may break any rule that the decoder has.
            self.log(
                events.CONFIGURATION_BAD,
                level='error',
                revision=found.version,
                reason=str(error)[:200],
            )
            return False
        if self.table is not None and table.version < self.table.version:
            return _keep_newer_table(self, found, table)
        self.settling.note_written(found.version)
        if self.found is not None and found.value == self.found.value:
            self.found = found
            return True
        self.table = table
        self.found = found
        self.text = text
        self.log(
            events.CONFIGURATION_TAKEN,
            version=table.version,
            revision=found.version,
            age_ms=self.age_ms(),
        )
        for listener in self.listeners:
            self._notify(listener, table)
        return True

    def _notify(self, listener, table):
        try:
            listener(table)
        except Exception as error:
            # A listener that fails on a table must not end the read loop: the
            # host would continue with an old table without reporting it.
            self.log(
                events.CONFIGURATION_BAD,
                level='error',
                version=table.version,
                reason=repr(error),
            )


def _read_table(decode, content):
    """Return the table of a stored value, and its encoded text."""
    return decode(content), msgspec.json.encode(content).decode()


def _keep_newer_table(configuration, found, table):
    """Return whether an older stored version leaves the table verified."""
    returned = era_of(found.version) > era_of(configuration.revision)
    configuration.log(
        events.CONFIGURATION_KEPT,
        level='warning',
        version=configuration.table.version,
        stored=table.version,
        revision=found.version,
        returned=returned,
    )
    return returned
