"""Rate limiting and backoff of all calls to the object API."""

from collections import Counter

from twisted.internet.defer import Deferred

from pollenstile.platform._brownout import (
    FAILURE_THRESHOLD,
    Brownout,
    record_answer,
    record_failure,
    seconds_blocked,
)
from pollenstile.platform._budget import (
    class_of_kind,
    seconds_until_available,
    try_acquire,
)
from pollenstile.platform._outcome import InDoubt, NotApplied, Unavailable
from pollenstile.platform._store import PAGE_LIMIT, POLL_SECONDS
from pollenstile.platform.events import (
    BUDGET_REFUSED,
    STORE_ANSWERS,
    STORE_BACKING_OFF,
)

_WRITES = frozenset(('put', 'delete'))
_OVERLOADED = frozenset(('status 429', 'status 503'))


class PacedStore:
    """Wrap a store with a call budget and with backoff in brown-outs.

    Explanation
    ===========

    A call that may not be sent now is refused immediately, with ``NotApplied``
    or ``Unavailable`` and their ``retry_after``. Calls are not queued, because
    only the calling code knows whether it can wait. No call is sent twice.

    Parameters
    ==========

    store : Store
        Store that receives the calls.
    clock : twisted.internet.interfaces.IReactorTime
        Clock of the budget and of the backoff.
    random : random.Random
        Source of the jitter.
    budget : Budget
        Budget of all calls of this host, writes included.
    log : function
        Takes an event and its fields.
    write_budget : Budget or None
        Additional budget of the writes of this host, since the platform
        accepts fewer writes than reads; ``None`` for no additional limit.
    """

    __slots__ = (
        'brownout',
        'budget',
        'clock',
        'log',
        'outcomes',
        'random',
        'refused',
        'store',
        'write_budget',
    )

    def __init__(self, store, clock, random, budget, log, write_budget=None):
        self.store = store
        self.clock = clock
        self.random = random
        self.budget = budget
        self.write_budget = write_budget
        self.log = log
        self.brownout = Brownout()
        self.outcomes = Counter()
        self.refused = Counter()

    def is_answering(self):
        """Return whether a response body is being received."""
        return self.store.is_answering()

    async def get(self, kind, name):
        """Return ``Found``, ``Absent`` or ``Unavailable``."""
        return self._refusal('get', kind) or await self._call(
            kind,
            self.store.get(kind, name),
        )

    async def put(self, kind, name, value, if_version=None):
        """Return ``Written``, ``Conflict``, ``NotApplied`` or ``InDoubt``."""
        return self._refusal('put', kind) or await self._call(
            kind,
            self.store.put(kind, name, value, if_version),
        )

    async def delete(self, kind, name, if_version=None):
        """Return ``Written``, ``Conflict``, ``NotApplied`` or ``InDoubt``."""
        return self._refusal('delete', kind) or await self._call(
            kind,
            self.store.delete(kind, name, if_version),
        )

    async def listed(self, kind, prefix='', after='', limit=PAGE_LIMIT):
        """Return ``Listing`` or ``Unavailable``."""
        return self._refusal('list', kind) or await self._call(
            kind,
            self.store.listed(kind, prefix, after, limit),
        )

    async def watched(self, kind, since, prefix='', timeout=POLL_SECONDS):
        """Return ``Changes``, ``Compacted`` or ``Unavailable``.

        A watch stays pending for long by design, so it does not count as one
        of the in-flight calls of its class during backoff.
        """
        return self._refusal('watch', kind) or await self._record_outcome(
            self.store.watched(kind, since, prefix, timeout),
        )

    def _refusal(self, step, kind):
        call_class = class_of_kind(kind)
        now = self.clock.seconds()
        blocked = seconds_blocked(self.brownout, call_class, now)
        if blocked > 0:
            return self._build_refusal(step, call_class, 'backing-off', blocked)
        for budget in self._budgets(step):
            if try_acquire(budget, call_class, now):
                continue
            wait = seconds_until_available(budget, call_class)
            return self._refuse_over_budget(step, kind, wait)
        return None

    def _budgets(self, step):
        if step in _WRITES and self.write_budget is not None:
            return (self.write_budget, self.budget)
        return (self.budget,)

    def _refuse_over_budget(self, step, kind, wait):
        self.log(
            BUDGET_REFUSED,
            level='warning',
            step=step,
            kind=kind,
            retry_after=round(wait, 3),
        )
        return self._build_refusal(step, class_of_kind(kind), 'budget', wait)

    def _build_refusal(self, step, call_class, reason, wait):
        self.refused[call_class, reason] += 1
        outcome = NotApplied if step in _WRITES else Unavailable
        return outcome(step, 'object API', reason, wait)

    def _call(self, kind, call):
        call_class = class_of_kind(kind)
        self.brownout.in_flight[call_class] += 1
        answer = Deferred.fromCoroutine(self._record_outcome(call))
        return answer.addBoth(self._call_ended, call_class)

    def _call_ended(self, outcome, call_class):
        self.brownout.in_flight[call_class] -= 1
        return outcome

    async def _record_outcome(self, call):
        started = self.clock.seconds()
        outcome = await call
        self.outcomes[type(outcome).__name__] += 1
        if _is_store_failure(outcome):
            self._count_failure(started, outcome)
            return outcome
        if self.brownout.failures >= FAILURE_THRESHOLD:
            self.log(STORE_ANSWERS, failures=self.brownout.failures)
        record_answer(self.brownout)
        return outcome

    def _count_failure(self, started, outcome):
        now = self.clock.seconds()
        before = self.brownout.failures
        record_failure(self.brownout, started, now, self.random)
        if before < FAILURE_THRESHOLD <= self.brownout.failures:
            self.log(
                STORE_BACKING_OFF,
                level='warning',
                step=outcome.step,
                peer=outcome.peer,
                reason=outcome.reason,
            )


def _is_store_failure(outcome):
    if isinstance(outcome, InDoubt):
        return True
    if not isinstance(outcome, (NotApplied, Unavailable)):
        return False
    refused_call = outcome.reason.startswith('status 4')
    return outcome.reason in _OVERLOADED or not refused_call
