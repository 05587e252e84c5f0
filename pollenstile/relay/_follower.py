"""Long polling of the domain's store reader for changes."""

from dataclasses import replace

from pollenstile.ops.logs import silent_log
from pollenstile.ops.loops import start_loop
from pollenstile.ops.timers import cancel_timer
from pollenstile.peer import BadMessageError, Unanswered, apply_patch
from pollenstile.platform import era_of, paused
from pollenstile.relay import events
from pollenstile.relay._messages import (
    Cursor,
    RelayRequest,
    decode_config,
    decode_update,
    encode_request,
)
from pollenstile.relay._returnwait import ReturnWait
from pollenstile.relay._skipping import SkippedReaders
from pollenstile.relay._source import RELAY_SUBJECT

_LOOP = 'questions to the reader'
# Seconds for which a reader holds a request while nothing has changed, and for
# which its answer may be late. Their sum is the time to detect a frozen or
# unreachable reader; this host then reads the store itself, well within the 2 s
# in which it must know that an upstream is leaving.
_HOLD_SECONDS = 0.6
_LATE_SECONDS = 0.4
# Default seconds for which an update stays valid.
_UPDATE_VALIDITY_SECONDS = 1.7
# Number of answers in a row without store contact after which a reader is
# skipped. A host that has just become the reader answers so until its first
# read of the store has succeeded.
_MAX_NO_STORE_ANSWERS = 2
# The same number after an outage, in which readers learn one after the other
# that the store is back.
_MAX_RETURN_ANSWERS = 3
# Seconds for which a reader holds a request of a host that waits for it then.
_RETURN_HOLD_SECONDS = 0.1
# Delay per rank in the domain's order before a host reads the store itself
# while the readers are up and the store does not answer them: it is unlikely to
# answer this host, and the calls of 31 hosts add up. A host that the store
# answers becomes the reader before most delays are over.
_RANK_DELAY_SECONDS = 0.15
# Seconds between checks for a reader while none can be followed.
_CHECK_SECONDS = 0.2
# Minimum seconds between two requests, so that few of them fetch a burst of
# changes.
_MIN_PAUSE_SECONDS = 0.05
_MS = 1000


_NO_STORE = 'reader without store'
_EXPIRED = 'word too old'


