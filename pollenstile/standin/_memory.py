"""An object store in memory, with switches for its faults."""

from collections import Counter

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

_WRITES = frozenset(('put', 'delete'))


class MemoryStore:
    """An object store in memory that takes its time from a clock.

    Explanation
    ===========

    A call arrives after half of ``latency`` and is answered after the other
    half. With no latency it is answered at once, without the clock. A call
    that is not answered within ``timeout`` is given up by its caller, but a
    write that is on its way is applied all the same.

    Public state, to be set at any time
    ===================================

    down : bool
        Connections are refused; calls on their way get no answer.
    latency : float
        Seconds of each call.
    timeout : float
        Seconds after which a caller gives up.
    lose_answers : int
        That many next writes are applied, but their answers are lost.
    lose_requests : int
        That many next writes are lost, and their callers can't know.
    silent_watches : bool
        Watches are never answered, neither waiting nor new ones.
    deaf_watches : bool
        Watches are answered after their poll time that nothing changed.
    stale_watches : int
        That many next watches are answered with the whole history.
    calls : collections.Counter
        Calls that reached the store, by step.

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
        'empty_watches',
        'down',
        'latency',
        'lose_answers',
        'lose_requests',
        'objects',
        'peer',
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
        self.waiting = {}

    def is_answering(self):
        """Return that no answer is half in: they come whole."""
        return False

    async def get(self, kind, name):
        """Return ``Found``, ``Absent`` or ``Unavailable``."""
        return await self._exchange(
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

        def work():
            outcome = self.objects.put(kind, name, encoded, if_version)
            self._wake()
            return outcome

        return await self._exchange('put', work)

    async def delete(self, kind, name, if_version=None):
        """Return ``Written``, ``Conflict``, ``NotApplied`` or ``InDoubt``."""

        def work():
            outcome = self.objects.delete(kind, name, if_version)
            self._wake()
            return outcome

        return await self._exchange('delete', work)

    async def listed(self, kind, prefix='', after='', limit=PAGE_LIMIT):
        """Return ``Listing`` or ``Unavailable``."""
        return await self._exchange(
            'list',
            lambda: self.objects.listing(kind, prefix, after, limit),
        )

    async def watched(self, kind, since, prefix='', timeout=POLL_SECONDS):
        """Return ``Changes``, ``Compacted`` or ``Unavailable``."""
        self.calls['watch'] += 1
        if self.down:
            return _refusal('watch', self.peer)
        if self.silent_watches:
            return await Deferred()
        if self.stale_watches:
            self.stale_watches -= 1
            old = self.objects.changes(kind, self.objects.compacted, prefix)
            return Changes(since, old.events)
        outcome = self._seen(kind, since, prefix)
        if isinstance(outcome, Changes) and not outcome.events:
            await self._woken(kind, since, prefix, timeout)
            outcome = self._seen(kind, since, prefix)
        await _pause(self.clock, self.latency)
        return _refusal('watch', self.peer) if self.down else outcome

    def _exchange(self, step, work):
        self.calls[step] += 1
        if self.down:
            return succeed(_refusal(step, self.peer))
        if not self.latency:
            return succeed(self._result(step, work) or _lost(step, self.peer))
        answer = Deferred()
        half = self.latency / 2
        self.clock.callLater(half, self._arrive, step, work, answer, half)
        return answer.addTimeout(
            self.timeout,
            self.clock,
            onTimeoutCancel=lambda *_: _lost(step, self.peer),
        )

    def _arrive(self, step, work, answer, half):
        outcome = None if self.down else self._result(step, work)
        if outcome is not None:
            self.clock.callLater(half, self._deliver, answer, outcome)

    def _deliver(self, answer, outcome):
        if not self.down and not answer.called:
            answer.callback(outcome)

    def _result(self, step, work):
        if step in _WRITES and self.lose_requests:
            self.lose_requests -= 1
            return None
        outcome = work()
        if step in _WRITES and self.lose_answers:
            self.lose_answers -= 1
            return None
        return outcome

    def _seen(self, kind, since, prefix):
        if self.empty_watches:
            return Changes(self.objects.revision)
        return self.objects.changes(kind, since, prefix)

    async def _woken(self, kind, since, prefix, timeout):
        woken = Deferred()
        self.waiting[woken] = (kind, since, prefix)
        woken.addTimeout(
            timeout,
            self.clock,
            onTimeoutCancel=lambda *_: None,
        )
        woken.addBoth(self._forget, woken)
        await woken
        if self.silent_watches:
            await Deferred()

    def _forget(self, result, woken):
        self.waiting.pop(woken)
        return result

    def _wake(self):
        if self.silent_watches or self.empty_watches or self.down:
            return
        for woken, watch in tuple(self.waiting.items()):
            found = self.objects.changes(*watch)
            if getattr(found, 'events', True):
                self.clock.callLater(0, _fire, woken)


def _lost(step, peer):
    if step in _WRITES:
        return InDoubt(step, peer, 'no answer')
    return Unavailable(step, peer, 'no answer')


def _refusal(step, peer):
    if step in _WRITES:
        return NotApplied(step, peer, 'refused')
    return Unavailable(step, peer, 'refused')


def _pause(clock, seconds):
    pause = Deferred()
    if not seconds:
        return succeed(None)
    clock.callLater(seconds, _fire, pause)
    return pause


def _fire(woken):
    if not woken.called:
        woken.callback(None)
