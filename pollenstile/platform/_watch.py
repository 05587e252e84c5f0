"""A watch that goes on through gaps, outages and silence."""

from dataclasses import dataclass

from twisted.internet.defer import CancelledError, Deferred

from pollenstile.platform._known import (
    Known,
    news_of_events,
    news_of_listing,
)
from pollenstile.platform._outcome import Compacted, Unavailable
from pollenstile.platform._pages import list_all
from pollenstile.platform._pause import paused, make_pause
from pollenstile.platform.events import (
    WATCH_CALLBACK_FAILED,
    WATCH_LISTED_AGAIN,
    WATCH_MISSED,
    WATCH_SILENT,
    WATCH_STALE,
)


@dataclass(slots=True, frozen=True)
class WatchTiming:
    """Seconds of a watch.

    Parameters
    ==========

    poll : float
        How long the store may hold one call.
    margin : float
        How much longer the answer may take before the watch counts as
        silent.
    rearm : float
        Bound of the jitter before the next call after an answer with
        changes, so that the fleet does not come back at one instant.
    list_every : float
        Mean time between the lists that find what a watch has missed.
    list_within : float
        How long a list may take.
    backoff : float
        Bound of the first pause after a failure.
    backoff_cap : float
        Bound of every pause after a failure.
    """

    poll: float = 10.0
    margin: float = 2.0
    rearm: float = 0.3
    list_every: float = 60.0
    list_within: float = 10.0
    backoff: float = 0.2
    backoff_cap: float = 5.0


class Watch:
    """A running watch; see :func:`watch`.

    Public state
    ============

    ready : Deferred
        Fires with the watch after the first whole list.
    known : Known
        What has been seen.
    revision : int
        Where the next call starts.
    """

    __slots__ = (
        'callback',
        'clock',
        'failures',
        'handing_over',
        'kind',
        'known',
        'list_at',
        'log',
        'prefix',
        'random',
        'ready',
        'revision',
        'running',
        'store',
        'task',
        'timing',
    )

    def __init__(self, store, kind, prefix, callback):
        self.store = store
        self.kind = kind
        self.prefix = prefix
        self.callback = callback
        self.known = Known()
        self.revision = None
        self.list_at = 0.0
        self.failures = 0
        self.handing_over = False
        self.ready = Deferred()
        self.running = True
        self.task = None

    def stop(self):
        """End the watch; no callback comes after it."""
        self.running = False
        if not self.handing_over:
            self.task.cancel()


def watch(store, kind, callback, clock, random, log, prefix='', timing=None):
    """Start a watch on a kind of objects.

    Explanation
    ===========

    It lists once, then waits for changes from there, and never ends by
    itself. A compacted revision leads to a list. An outage leads to tries
    with full jitter. A call that is not answered within its time and a
    margin is cancelled and sent anew. A list from time to time finds what a
    watch has lost without a sign.

    Parameters
    ==========

    store : Store
        Where to watch.
    kind, prefix : str
        Which objects.
    callback : function
        Takes a ``Change``, only ever a newer one than before of that name;
        also one for each object that stands at the start.
    clock : twisted.internet.interfaces.IReactorTime
        Measures the times.
    random : random.Random
        Source of the jitter.
    log : function
        Takes an event and its fields.
    timing : WatchTiming or None
        The times, the defaults when ``None``.

    Returns
    =======

    Watch
        To be stopped by its ``stop``.
    """
    state = Watch(store, kind, prefix, callback)
    state.clock = clock
    state.random = random
    state.log = log
    state.timing = timing or WatchTiming()
    state.task = Deferred.fromCoroutine(_run(state))
    state.task.addErrback(lambda failure: failure.trap(CancelledError))
    return state


async def _run(state):
    timing = state.timing
    pause = make_pause(
        state.clock,
        state.random,
        timing.backoff,
        timing.backoff_cap,
    )
    while state.running:
        now = state.clock.seconds()
        if state.revision is None or now >= state.list_at:
            worked = await _list(state)
        else:
            worked = await _poll(state)
        if worked:
            state.failures = 0
            continue
        await pause(state.failures)
        state.failures += 1


async def _list(state):
    timing = state.timing
    call = Deferred.fromCoroutine(
        list_all(state.store, state.kind, state.prefix),
    )
    listing = await _within(state, call, timing.list_within, 'list')
    if isinstance(listing, Unavailable):
        return False
    now = state.clock.seconds()
    state.list_at = now + timing.list_every * state.random.uniform(0.5, 1.5)
    news = news_of_listing(state.known, listing)
    if news is None:
        _log(state, WATCH_STALE, revision=listing.revision)
        return False
    answered = state.revision or 0
    missed = [change for change in news if change.version <= answered]
    if missed:
        _log(state, WATCH_MISSED, missed=len(missed))
    state.revision = max(answered, listing.revision)
    _hand_over(state, news)
    return True


async def _poll(state):
    timing = state.timing
    started = state.clock.seconds()
    seconds = min(timing.poll, max(state.list_at - started, 0.0))
    call = Deferred.fromCoroutine(
        state.store.watched(
            state.kind,
            state.revision,
            state.prefix,
            seconds,
        ),
    )
    # A path that has lost track of the connection swallows the answer: the
    # call waits for ever. The store holds it for `seconds` at most, so an
    # answer that is later than the margin won't come; cancelling aborts the
    # connection and the next call goes over a new one.
    outcome = await _within(state, call, seconds + timing.margin, 'watch')
    if isinstance(outcome, Unavailable):
        return False
    if isinstance(outcome, Compacted):
        _log(state, WATCH_LISTED_AGAIN, revision=outcome.revision)
        state.revision = None
        await _jitter(state)
        return True
    if outcome.events:
        return await _take(state, outcome)
    state.revision = max(state.revision, outcome.revision)
    # A store that answers at once that nothing has changed would be asked
    # without a pause; it counts as failed, so the next call waits.
    return state.clock.seconds() - started >= seconds / 2


async def _take(state, outcome):
    news = news_of_events(state.known, outcome.events)
    if outcome.revision < state.revision or len(news) < len(outcome.events):
        _log(state, WATCH_STALE, revision=outcome.revision)
    state.revision = max(state.revision, outcome.revision)
    _hand_over(state, news)
    await _jitter(state)
    return bool(news)


def _jitter(state):
    return paused(state.clock, state.random.uniform(0, state.timing.rearm))


def _within(state, call, seconds, step):
    def expired(_failure, _seconds):
        _log(state, WATCH_SILENT, step=step)
        return Unavailable(step, 'object API', 'no answer')

    return call.addTimeout(seconds, state.clock, onTimeoutCancel=expired)


def _hand_over(state, news):
    state.handing_over = True
    for change in news:
        if state.running:
            _call_back(state, change)
    if not state.ready.called:
        state.ready.callback(state)
    state.handing_over = False


def _call_back(state, change):
    try:
        state.callback(change)
    except Exception as error:
        # One change that its taker can't bear must not end the watch: the
        # host would go on with an old state and no sign of it.
        _log(
            state,
            WATCH_CALLBACK_FAILED,
            level='error',
            name=change.name,
            version=change.version,
            error=repr(error),
        )


def _log(state, event, level='warning', **fields):
    state.log(event, level=level, kind=state.kind, **fields)
