"""The route table in force, and the proof that it was the newest."""

import msgspec
from twisted.internet.defer import Deferred

from pollenstile.forward import events
from pollenstile.forward._configreads import (
    answered_within,
    newer_config,
    whole_config,
)
from pollenstile.ops.logs import silent_log
from pollenstile.platform import Compacted, Unavailable, paused

# Seconds between reads. A change has to be in force within 2 s of its write;
# this leaves one failed read and the answer's way.
_READ_PERIOD = 1.2
# The same while other hosts rely on this one's reads: their word is taken for
# 1.2 s after a read was sent, a slow store's answer and the jitter included.
_FOLLOWED_PERIOD = 0.8
# Seconds for which the store may hold a read while nothing is new: it need not,
# an answer without changes is a proof at any moment.
_LEAST_HOLD = 0.001
# The same for a large configuration, whose reads follow one another. A change
# is answered at once, so a storm of them comes one by one: 25 versions of
# 350 kB in 1.5 s would be answered with nine megabytes at a time.
_LARGE_HOLD = 0.9
_FOLLOWED_HOLD = 0.4
_LARGE_BYTES = 64_000
# Seconds between a change and the read of the whole that looks whether it was
# the last one. A watch would answer a storm of changes with every version.
_SETTLE = 0.25
# Seconds without news of the store after which the whole is read: what a watch
# over such a gap brings has no bound.
_LONG_GAP = 3.0
# Seconds after which a read of the whole that is not answered gets another one
# beside it: 350 kB take 0.6 s of a link of 5 Mbit/s.
_WHOLE_SECONDS = 1.2
# Seconds between looks whether a host that follows another one has to read.
_COVERED_PAUSE = 0.1
# Seconds beyond its hold after which a read that is not answered gets another
# one beside it, and how many may be under way: a slow store answers within
# 0.3 s, one that is silent is not given more than one call in half a second.
_RETRY_PERIOD = 0.5
_MOST_READS = 3
# Part of the revocation bound after which a proof is too old: the rest is
# for the time between a request's sending and its being read here.
_PROOF_SHARE = 0.9
# Part of the bound after which callers should go elsewhere: two reads have
# failed, and the balancer takes two seconds to notice.
_FRESH_SHARE = 0.45


