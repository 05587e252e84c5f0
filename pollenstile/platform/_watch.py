"""Watch loop that recovers from gaps, outages and lost responses."""

from contextlib import nullcontext
from dataclasses import dataclass
from functools import partial

from twisted.internet.defer import CancelledError, Deferred

from pollenstile.ops.loops import log_failure, run_again
from pollenstile.platform._outcome import Compacted, Unavailable
from pollenstile.platform._pages import list_all
from pollenstile.platform._pause import make_pause, paused
from pollenstile.platform._seenversions import (
    SeenVersions,
    changes_ahead,
    changes_from_listing,
    filter_new_events,
    without_ahead,
)
from pollenstile.platform._sharedreads import ReadResult
from pollenstile.platform.events import (
    WATCH_CALLBACK_FAILED,
    WATCH_LATE,
    WATCH_LISTED_AGAIN,
    WATCH_MISSED,
    WATCH_SILENT,
    WATCH_STALE,
)

# Seconds by which an answer is late before a line tells.
_LATE_SECONDS = 0.5
_MS = 1000


@dataclass(slots=True, frozen=True)
class WatchTiming:
    """Time limits and intervals of a watch, in seconds.

    Parameters
    ==========

    poll : float
        Time for which the store may hold one call.
    margin : float
        Additional time after which a watch without a response is cancelled.
    rearm : float
        Bound of the jitter between a response with changes and the next call,
        which spreads the calls of the fleet.
    list_every : float
        Mean interval of the lists that detect missed changes.
    list_within : float
        Time limit of a list.
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
        Fires with the watch after the first full list.
    seen : SeenVersions
        Versions that have been reported.
    revision : int
        Revision from which the next call watches.
    batched : function
        Returns a context manager, inside which the changes of one answer are
        reported. May be set at any time.
    revision_times : RevisionTimes or None
        Revisions that other reads have shown. May be set at any time.
    """

    __slots__ = (
        'batched',
        'callback',
        'clock',
        'delivering',
        'failures',
        'kind',
        'list_at',
        'log',
        'prefix',
        'random',
        'ready',
        'revision',
        'revision_times',
        'running',
        'seen',
        'store',
        'task',
        'timing',
    )

    def __init__(self, store, kind, prefix, callback):
        self.store = store
        self.kind = kind
        self.prefix = prefix
        self.callback = callback
        self.batched = nullcontext
        self.seen = SeenVersions()
        self.revision = None
        self.revision_times = None
        self.list_at = 0.0
        self.failures = 0
        self.delivering = False
        self.ready = Deferred()
        self.running = True
        self.task = None

    def read_now(self, store, seconds):
        """List the objects beside the watch; return a :class:`ReadResult`.

        Explanation
        ===========

        What a watch has reported may be late, also while all other calls are
        answered. Afterwards, all objects have been reported that were written
        before this call, and are still there. The watch goes on from where it
        was, so that it misses no change.

        Parameters
        ==========

        store : Store
            Store to list; that of the watch may be another host's answers.
        seconds : float
            Time limit.

        """
        return _read_ahead(self, store, seconds)

    def stop(self):
        """Stop the watch; the callback is not called any more."""
        self.running = False
        if not self.delivering:
            self.task.cancel()


def watch(store, kind, callback, clock, random, log, prefix='', timing=None):
    """Start a watch on a kind of objects.

    Explanation
    ===========

    The watch lists the objects once, then waits for changes after the list's
    revision, and runs until it is stopped. If that revision is compacted, it
    lists again. In an outage it retries with full jitter. A call without a
    response within its time and a margin is cancelled and sent again. Periodic
    lists detect changes that the store's watch has silently missed. After an
    error of the program, which is logged, it lists again.

    Parameters
    ==========

    store : Store
        Store to watch.
    kind, prefix : str
        Kind of the objects and prefix of their names.
    callback : function
        Takes a ``Change``. Its version is always newer than any before of that
        name. Each object that exists at the start is reported as a change.
    clock : twisted.internet.interfaces.IReactorTime
        Clock of all time limits and intervals.
    random : random.Random
        Source of the jitter.
    log : function
        Takes an event and its fields.
    timing : WatchTiming or None
        Time limits and intervals; the defaults when ``None``.

    Returns
    =======

    Watch
        Running watch; its ``stop`` method ends it.
    """
    state = Watch(store, kind, prefix, callback)
    state.clock = clock
    state.random = random
    state.log = log
    state.timing = timing or WatchTiming()
    loop = f'watch of {kind}'
    state.task = Deferred.fromCoroutine(
        run_again(clock, log, loop, partial(_run, state))
    )
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
    # A watch that an error has ended may fail again on what it would be told.
    state.list_at = 0.0
    while state.running:
        now = state.clock.seconds()
        if state.revision is None or now >= state.list_at:
            succeeded = await _list(state)
        else:
            succeeded = await _poll(state)
        if succeeded:
            state.failures = 0
            continue
        await pause(state.failures)
        state.failures += 1


