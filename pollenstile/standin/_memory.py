"""In-memory object store with injectable faults."""

from collections import Counter
from dataclasses import replace

import msgspec
from twisted.internet.defer import Deferred, succeed

from pollenstile.platform import (
    PAGE_LIMIT,
    POLL_SECONDS,
    VALUE_LIMIT,
    Changes,
    InDoubt,
    NotApplied,
    Unavailable,
)
from pollenstile.standin._objects import Objects

_WRITE_STEPS = frozenset(('put', 'delete'))


class MemoryStore:
    """In-memory object store whose latency is timed by a clock.

    Explanation
    ===========

    A call is executed after half of ``latency`` and answered after the other
    half. With zero latency it is answered immediately, without the clock. The
    caller gives up a call that is not answered within ``timeout``; a write
    that is already on its way is still applied.

    Public state, may be set at any time
    ====================================

    down : bool
        Whether connections are refused. Calls in flight get no answer.
    latency : float
        Round-trip time of each call, in seconds.
    timeout : float
        Time after which the caller gives up, in seconds.
    lose_answers : int
        Number of following writes that are applied without an answer.
    lose_requests : int
        Number of following writes that are lost. The caller can't distinguish
        them from writes whose answer was lost.
    silent_watches : bool
        Whether watches, both waiting and new ones, are never answered.
    empty_watches : bool
        Whether watches miss all changes and are answered as unchanged when
        their poll time is over.
    stale_watches : int
        Number of following watches that are answered with the full history.
    calls : collections.Counter
        Number of calls to the store, by step.
    refused_kinds : set of str
        Kinds whose writes are refused.
    waiting : dict
        Arguments of each waiting watch, by the Deferred that wakes it.

    Examples
    ========

    >>> from twisted.internet.defer import Deferred
    >>> from twisted.internet.task import Clock
    >>> store = MemoryStore(Clock())
    >>> def shown(call):
    ...     Deferred.fromCoroutine(call).addCallback(print)
    >>> shown(store.put('config', 'manifest', {'a': 1}, if_version=0))
    Written(version=1)
    >>> shown(store.put('config', 'manifest', {'a': 2}, if_version=0))
    Conflict(version=1)
    >>> store.lose_answers = 1
    >>> shown(store.put('config', 'manifest', {'a': 2}, if_version=1))
    InDoubt(step='put', peer='memory', reason='no answer')
    >>> shown(store.get('config', 'manifest'))
    Found(kind='config', name='manifest', version=2, value={'a': 2})
    """

    __slots__ = (
        'calls',
        'clock',
        'down',
        'empty_watches',
        'latency',
        'lose_answers',
        'lose_requests',
        'objects',
        'peer',
        'refused_kinds',
        'silent_watches',
        'stale_watches',
        'timeout',
        'waiting',
    )

    def __init__(self, clock, peer='memory', timeout=2.0, history_limit=4096):
        self.clock = clock
        self.peer = peer
        self.objects = Objects(history_limit)
        self.timeout = timeout
        self.latency = 0.0
        self.down = False
        self.lose_answers = 0
        self.lose_requests = 0
        self.silent_watches = False
        self.empty_watches = False
        self.stale_watches = 0
        self.calls = Counter()
        self.refused_kinds = set()
        self.waiting = {}

    def write_at_once(self, kind, name, value):
        """Put an object, or delete it with None, whatever faults there are."""
        if value is None:
            self.objects.delete(kind, name, None)
        else:
            encoded = msgspec.json.encode(value)
            self.objects.put(kind, name, encoded, None)
        self._wake_watches()

    def return_from(self, copy):
        """Replace the state by a copy of it; the era rises by one.

        Parameters
        ==========

        copy : Objects
            What :meth:`Objects.copy` has returned; it may be used again.
        """
        era = self.objects.era or 0
        self.objects = copy.copy()
        self.objects.era = era + 1
        for wakeup in tuple(self.waiting):
            self.clock.callLater(0, _fire, wakeup)

    def is_answering(self):
        """Return False: answers are never received in parts."""
        return False

    async def get(self, kind, name):
        """Return ``Found``, ``Absent`` or ``Unavailable``."""
        return await self._call(
            'get',
            lambda: self.objects.found(kind, name),
        )

    async def put(self, kind, name, value, if_version=None):
        """Return ``Written``, ``Conflict``, ``NotApplied`` or ``InDoubt``."""
        encoded = msgspec.json.encode(value)
        if value is None:
            return NotApplied('put', self.peer, 'status 400')
        if len(encoded) > VALUE_LIMIT:
            return NotApplied('put', self.peer, 'status 413')
        if kind in self.refused_kinds:
            return _refused('put', self.peer)

        def operation():
            outcome = self.objects.put(kind, name, encoded, if_version)
            self._wake_watches()
            return outcome

        return await self._call('put', operation)

    async def delete(self, kind, name, if_version=None):
        """Return ``Written``, ``Conflict``, ``NotApplied`` or ``InDoubt``."""
        if kind in self.refused_kinds:
            return _refused('delete', self.peer)

        def operation():
            outcome = self.objects.delete(kind, name, if_version)
            self._wake_watches()
            return outcome

        return await self._call('delete', operation)

    async def listed(self, kind, prefix='', after='', limit=PAGE_LIMIT):
        """Return ``Listing`` or ``Unavailable``."""
        return await self._call(
            'list',
            lambda: self.objects.listing(kind, prefix, after, limit),
        )

    async def watched(self, kind, since, prefix='', timeout=POLL_SECONDS):
        """Return ``Changes``, ``Compacted`` or ``Unavailable``."""
        self.calls['watch'] += 1
        if self.down:
            return _refused('watch', self.peer)
        if self.silent_watches:
            return await Deferred()
        if self.stale_watches:
            self.stale_watches -= 1
            old = self.objects.changes(kind, self.objects.compacted, prefix)
            return self._stated(Changes(since, old.events))
        outcome = self._read_changes(kind, since, prefix)
        if isinstance(outcome, Changes) and not outcome.events:
            await self._wait_for_change(kind, since, prefix, timeout)
            outcome = self._read_changes(kind, since, prefix)
        await _delay(self.clock, self.latency)
        return (
            _refused('watch', self.peer) if self.down else self._stated(outcome)
        )

    def _call(self, step, operation):
        self.calls[step] += 1
        if self.down:
            return succeed(_refused(step, self.peer))
        if not self.latency:
            return succeed(
                self._execute(step, operation) or _no_answer(step, self.peer)
            )
        answer = Deferred()
        half = self.latency / 2
        self.clock.callLater(half, self._arrive, step, operation, answer, half)
        return answer.addTimeout(
            self.timeout,
            self.clock,
            onTimeoutCancel=lambda *_: _no_answer(step, self.peer),
        )

    def _arrive(self, step, operation, answer, half):
        outcome = None if self.down else self._execute(step, operation)
        if outcome is not None:
            self.clock.callLater(half, self._deliver, answer, outcome)

    def _deliver(self, answer, outcome):
        if not self.down and not answer.called:
            answer.callback(outcome)

    def _execute(self, step, operation):
        if step in _WRITE_STEPS and self.lose_requests:
            self.lose_requests -= 1
            return None
        outcome = self._stated(operation())
        if step in _WRITE_STEPS and self.lose_answers:
            self.lose_answers -= 1
            return None
        return outcome

    def _stated(self, outcome):
        return replace(outcome, era=self.objects.era)

    def _read_changes(self, kind, since, prefix):
        if self.empty_watches:
            return Changes(self.objects.revision)
        return self.objects.changes(kind, since, prefix)

    async def _wait_for_change(self, kind, since, prefix, timeout):
        wakeup = Deferred()
        self.waiting[wakeup] = (kind, since, prefix)
        wakeup.addTimeout(
            timeout,
            self.clock,
            onTimeoutCancel=lambda *_: None,
        )
        wakeup.addBoth(self._remove_waiting, wakeup)
        await wakeup
        if self.silent_watches:
            await Deferred()

    def _remove_waiting(self, result, wakeup):
        self.waiting.pop(wakeup)
        return result

    def _wake_watches(self):
        if self.silent_watches or self.empty_watches or self.down:
            return
        for wakeup, watch in tuple(self.waiting.items()):
            outcome = self.objects.changes(*watch)
            if getattr(outcome, 'events', True):
                self.clock.callLater(0, _fire, wakeup)


def _no_answer(step, peer):
    if step in _WRITE_STEPS:
        return InDoubt(step, peer, 'no answer')
    return Unavailable(step, peer, 'no answer')


def _refused(step, peer):
    if step in _WRITE_STEPS:
        return NotApplied(step, peer, 'refused')
    return Unavailable(step, peer, 'refused')


def _delay(clock, seconds):
    delay = Deferred()
    if not seconds:
        return succeed(None)
    clock.callLater(seconds, _fire, delay)
    return delay


def _fire(wakeup):
    if not wakeup.called:
        wakeup.callback(None)
