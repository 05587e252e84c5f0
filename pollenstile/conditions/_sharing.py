"""Exchange of measured speeds between the hosts of a failure domain."""

from pollenstile.conditions import events
from pollenstile.conditions._changes import SpeedChanges
from pollenstile.conditions._codec import (
    MAX_ROWS,
    SpeedMessage,
    decode_answer,
    decode_ask,
    encode_answer,
    encode_ask,
)
from pollenstile.ops.logs import silent_log
from pollenstile.ops.loops import start_step
from pollenstile.peer import BadMessageError, Unanswered
from pollenstile.statements import UnreadableLog

CONDITIONS_SUBJECT = 'engine-conditions'
_LOOP = 'questions for speeds'
# Minimum seconds between two questions of a host.
_MIN_INTERVAL_SECONDS = 1.0
# Questions a second that a reader gets from all hosts of its domain, which
# bounds its traffic in domains of any size.
_QUESTIONS_PER_SECOND = 4.0
# Estimates a second that a reader tells all hosts of its domain, for the same
# reason.
_ROWS_PER_SECOND = 64
# Maximum number of measurements in a question.
_MAX_MEASURED_ROWS = 12
# Seconds for a reader to answer.
_ANSWER_SECONDS = 0.8
# Pause after a question without an answer: the reader may have another release
# that does not know the subject.
_PAUSE_SECONDS = 5.0
_FORGET_PERIOD_SECONDS = 10.0


class ConditionSharing:
    """Tells the reader of the domain what was measured, and asks for changes.

    Explanation
    ===========

    The reader of the domain's store merges the measurements, as each host has
    a link to it. Nothing is sent while no service's upstreams report their
    slowdown. While no reader answers, a host goes on with what it has measured
    and received.

    Parameters
    ==========

    hub : Hub
        Links to peers.
    conditions : EngineConditions
        Conditions that this host knows.
    reader : function
        Returns the reader of the domain, or None if this host is one.
    hosts : function
        Returns the number of hosts of the domain.
    log : function
        Writes events.

    Attributes
    ==========

    changes : SpeedChanges
        Changes of the merged estimates that other hosts ask for.
    known : tuple
        Name and boot of the reader that was asked last, and the number of the
        newest change known of it.
    due_at : float
        Time on the clock of the next question.
    is_asking : bool
        Whether a question has no answer yet.
    is_shared : bool
        Whether the last question was answered.
    unreadable : UnreadableLog
        Logs messages of other hosts that are not readable.
    """

    __slots__ = (
        'changes',
        'conditions',
        'due_at',
        'forgot_at',
        'hosts',
        'hub',
        'is_asking',
        'is_shared',
        'known',
        'log',
        'reader',
        'unreadable',
    )

    def __init__(self, hub, conditions, reader, hosts, log=silent_log):
        self.hub = hub
        self.conditions = conditions
        self.reader = reader
        self.hosts = hosts
        self.log = log
        self.changes = SpeedChanges(conditions.estimates)
        self.known = ('', 0, 0)
        self.due_at = 0.0
        self.forgot_at = 0.0
        self.is_asking = False
        self.is_shared = True
        self.unreadable = UnreadableLog(
            hub.clock, log, events.SPEEDS_UNREADABLE
        )
        hub.requests.subjects[CONDITIONS_SUBJECT] = self._on_asked

    def review(self):
        """Ask the reader if a question is due; called periodically."""
        now = self.hub.clock.seconds()
        if now - self.forgot_at >= _FORGET_PERIOD_SECONDS:
            self.forgot_at = now
            self.conditions.estimates.forget_old()
        if self.is_asking or self.hub.stopped or now < self.due_at:
            return
        if not self.conditions.applies():
            return
        self.due_at = now + self._interval()
        reader = self.reader()
        if reader is not None:
            start_step(self.log, _LOOP, self._ask(reader))

    def _interval(self):
        """Return seconds until the next question."""
        shared = self.hosts() / _QUESTIONS_PER_SECOND
        jitter = self.hub.random.uniform(1.0, 1.2)
        return max(_MIN_INTERVAL_SECONDS, shared) * jitter

    def _row_limit(self):
        """Return the maximum number of estimates in an answer."""
        questions = min(self.hosts(), _QUESTIONS_PER_SECOND)
        return min(MAX_ROWS, int(_ROWS_PER_SECOND / max(1, questions)))

    async def _ask(self, reader):
        host, boot, number = self.known
        if host != reader:
            boot, number = 0, 0
        rows = self.conditions.estimates.take_unsent(_MAX_MEASURED_ROWS)
        body = encode_ask(SpeedMessage(boot, number, rows))
        self.is_asking = True
        try:
            answer = await self.hub.ask(
                reader, CONDITIONS_SUBJECT, body, _ANSWER_SECONDS
            )
        finally:
            self.is_asking = False
        reason = self._apply_answer(reader, answer)
        if not reason:
            self.is_shared = True
            return
        self.due_at = self.hub.clock.seconds() + _PAUSE_SECONDS
        if self.is_shared:
            self.log(events.SPEEDS_UNSHARED, peer=reader, reason=reason)
        self.is_shared = False

    def _apply_answer(self, reader, answer):
        """Apply an answer; return why it can't be used, or an empty text."""
        if isinstance(answer, Unanswered):
            return answer.reason
        try:
            told = decode_answer(answer)
        except BadMessageError as error:
            return str(error)
        self.known = (reader, told.boot, told.number)
        self.conditions.estimates.receive((reader, told.boot), told.rows)
        return ''

    def _on_asked(self, host, body):
        try:
            asked = decode_ask(body)
        except BadMessageError as error:
            self.unreadable.write(host, [str(error)])
            return b''
        self.conditions.estimates.add_measured(host, asked.rows)
        boot = self.hub.hello.boot
        since = asked.number if asked.boot == boot else 0
        newest, rows = self.changes.since(since, self._row_limit())
        return encode_answer(SpeedMessage(boot, newest, rows))
