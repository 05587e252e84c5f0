"""The route table in force, and the proof that it was the newest."""

import msgspec

from pollenstile.forward import events
from pollenstile.forward._configloop import ConfigurationLoop
from pollenstile.ops.logs import silent_log

# Part of the revocation bound after which a proof is too old: the rest is
# for the time between a request's sending and its being read here.
_PROOF_SHARE = 0.9
# Part of the bound after which callers should go elsewhere: two reads have
# failed, and the balancer takes two seconds to notice.
_FRESH_SHARE = 0.45
# Seconds within which a change is in force where nothing else is said.
_APPLY_SECONDS = 2.0
_MS = 1000


class Configuration:
    """The configuration as it was read last; it never goes back.

    Explanation
    ===========

    A key that was taken away must stop working within a bound on every host,
    also on one that is cut off. So a keyed request is taken only while this
    host can prove that its table was the newest a moment ago: by an answered
    linearizable read, dated from before it was sent: of the whole, or of what
    is newer than a revision. A watch that is not answered proves nothing.

    Parameters
    ==========

    store : Store
        Linearizable reads.
    clock : IReactorTime
        Paces the reads.
    suspend_clock : function
        Returns seconds, suspended time included; a host that was suspended
        must not take an old proof for a fresh one.
    decode : function
        From a stored value to a route table; raises ValueError.
    revoke_seconds : float
        Within this time a key that was taken away stops working.

    Attributes
    ==========

    apply_seconds : float
        Within this time a change is in force.
    table : RouteTable or None
        In force.
    proven_at : float
        On the suspend clock.
    listeners : list of function
        Called with each new table.
    loop : ConfigurationLoop
        Reads the store.
    in_storm : bool
        Whether changes come faster than reads.
    found : Found or None
        What the table was decoded from.
    text : str
        Of what the table was decoded from; patches are made of it.
    newest : int
        Revision of the newest configuration that was heard of, also of one
        that can't be used.
    seen : int or None
        The store's revision up to which the configuration is known, by reads
        or by another host's word.
    seen_at : float
        On the suspend clock: when that was known.
    """

    __slots__ = (
        'apply_seconds',
        'decode',
        'found',
        'in_storm',
        'listeners',
        'log',
        'loop',
        'newest',
        'verified_at',
        'revision',
        'revoke_seconds',
        'seen',
        'seen_at',
        'suspend_clock',
        'table',
        'text',
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
        self.newest = 0
        self.found = None
        self.text = ''
        self.seen = None
        self.seen_at = -1000.0
        self.in_storm = False
        self.verified_at = -1000.0
        self.listeners = []
        self.loop = ConfigurationLoop(store, clock, random, self, log)

    def is_verified(self):
        """Return whether keys may be trusted now."""
        return self.age() < _PROOF_SHARE * self.revoke_seconds

    def is_fresh(self):
        """Return whether keys will be trusted for the next seconds, too.

        Explanation
        ===========

        A host that is cut off from the store will have to refuse all requests
        with a key; callers who are sent elsewhere before that lose nothing.
        """
        return self.age() < _FRESH_SHARE * self.revoke_seconds

    def is_current(self):
        """Return whether requests may be taken by the table in force.

        Explanation
        ===========

        A host that has lost the store goes on by what it knows, and one that
        has it would have heard of a change in time. Between them is a host that
        was kept from asking: by its own load, or by whom it relied on. That the
        store was lost before the proof says nothing of now.
        """
        is_away = self.loop.unreachable_at > self.verified_at
        return is_away or self.age() < self.apply_seconds

    def age(self):
        """Return the seconds since the proof was true."""
        return self.suspend_clock() - self.verified_at

    def age_ms(self):
        """Return the age in whole milliseconds, as log lines have it."""
        return int(self.age() * _MS)

    def take_news(self, news, began, *, whole):
        """Take what a read of the store has shown.

        Parameters
        ==========

        news : ConfigNews
            Newer than what is known, or that there is nothing newer.
        began : float
            On the suspend clock, before the read was sent.
        whole : bool
            Whether the whole was read.
        """
        before = self.newest
        self.seen = max(news.revision, self.seen or 0)
        self.seen_at = max(began, self.seen_at)
        if news.found is not None:
            self.apply(news.found, began)
        elif news.changed:
            # Deleted: what is in force here is not the newest any more.
            self.newest = max(self.newest, news.revision)
        elif self.newest == self.revision:
            self.verified_at = max(self.verified_at, began)
        moved = self.newest > before
        # A whole that brought nothing new ends a storm of changes.
        self.in_storm = moved and (self.in_storm or not whole)

    def apply(self, found, began):
        """Take one read.

        Parameters
        ==========

        found : Found
            The stored configuration.
        began : float
            On the suspend clock, before the read was sent.
        """
        if found.version < self.newest:
            return
        self.newest = found.version
        if found.version > self.revision or self.table is None:
            if not self._replaced(found):
                return
            self.revision = found.version
        self.verified_at = max(self.verified_at, began)

    def apply_update(self, word, began):
        """Take another host's word; return whether it makes reads needless.

        Explanation
        ===========

        It proves the table in force here only when that has the revision of
        which the word speaks.

        Parameters
        ==========

        word : Word
            With the configuration, if that is newer than the one here.
        began : float
            On the suspend clock, before the other host was asked.
        """
        verified_at = began - word.aged
        if word.config is not None:
            self.apply(word.config, verified_at)
        if word.config_revision < self.revision:
            # A reader that lags says nothing of what this host has read.
            return self.is_fresh()
        if word.config_revision > self.revision:
            return False
        self.verified_at = max(self.verified_at, verified_at)
        if word.seen:
            # If the reader is lost, this host asks for what is newer than
            # this; the whole, asked for by all followers at once, would fill
            # the links that are slow already.
            self.seen = max(word.seen, self.seen or 0)
            self.seen_at = max(verified_at, self.seen_at)
        return True

    def resumable_revision(self):
        """Return the store's revision that other hosts may go on from.

        Explanation
        ===========

        0 when a newer configuration than the one in force was seen and could
        not be used: from there on, nothing new would prove the old one.
        """
        return self.seen if self.seen and self.newest == self.revision else 0

    def _replaced(self, found):
        try:
            table = self.decode(found.value)
        except ValueError as error:
            self.log(
                events.CONFIGURATION_BAD,
                level='error',
                revision=found.version,
                reason=str(error)[:200],
            )
            return False
        if self.table is not None and table.version < self.table.version:
            return False
        self.table = table
        self.found = found
        self.text = msgspec.json.encode(found.value).decode()
        self.log(
            events.CONFIGURATION_TAKEN,
            version=table.version,
            revision=found.version,
            age_ms=self.age_ms(),
        )
        for listener in self.listeners:
            self._call(listener, table)
        return True

    def _call(self, listener, table):
        try:
            listener(table)
        except Exception as error:
            # A table that one part can't bear must not end the reading: the
            # host would go on with an old table and no sign of it.
            self.log(
                events.CONFIGURATION_BAD,
                level='error',
                version=table.version,
                reason=repr(error),
            )
