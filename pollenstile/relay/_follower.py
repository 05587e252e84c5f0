"""A host that takes the store's news from the reader of its domain."""

from dataclasses import replace

from twisted.internet.defer import Deferred

from pollenstile.ops.logs import silent_log
from pollenstile.peer import BadMessageError, Unanswered, apply_patch
from pollenstile.platform import paused
from pollenstile.relay import events
from pollenstile.relay._messages import (
    Asked,
    Cursor,
    asked_bytes,
    config_from,
    word_from,
)
from pollenstile.relay._skipping import SkippedReaders
from pollenstile.relay._source import RELAY_SUBJECT

# Seconds for which a reader holds an ask while there is nothing new, and for
# which its answer may be late. Together they are the time within which a reader
# that is frozen or cut off is noticed; this host then reads for itself, well
# within the 2 s in which it must know of an upstream that leaves.
_HOLD = 0.6
_LATE = 0.4
# Seconds for which a word holds where nothing else is said.
_WORD_SECONDS = 1.7
# Words in a row that a reader has no store after which it is passed over. One
# that has just become the reader says so until its first read is answered.
_UNFIT_WORDS = 2
# Seconds for each place in the domain's order by which a host goes to the store
# later when the readers are there and the store does not answer them: it will
# hardly answer this one, and each call of 31 hosts counts. Whoever has found it
# to answer is the reader by the time that most turns come.
_TURN_SECONDS = 0.15
# Seconds between looks for a reader while there is none, or none that is fit.
_LOOK = 0.2
# Seconds between two asks at least: a burst of changes is taken in few.
_LEAST_PAUSE = 0.05
_MS = 1000


