"""The route table in force, and the proof that it was the newest."""

from twisted.internet.defer import Deferred

from pollenstile.forward import events
from pollenstile.ops.logs import silent_log
from pollenstile.platform import Found, paused

# Seconds between reads. A change has to be in force within 2 s of its write;
# this leaves one failed read and the answer's way.
_READ_PERIOD = 1.2
# The same while other hosts rely on this one's reads: their word is taken for
# 1.2 s after a read was sent, a slow store's answer and the jitter included.
_FOLLOWED_PERIOD = 0.8
# Seconds between looks whether a host that follows another one has to read.
_COVERED_PAUSE = 0.1
# Seconds between reads while some are not answered, at most, and how many may
# be under way: a slow store answers within 0.3 s, one that is silent is not
# given more than one call in half a second.
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
    under_way : int
        Reads that are not answered yet.
    found : Found or None
        What the table was decoded from.
    read_at : float
        On the suspend clock: when the latest read that was answered here was
        sent; another host's proof does not count.
    covered : function
        Returns whether another host's word makes reads needless.
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
        'listeners',
        'log',
        'on_read',
        'proven_at',
        'random',
        'read_at',
        'revision',
        'revoke_seconds',
        'running',
        'store',
        'suspend_clock',
        'table',
        'under_way',
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
        self.found = None
        self.proven_at = -1000.0
        self.read_at = -1000.0
        self.covered = _never
        self.followed = _never
        self.failures = 0
        self.under_way = 0
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
            if self.under_way < _MOST_READS:
                Deferred.fromCoroutine(self._read())
            share = self.random.uniform(0.75, 1)
            await paused(self.clock, share * _RETRY_PERIOD)
            if not self.failures and not self.under_way:
                period = _FOLLOWED_PERIOD if self.followed() else _READ_PERIOD
                await paused(self.clock, share * (period - _RETRY_PERIOD))

    async def _read(self):
        began = self.suspend_clock()
        self.under_way += 1
        outcome = await self.store.get('config', 'main')
        self.under_way -= 1
        answered = isinstance(outcome, Found)
        if answered:
            self.read_at = max(self.read_at, began)
            self.take(outcome, began)
        self._note(outcome, answered=answered)

    def take(self, found, began):
        """Take one read.

        Parameters
        ==========

        found : Found
            The stored configuration.
        began : float
            On the suspend clock, before the read was sent.
        """
        if found.version < self.revision:
            return
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
        return True

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
