"""A host that takes the store's news from the reader of its domain."""

from dataclasses import replace

from twisted.internet.defer import Deferred

from pollenstile.ops.logs import silent_log
from pollenstile.peer import BadMessageError, Unanswered
from pollenstile.platform import paused
from pollenstile.relay import events
from pollenstile.relay._configtexts import config_patched
from pollenstile.relay._messages import (
    Asked,
    Cursor,
    asked_bytes,
    word_from,
)
from pollenstile.relay._source import ASK

# Seconds for which a reader holds an ask while there is nothing new, and for
# which its answer may be late. Together they are the time within which a reader
# that is frozen or cut off is noticed; this host then reads for itself, well
# within the 2 s in which it must know of an upstream that leaves.
_HOLD = 0.6
_LATE = 0.4
# Seconds for which this host reads the store itself after a reader failed.
_DIRECT_SECONDS = 3.0
# Seconds since the last word for which a host asks on, of whoever reads next,
# before it reads the store itself: a reader that leaves, or that just became
# one, is no reason for all hosts of a domain to call the store for seconds.
# With one turn of the own watch it is within the 2 s above.
_ASK_ON_SECONDS = 1.0
# Seconds between looks for a reader while there is none, or none that is fit.
_LOOK = 0.2
# Seconds between two asks at least: a burst of changes is taken in few.
_LEAST_PAUSE = 0.05


class Follower:
    """Asks the reader over and over, and hands on what is new.

    Parameters
    ==========

    clock : IReactorTime
        Paces the asks.
    suspend_clock : function
        Returns seconds, suspended time included.
    ask : function
        Takes a host, a subject, a body and seconds; returns a Deferred of
        bytes or :class:`~pollenstile.peer.Unanswered`.
    configuration : ConfigurationReader
        Takes tables and proofs.
    reader : function
        Returns the host to follow, or None to read the store.
    log : function
        Writes events.

    Attributes
    ==========

    following : str
        The host whose word was taken last; empty while this host reads.
    source : str
        Its incarnation.
    heard_at : float
        On the suspend clock: when the ask was sent whose answer was taken last.
    needs_whole : bool
        Whether the next ask is for the whole configuration.
    numbers : dict
        The newest change that was taken of each kind, as the source counts.
    feeds : dict
        Functions that take a kind's :class:`KindNews`.
    """

    __slots__ = (
        'ask',
        'clock',
        'configuration',
        'direct_until',
        'feeds',
        'following',
        'heard_at',
        'log',
        'needs_whole',
        'numbers',
        'on_direct',
        'reader',
        'running',
        'source',
        'suspend_clock',
    )

    def __init__(
        self,
        clock,
        suspend_clock,
        ask,
        configuration,
        reader,
        log=silent_log,
    ):
        self.clock = clock
        self.suspend_clock = suspend_clock
        self.ask = ask
        self.configuration = configuration
        self.reader = reader
        self.log = log
        self.following = ''
        self.source = ''
        self.numbers = {}
        self.feeds = {}
        self.on_direct = []
        self.direct_until = 0.0
        self.heard_at = -1000.0
        self.needs_whole = False
        self.running = True

    def start(self):
        """Follow from now on."""
        return Deferred.fromCoroutine(self._run())

    def stop(self):
        """Ask no more."""
        self.running = False

    def is_following(self):
        """Return whether another host's word makes own reads needless."""
        return bool(self.following)

    def forget(self, kind):
        """Ask for all objects of a kind with the next ask."""
        self.numbers.pop(kind, None)

    async def _run(self):
        while self.running:
            host = self.reader()
            if host is None or self.clock.seconds() < self.direct_until:
                self._read_directly('no reader')
                await paused(self.clock, _LOOK)
                continue
            taken = await self._ask_once(host)
            await paused(self.clock, _LEAST_PAUSE if taken else _LOOK)

    async def _ask_once(self, host):
        """Ask a reader; return whether its word was taken."""
        began = self.suspend_clock()
        cursors = tuple(
            Cursor(kind, self.numbers.get(kind, 0)) for kind in self.feeds
        )
        revision = 0 if self.needs_whole else self.configuration.revision
        asked = Asked(self.source, revision, cursors, _HOLD)
        answer = await self.ask(host, ASK, asked_bytes(asked), _HOLD + _LATE)
        try:
            reason = self._took(host, answer, began)
        except Exception as error:
            # A fault here must not end the asks: the host would count as
            # following for good, read nothing itself, and refuse all keys.
            reason = repr(error)
        if not reason:
            self.heard_at = began
            return True
        silent = self.suspend_clock() - self.heard_at
        if silent > _ASK_ON_SECONDS or not self.following:
            self.direct_until = self.clock.seconds() + _DIRECT_SECONDS
            self._read_directly(reason)
        return False

    def _took(self, host, answer, began):
        """Take an answer; return why it can't be used, or nothing."""
        if isinstance(answer, Unanswered):
            return answer.reason
        try:
            word = word_from(answer)
        except BadMessageError as error:
            return str(error)
        if not word.fit:
            return 'reader without store'
        word = self._unpatched(word)
        # A patch that does not fit leads to an ask for the whole.
        self.needs_whole = word is None
        if word is None:
            return ''
        if not self.configuration.told(word, began):
            return 'configuration not told'
        self._follow(host, word)
        return ''

    def _follow(self, host, word):
        if self.following != host:
            self.log(events.READER_FOLLOWED, peer=host)
        self.following = host
        if self.source != word.source:
            self.source = word.source
            self.numbers = {}
        for news in word.news:
            self.numbers[news.kind] = news.number
            self.feeds[news.kind](news)

    def _unpatched(self, word):
        """Return a word with the whole for a patch; None if that fails."""
        if word.patch is None:
            return word
        found = config_patched(
            self.configuration.found, word.config_revision, word.patch
        )
        return None if found is None else replace(word, config=found)

    def _read_directly(self, reason):
        if not self.following:
            return
        self.log(events.READER_LOST, peer=self.following, reason=reason)
        self.following = ''
        for listener in self.on_direct:
            listener()