_NO_STORE = 'reader without store'
_TOO_OLD = 'word too old'


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
    configuration : Configuration
        Takes tables and proofs.
    reader : function
        Takes a function that says of a host whether it is passed over; returns
        the host to follow, or None to read the store.
    log : function
        Writes events.

    Attributes
    ==========

    following : str
        The host whose word was taken last; empty while this host reads.
    source : str
        Its incarnation.
    skipped : SkippedReaders
        Readers that failed.
    direct_at : float
        On the suspend clock: when this host began to read the store last.
    is_unfit : bool
        Whether the last reader that failed has no store itself.
    turn_at : float
        On the clock: when this host reads the store then; 0 while there is a
        reader to ask.
    place : function
        Returns this host's place in the domain's order.
    needs_whole : bool
        Whether the next ask is for the whole configuration.
    word_seconds : float
        For so long after its date this host goes by a reader's word.
    word_ends : float
        On the suspend clock: until when the last word holds.
    word_timer : IDelayedCall or None
        Ends the following then.
    numbers : dict
        The newest change that was taken of each kind, as the source counts.
    feeds : dict
        Functions that take a kind's :class:`KindNews`.
    """

    __slots__ = (
        'ask',
        'clock',
        'configuration',
        'direct_since',
        'feeds',
        'following',
        'is_unfit',
        'log',
        'needs_whole',
        'numbers',
        'direct_listeners',
        'place',
        'reader',
        'running',
        'skipped',
        'source',
        'suspend_clock',
        'turn_at',
        'unfit_words',
        'word_ends',
        'word_seconds',
        'word_timer',
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
        self.direct_listeners = []
        self.direct_since = -1000.0
        self.skipped = SkippedReaders(clock)
        self.unfit_words = 0
        self.is_unfit = False
        self.turn_at = 0.0
        self.place = _first
        self.needs_whole = False
        self.word_seconds = _WORD_SECONDS
        self.word_ends = 0.0
        self.word_timer = None
        self.running = True

    def start(self):
        """Follow from now on."""
        return Deferred.fromCoroutine(self._run())

    def stop(self):
        """Ask no more."""
        self.running = False
        if self.word_timer is not None and self.word_timer.active():
            self.word_timer.cancel()

    def is_following(self):
        """Return whether another host's word makes own reads needless."""
        return bool(self.following)

    def forget(self, kind):
        """Ask for all objects of a kind with the next ask."""
        self.numbers.pop(kind, None)

    async def _run(self):
        while self.running:
            host = self.reader(self.skipped.is_skipped)
            if host is None and self._may_read():
                self._read_directly('no reader')
            if host is None:
                await paused(self.clock, self._look())
                continue
            settled = await self._ask_once(host)
            await paused(self.clock, _LEAST_PAUSE if settled else _LOOK)

    def _may_read(self):
        """Return whether it is this host's turn to read the store."""
        if not self.is_unfit:
            return True
        now = self.clock.seconds()
        if not self.turn_at:
            before = max(0, self.place() - self.skipped.count())
            wait = _TURN_SECONDS * before
            self.turn_at = now + wait
            self.log(
                events.READ_TURN,
                place=before,
                wait_ms=int(wait * _MS),
                age_ms=self.configuration.age_ms(),
            )
        return now >= self.turn_at

    def _look(self):
        """Return seconds until it is worth looking for a reader again."""
        turn = self.turn_at - self.clock.seconds()
        return min(_LOOK, turn) if turn > 0 else _LOOK

    async def _ask_once(self, host):
        """Ask a reader; return whether its word was taken, or it is skipped."""
        began = self.suspend_clock()
        cursors = tuple(
            Cursor(kind, self.numbers.get(kind, 0)) for kind in self.feeds
        )
        revision = 0 if self.needs_whole else self.configuration.revision
        asked = Asked(self.source, revision, cursors, _HOLD)
        answer = await self.ask(
            host, RELAY_SUBJECT, asked_bytes(asked), _HOLD + _LATE
        )
        try:
            reason = self._took(host, answer, began)
        except Exception as error:
            # A fault here must not end the asks: the host would count as
            # following for good, read nothing itself, and refuse all keys.
            reason = repr(error)
        if not reason:
            self.unfit_words = 0
            self.is_unfit = False
            self.turn_at = 0.0
            self.skipped.forgive(host)
            return True
        return self._failed(host, reason)

    def _failed(self, host, reason):
        """Return whether a reader that failed is passed over now."""
        is_new = not self.skipped.has_failed(host)
        if reason == _NO_STORE:
            self.is_unfit = True
            self.unfit_words += 1
            if is_new and self.unfit_words < _UNFIT_WORDS:
                return False
        self.unfit_words = 0
        self.skipped.skip(host)
        self.log(
            events.READER_SKIPPED,
            peer=host,
            reason=reason,
            age_ms=self.configuration.age_ms(),
        )
        return True

    def _took(self, host, answer, began):
        """Take an answer; return why it can't be used, or nothing."""
        if isinstance(answer, Unanswered):
            return answer.reason
        try:
            word = word_from(answer)
        except BadMessageError as error:
            return str(error)
        if not word.fit:
            return _NO_STORE
        word = self._unpatched(word)
        # A patch that does not fit leads to an ask for the whole.
        self.needs_whole = word is None
        if word is None:
            return ''
        apply_update = self.configuration.apply_update(word, began)
        if apply_update and word.aged < self.word_seconds:
            self._follow(host, word)
            self._hold_until(began - word.aged + self.word_seconds)
            return ''
        return _TOO_OLD if apply_update else 'configuration not told'

    def _hold_until(self, ends):
        """Go by the word until a moment on the suspend clock, not longer.

        Explanation
        ===========

        Whatever keeps the next word away, this host is at the store again in
        time for the bounds: readers that are passed over one by one, asks that
        hang, or a turn that is far off in a large domain.
        """
        if self.word_timer is not None and self.word_timer.active():
            self.word_timer.cancel()
        self.word_ends = ends
        left = max(0, ends - self.suspend_clock())
        self.word_timer = self.clock.callLater(left, self._word_ended)

    def _word_ended(self):
        # A word that came while the process stood still is taken before the
        # next call.
        self.word_timer = self.clock.callLater(0, self._look_again)

    def _look_again(self):
        if self.suspend_clock() >= self.word_ends:
            self._read_directly(_TOO_OLD)

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
        text = apply_patch(self.configuration.text, word.patch)
        if text is None:
            return None
        return replace(word, config=config_from(word.config_revision, text))

    def _read_directly(self, reason):
        if not self.following:
            return
        self.log(
            events.READER_LOST,
            peer=self.following,
            reason=reason,
            age_ms=self.configuration.age_ms(),
        )
        self.following = ''
        self.direct_since = self.suspend_clock()
        for listener in self.direct_listeners:
            listener()


def _first():
    return 0