class ConfigurationReader:
    """Reads the configuration over and over, and never goes back.

    Explanation
    ===========

    A key that was taken away must stop working within a bound on every host,
    also on one that is cut off. So a keyed request is taken only while this
    host can prove that its table was the newest a moment ago: by an answered
    linearizable read, dated from before it was sent. A watch that is silent
    proves nothing, as it can miss changes.

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

    table : RouteTable or None
        In force.
    proven_at : float
        On the suspend clock.
    listeners : list of function
        Called with each new table.
    failures : int
        Reads in a row without an answer.
    under_way, whole_under_way : int
        Reads that are not answered yet, and those of the whole among them.
    in_storm : bool
        Whether changes come faster than reads.
    found : Found or None
        What the table was decoded from.
    size : int
        Bytes of its text.
    newest : int
        Revision of the newest configuration that was heard of, also of one
        that can't be used.
    seen : int or None
        The store's revision up to which the configuration is known, by reads
        or by another host's word.
    seen_at : float
        On the suspend clock: when that was known.
    read_at : float
        On the suspend clock: when the latest read that was answered here was
        sent; another host's proof does not count.
    covered : function
        Returns whether another host's word makes reads needless.
    is_answering : function
        Returns whether an answer of the store is coming in now.
    followed : function
        Returns whether other hosts rely on this one's reads.
    """

    __slots__ = (
        'clock',
        'covered',
        'decode',
        'failures',
        'followed',
        'found',
        'in_storm',
        'is_answering',
        'listeners',
        'log',
        'newest',
        'on_read',
        'proven_at',
        'random',
        'read_at',
        'revision',
        'revoke_seconds',
        'running',
        'seen',
        'seen_at',
        'size',
        'store',
        'suspend_clock',
        'table',
        'under_way',
        'whole_at',
        'whole_took',
        'whole_under_way',
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
        self.store = store
        self.clock = clock
        self.suspend_clock = suspend_clock
        self.random = random
        self.decode = decode
        self.revoke_seconds = revoke_seconds
        self.log = log
        self.table = None
        self.revision = 0
        self.newest = 0
        self.found = None
        self.size = 0
        self.seen = None
        self.seen_at = -1000.0
        self.in_storm = False
        self.proven_at = -1000.0
        self.read_at = -1000.0
        self.covered = _never
        self.is_answering = _never
        self.followed = _never
        self.failures = 0
        self.under_way = 0
        self.whole_under_way = 0
        self.whole_at = -1000.0
        self.whole_took = 0.0
        self.listeners = []
        self.on_read = None
        self.running = True

    def is_proven(self):
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

    def age(self):
        """Return the seconds since the proof was true."""
        return self.suspend_clock() - self.proven_at

    async def run(self):
        """Read until stopped.

        Explanation
        ===========

        A read that is on its way as the store falls silent is given up late.
        Others are sent meanwhile, so that the store's return is noticed by
        the first that it answers.
        """
        while self.running:
            if self.covered():
                await paused(self.clock, _COVERED_PAUSE)
                continue
            began = self.clock.seconds()
            hold = self._hold()
            if self._may_read():
                reading = Deferred.fromCoroutine(self._read(hold))
                await answered_within(reading, self.clock, hold + _RETRY_PERIOD)
            spent = self.clock.seconds() - began
            pause = self.random.uniform(0.75, 1) * self._period() - spent
            await paused(self.clock, max(0, pause))

    def _hold(self):
        if self.size <= _LARGE_BYTES:
            return _LEAST_HOLD
        return _FOLLOWED_HOLD if self.followed() else _LARGE_HOLD

    def _period(self):
        """Return seconds from one read's start to the next one's."""
        if self.failures or self.under_way:
            return _RETRY_PERIOD
        if self.in_storm or self.size > _LARGE_BYTES:
            return _SETTLE
        return _FOLLOWED_PERIOD if self.followed() else _READ_PERIOD

    def _may_read(self):
        """Return whether a further read may be sent now.

        Explanation
        ===========

        The whole is fetched once at a time: on a slow link a second one would
        only delay the first. One that a silent connection swallowed must not
        keep a change from this host, so that ends after a while.
        """
        if self.under_way >= _MOST_READS:
            return False
        if self.under_way and self.is_answering():
            # Not silent: a large answer is coming in over a full link, and a
            # second one beside it would double what the link has to carry.
            return False
        waits = self.suspend_clock() - self.whole_at < _WHOLE_SECONDS
        return not (waits and self.whole_under_way)

    def _needs_whole(self):
        # On a link that takes seconds for the whole, what it brought is as old.
        gap = self.suspend_clock() - self.seen_at - self.whole_took
        return self.seen is None or self.in_storm or gap > _LONG_GAP

    async def _read(self, hold):
        began = self.suspend_clock()
        whole = self._needs_whole()
        self.under_way += 1
        self.whole_under_way += whole
        if whole:
            self.whole_at = began
            outcome = await whole_config(self.store)
        else:
            outcome = await newer_config(self.store, self.seen, hold)
        self.under_way -= 1
        self.whole_under_way -= whole
        if whole:
            self.whole_took = self.suspend_clock() - began
        answered = not isinstance(outcome, Unavailable)
        if answered:
            self.read_at = max(self.read_at, began)
        if isinstance(outcome, Compacted):
            self.seen = None
        elif answered:
            self._take_news(outcome, began, whole=whole)
        self._note(outcome, answered=answered)

    def _take_news(self, news, began, *, whole):
        before = self.newest
        self.seen = max(news.revision, self.seen or 0)
        self.seen_at = max(began, self.seen_at)
        if news.found is not None:
            self.take(news.found, began)
        elif news.changed:
            # Deleted: what is in force here is not the newest any more.
            self.newest = max(self.newest, news.revision)
        elif self.newest == self.revision:
            self.proven_at = max(self.proven_at, began)
        moved = self.newest > before
        # A whole that brought nothing new ends a storm of changes.
        self.in_storm = moved and (self.in_storm or not whole)

    def take(self, found, began):
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
        self.proven_at = max(self.proven_at, began)

    def told(self, word, began):
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
        proven_at = began - word.aged
        if word.config is not None:
            self.take(word.config, proven_at)
        if word.config_revision < self.revision:
            # A reader that lags says nothing of what this host has read.
            return self.is_fresh()
        if word.config_revision > self.revision:
            return False
        self.proven_at = max(self.proven_at, proven_at)
        if word.seen:
            # If the reader is lost, this host asks for what is newer than
            # this; the whole, asked for by all followers at once, would fill
            # the links that are slow already.
            self.seen = max(word.seen, self.seen or 0)
            self.seen_at = max(proven_at, self.seen_at)
        return True

    def told_seen(self):
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
        self.size = len(msgspec.json.encode(found.value))
        self.log(
            events.CONFIGURATION_TAKEN,
            version=table.version,
            revision=found.version,
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

    def _note(self, outcome, *, answered):
        if answered and self.failures:
            self.log(events.STORE_REGAINED, failures=self.failures)
        if answered:
            self.failures = 0
        else:
            self.failures += 1
            if self.failures == 1:
                self.log(
                    events.STORE_LOST,
                    level='warning',
                    reason=getattr(outcome, 'reason', outcome.__class__),
                )
        if self.on_read is not None:
            self.on_read(answered)


def _never():
    return False