class Follower:
    """Polls the reader of the domain and applies its updates.

    Parameters
    ==========

    clock : IReactorTime
        Schedules the requests.
    suspend_clock : function
        Returns seconds, suspended time included.
    ask : function
        Takes a host, a subject, a body and seconds; returns a Deferred of
        bytes or :class:`~pollenstile.peer.Unanswered`.
    configuration : Configuration
        Receives tables and verification times.
    reader : function
        Takes a function that returns whether a host is skipped; returns the
        host to follow, or None to read the store.
    log : function
        Writes events.

    Attributes
    ==========

    following : str
        Host whose update was applied last; empty while this host reads the
        store itself.
    source : str
        Incarnation of that host.
    skipped : SkippedReaders
        Readers that failed.
    direct_since : float
        Time, on the suspend clock, at which this host last began to read the
        store itself.
    direct_listeners : list of function
        Called when this host begins to read the store itself.
    reader_lacks_store : bool
        Whether the last reader that failed had no store itself.
    read_turn_at : float
        Time, on the clock, at which this host reads the store while no reader
        has it; 0 while a reader answers.
    rank : function
        Returns the rank of this host in the domain's order.
    needs_full_config : bool
        Whether the next request is for the full configuration.
    update_validity_seconds : float
        Seconds after its verification for which a reader's update is valid.
    expires_at : float
        Time, on the suspend clock, at which the last update expires.
    expiry_timer : IDelayedCall or None
        Timer of that time.
    numbers : dict
        Number of the newest applied change of each kind, as counted by the
        source.
    awaits_full : set of str
        Kinds of which all objects are needed.
    kind_handlers : dict
        Function that applies a :class:`KindUpdate`, by kind.
    note_era : function
        Takes the era of the store that a reader has heard of, or None.
    return_wait : ReturnWait
        Whether this host waits for a reader instead of reading a store that is
        back from an outage.
    """

    __slots__ = (
        'ask',
        'awaits_full',
        'clock',
        'configuration',
        'direct_listeners',
        'direct_since',
        'expires_at',
        'expiry_timer',
        'following',
        'kind_handlers',
        'log',
        'needs_full_config',
        'no_store_answers',
        'note_era',
        'numbers',
        'rank',
        'read_turn_at',
        'reader',
        'reader_lacks_store',
        'return_wait',
        'running',
        'skipped',
        'source',
        'suspend_clock',
        'update_validity_seconds',
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
        self.note_era = _ignore_era
        self.numbers = {}
        self.awaits_full = set()
        self.kind_handlers = {}
        self.direct_listeners = []
        self.direct_since = -1000.0
        self.skipped = SkippedReaders(clock)
        self.no_store_answers = 0
        self.reader_lacks_store = False
        self.read_turn_at = 0.0
        self.return_wait = ReturnWait(self)
        self.rank = _first_rank
        self.needs_full_config = False
        self.update_validity_seconds = _UPDATE_VALIDITY_SECONDS
        self.expires_at = 0.0
        self.expiry_timer = None
        self.running = True

    def start(self):
        """Start to follow a reader."""
        return start_loop(self.clock, self.log, _LOOP, self._run)

    def stop(self):
        """Send no more requests."""
        self.running = False
        cancel_timer(self.expiry_timer)

    def is_following(self):
        """Return whether updates of another host replace own reads."""
        return bool(self.following)

    def request_full(self, kind):
        """Request all objects of a kind until an update has them.

        Explanation
        ===========

        The answer to a request that is under way has the changes after those of
        which this host knew then.
        """
        self.awaits_full.add(kind)

    async def _run(self):
        while self.running:
            host = self.reader(self.skipped.is_skipped)
            if host is None and self._is_read_turn():
                self._read_directly('no reader')
            if host is None:
                await paused(self.clock, self._check_delay())
                continue
            settled = await self._ask_once(host)
            await paused(
                self.clock,
                _MIN_PAUSE_SECONDS if settled else _CHECK_SECONDS,
            )

    def _is_read_turn(self):
        """Return whether this host may read the store now."""
        if not self.reader_lacks_store:
            return True
        now = self.clock.seconds()
        if not self.read_turn_at:
            rank = max(0, self.rank() - self.skipped.count())
            wait = _RANK_DELAY_SECONDS * rank
            self.read_turn_at = now + wait
            self.log(
                events.READ_TURN,
                place=rank,
                wait_ms=int(wait * _MS),
                age_ms=self.configuration.age_ms(),
            )
        return now >= self.read_turn_at

    def _check_delay(self):
        """Return seconds until the next check for a reader."""
        turn = self.read_turn_at - self.clock.seconds()
        return min(_CHECK_SECONDS, turn) if turn > 0 else _CHECK_SECONDS

    async def _ask_once(self, host):
        """Ask a reader; return whether it answered validly or is skipped."""
        began = self.suspend_clock()
        numbers = {
            kind: number
            for kind, number in self.numbers.items()
            if kind not in self.awaits_full
        }
        cursors = tuple(
            Cursor(kind, numbers.get(kind, 0)) for kind in self.kind_handlers
        )
        request = self._build_request(cursors)
        answer = await self.ask(
            host,
            RELAY_SUBJECT,
            encode_request(request),
            request.hold + _LATE_SECONDS,
        )
        try:
            reason = self._apply_answer(host, answer, began)
        except Exception as error:
            # An exception here must not end the requests: the host would count
            # as following forever, read nothing itself and refuse all keys.
            reason = repr(error)
        if not reason:
            self.no_store_answers = 0
            self.reader_lacks_store = False
            self.read_turn_at = 0.0
            self.skipped.clear(host)
            return True
        return self._handle_failure(host, reason)

    def _build_request(self, cursors):
        found = self.configuration.found
        revision = (
            0 if found is None or self.needs_full_config else found.version
        )
        version = 0 if self.needs_full_config else self.configuration.version
        hold = _HOLD_SECONDS
        if self.return_wait.is_on():
            hold = _RETURN_HOLD_SECONDS
        return RelayRequest(self.source, revision, cursors, hold, version)

    def _handle_failure(self, host, reason):
        """Record a reader's failure; return whether it is skipped now."""
        is_new = not self.skipped.has_failed(host)
        if reason == _NO_STORE:
            self.reader_lacks_store = True
            self.no_store_answers += 1
            most = _MAX_NO_STORE_ANSWERS
            if self.return_wait.is_on():
                most = _MAX_RETURN_ANSWERS
            if is_new and self.no_store_answers < most:
                return False
        self.no_store_answers = 0
        self.skipped.skip(host)
        self.log(
            events.READER_SKIPPED,
            peer=host,
            reason=reason,
            age_ms=self.configuration.age_ms(),
        )
        return True

    def _apply_answer(self, host, answer, began):
        """Apply an answer; return why it can't be used, or an empty string."""
        if isinstance(answer, Unanswered):
            return answer.reason
        try:
            update = decode_update(answer, era_of(self.configuration.revision))
        except BadMessageError as error:
            return str(error)
        if not update.has_store:
            return _NO_STORE
        self.note_era(update.era)
        update = self._expand_patch(update)
        # When the patch does not fit, the next request is for the full text.
        self.needs_full_config = update is None
        if update is None:
            return ''
        is_accepted = self.configuration.apply_update(update, began)
        aged = _contact_age(update)
        if is_accepted and aged < self.update_validity_seconds:
            self._apply_update(host, update)
            self._set_expiry(began - aged + self.update_validity_seconds)
            return ''
        return _EXPIRED if is_accepted else 'configuration not told'

    def _set_expiry(self, expires_at):
        """Set the time on the suspend clock at which the update expires.

        Explanation
        ===========

        At the expiry, this host begins to read the store itself. It thereby
        keeps its bounds on the age of changes when the next update is delayed:
        by readers that are skipped one by one, by requests that hang, or by the
        long delay of a high rank in a large domain.
        """
        cancel_timer(self.expiry_timer)
        self.expires_at = expires_at
        remaining = max(0, expires_at - self.suspend_clock())
        self.expiry_timer = self.clock.callLater(
            remaining, self._schedule_expiry_check
        )

    def _schedule_expiry_check(self):
        # An update that arrived while the process was suspended is applied
        # before the next delayed call.
        self.expiry_timer = self.clock.callLater(0, self._check_expiry)

    def _check_expiry(self):
        if self.suspend_clock() >= self.expires_at:
            self._read_directly(_EXPIRED)

    def _apply_update(self, host, update):
        if self.following != host:
            self.log(events.READER_FOLLOWED, peer=host)
        self.following = host
        if self.source != update.source:
            self.source = update.source
            self.numbers = {}
        for kind_update in update.kind_updates:
            kind = kind_update.kind
            if kind_update.is_full:
                self.awaits_full.discard(kind)
            if kind not in self.awaits_full:
                self.numbers[kind] = kind_update.number
                self.kind_handlers[kind](kind_update)

    def _expand_patch(self, update):
        """Return an update with its patch applied; None if that fails."""
        if update.patch is None:
            return update
        text = apply_patch(self.configuration.text, update.patch)
        if text is None:
            return None
        return replace(
            update, config=decode_config(update.config_revision, text)
        )

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


def _contact_age(update):
    """Return the seconds since the store has last answered the reader.

    Explanation
    ===========

    While answers of the store prove nothing, a verification is older than the
    reader's last read.
    """
    if update.settling_aged is None:
        return update.aged
    return min(update.aged, update.settling_aged)


def _first_rank():
    return 0


def _ignore_era(era):
    """Ignore an era where the store states none."""