async def _read_ahead(state, store, seconds):
    if state.revision is None:
        return ReadResult.UNPROVEN
    call = Deferred.fromCoroutine(list_all(store, state.kind, state.prefix))
    listing = await call.addTimeout(
        seconds, state.clock, onTimeoutCancel=_no_listing
    )
    if listing is None:
        return ReadResult.UNPROVEN
    if isinstance(listing, Unavailable):
        return ReadResult.REFUSED
    changes = changes_ahead(state.seen, listing)
    if changes is None:
        return ReadResult.UNPROVEN
    _deliver(state, changes)
    return ReadResult.CURRENT


def _no_listing(*_):
    """Return what stands for a list that was not received in time."""


async def _list(state):
    timing = state.timing
    call = Deferred.fromCoroutine(
        list_all(state.store, state.kind, state.prefix),
    )
    listing = await _with_timeout(state, call, timing.list_within, 'list')
    if isinstance(listing, Unavailable):
        return False
    now = state.clock.seconds()
    state.list_at = now + timing.list_every * state.random.uniform(0.5, 1.5)
    changes = changes_from_listing(state.seen, listing)
    if changes is None:
        _log(state, WATCH_STALE, revision=listing.revision)
        return False
    seen_revision = state.revision or 0
    missed = [change for change in changes if change.version <= seen_revision]
    if missed:
        _log(state, WATCH_MISSED, missed=len(missed))
    state.revision = max(seen_revision, listing.revision)
    _deliver(state, changes)
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
    # If a middlebox has dropped the state of the connection, the response never
    # arrives. The store holds the call for `seconds` at most, so after the
    # margin none is expected any more. Cancelling aborts the connection, and
    # the next call opens a new one.
    outcome = await _with_timeout(state, call, seconds + timing.margin, 'watch')
    if isinstance(outcome, Unavailable):
        return False
    if isinstance(outcome, Compacted):
        _log(state, WATCH_LISTED_AGAIN, revision=outcome.revision)
        state.revision = None
        await _jitter(state)
        return True
    _note_lateness(state, outcome.revision)
    if outcome.events:
        return await _apply_changes(state, outcome)
    state.revision = max(state.revision, outcome.revision)
    # A store that reports no changes without holding the call would be polled
    # in a tight loop. It counts as a failure, so that the next call waits.
    return state.clock.seconds() - started >= seconds / 2


def _note_lateness(state, revision):
    if state.revision_times is None:
        return
    late = state.revision_times.note_watched(state.kind, revision)
    if late >= _LATE_SECONDS:
        _log(state, WATCH_LATE, revision=revision, late_ms=int(late * _MS))


async def _apply_changes(state, outcome):
    events = without_ahead(state.seen, outcome.events)
    changes = filter_new_events(state.seen, events)
    if outcome.revision < state.revision or len(changes) < len(events):
        _log(state, WATCH_STALE, revision=outcome.revision)
    state.revision = max(state.revision, outcome.revision)
    _deliver(state, changes)
    await _jitter(state)
    return bool(changes) or not events


def _jitter(state):
    return paused(state.clock, state.random.uniform(0, state.timing.rearm))


def _with_timeout(state, call, seconds, step):
    def expired(_failure, _seconds):
        _log(state, WATCH_SILENT, step=step)
        return Unavailable(step, 'object API', 'no answer')

    return call.addTimeout(seconds, state.clock, onTimeoutCancel=expired)


def _deliver(state, changes):
    state.delivering = True
    try:
        _report(state, changes)
    except Exception as error:
        # What follows a batch has failed; the changes are applied.
        log_failure(state.log, f'watch of {state.kind}', error)
    if not state.ready.called:
        state.ready.callback(state)
    state.delivering = False


def _report(state, changes):
    with state.batched():
        for change in changes:
            if state.running:
                _invoke_callback(state, change)


def _invoke_callback(state, change):
    try:
        state.callback(change)
    except Exception as error:
        # A change that makes the callback fail must not end the watch: the
        # host would silently keep running on an outdated state.
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
