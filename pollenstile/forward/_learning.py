"""Updates of an upstream's statistics from the outcomes of attempts."""

from pollenstile.conditions import parse_load

# Weight of the newest attempt in the smoothed figures.
_SMOOTHING_FACTOR = 0.15
# Back-off of an upstream after a failed handshake, doubled up to the maximum.
_MIN_BACKOFF_SECONDS = 0.3
_MAX_BACKOFF_SECONDS = 4.0
# Seconds for which a silent upstream gets no new requests while others answer.
_SILENT_SECONDS = 5.0
# The same for an upstream whose bytes were no answer.
_NO_PROGRESS_SECONDS = 5.0


def learn_success(view, seconds):
    """Record an answer that began after the given number of seconds."""
    view.failures -= _SMOOTHING_FACTOR * view.failures
    view.backoff_count = 0
    view.unreached_since = 0.0
    view.no_progress_until = 0.0
    if view.seconds:
        view.seconds += _SMOOTHING_FACTOR * (seconds - view.seconds)
    else:
        view.seconds = seconds


def learn_failure(view):
    """Record an attempt that failed because of the upstream."""
    view.failures += _SMOOTHING_FACTOR * (1 - view.failures)


def learn_silence(view, since, now):
    """Record an attempt at which the upstream has been silent since a time.

    Explanation
    ===========

    The upstream itself counts as silent only if it has sent nothing on any
    other connection either.
    """
    if view.heard_at <= since:
        view.silent_since = since
        view.silent_until = now + _SILENT_SECONDS


def learn_no_progress(view, now):
    """Record an upstream that sent bytes which are no answer.

    Explanation
    ===========

    It may do so with all its answers, or with few of them, so its next good
    answer ends this.
    """
    view.no_progress_until = now + _NO_PROGRESS_SECONDS


def learn_unavailable(view, now, *, arrived=True):
    """Back off from an upstream that was unreachable or full.

    Explanation
    ===========

    A crashed upstream resets or drops connections until the registry removes
    it, three heartbeats later. Without the back-off each further request would
    lose the time of a handshake.

    Parameters
    ==========

    arrived : bool
        Whether it was reached.
    """
    if arrived:
        view.unreached_since = 0.0
    elif not view.unreached_since:
        view.unreached_since = now
    backoff = min(
        _MAX_BACKOFF_SECONDS, _MIN_BACKOFF_SECONDS * 2**view.backoff_count
    )
    view.backoff_count = min(view.backoff_count + 1, 10)
    view.backoff_until = now + backoff


def end_backoff(views, address):
    """End the back-off of the upstream at an address that peers reach."""
    for view in views:
        if view.address != address:
            continue
        view.backoff_until = 0.0
        view.backoff_count = 0
        view.unreached_since = 0.0


def _ignore_report(text, report):
    """Ignore a report; the default of ``on_report``."""


def learn_load(view, text, now, on_report=_ignore_report):
    """Record the load in an answer's header: running, waiting, slots, slowdown.

    Parameters
    ==========

    on_report : function
        Called with the text and its :class:`LoadReport`, or None if the text
        is not readable.

    Examples
    ========

    >>> from pollenstile.forward import UpstreamView
    >>> view = UpstreamView('i', 'a:1', 'd')
    >>> learn_load(view, '3,0,8', 5.0)
    >>> view.running, view.slots, view.load_at
    (3, 8, 5.0)
    >>> learn_load(view, 'nonsense', 6.0)
    >>> view.load_at
    5.0
    """
    report = parse_load(text)
    on_report(text, report)
    if report is None:
        return
    view.running = report.running
    view.queued = report.queued
    view.slots = max(1, report.slots)
    view.load_at = now
    view.in_flight_at_report = view.in_flight
    if report.slowdown is not None:
        view.slowdown = report.slowdown
        view.slowdown_at = now
