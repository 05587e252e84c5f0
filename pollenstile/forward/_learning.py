"""What the ends of attempts tell about an upstream."""

# Share of the newest attempt in the smoothed figures.
_NEWEST = 0.15
# Seconds that an upstream rests after a failed handshake, and at most.
_FIRST_REST = 0.3
_LONGEST_REST = 4.0


def learn_success(view, seconds):
    """Note that an attempt's answer began after some seconds."""
    view.failures -= _NEWEST * view.failures
    view.strikes = 0
    if view.seconds:
        view.seconds += _NEWEST * (seconds - view.seconds)
    else:
        view.seconds = seconds


def learn_failure(view):
    """Note that an attempt failed by the upstream's doing."""
    view.failures += _NEWEST * (1 - view.failures)


def learn_unreached(view, now):
    """Note that no connection was made, or that the upstream is full.

    Explanation
    ===========

    A crashed upstream resets or swallows connections until the registry drops
    it, three heartbeats later. Each further request would lose a handshake's
    time.
    """
    rest = min(_LONGEST_REST, _FIRST_REST * 2**view.strikes)
    view.strikes = min(view.strikes + 1, 10)
    view.rest_until = now + rest


def learn_load(view, text, now):
    """Take the load that an answer states: running, waiting, slots.

    Examples
    ========

    >>> from pollenstile.forward import EngineView
    >>> view = EngineView('i', 'a:1', 'd')
    >>> learn_load(view, '3,0,8', 5.0)
    >>> view.running, view.slots, view.load_at
    (3, 8, 5.0)
    >>> learn_load(view, 'nonsense', 6.0)
    >>> view.load_at
    5.0
    """
    parts = text.split(',')
    if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
        return
    running, queued, slots = (int(part) for part in parts)
    view.running = running
    view.queued = queued
    view.slots = max(1, slots)
    view.load_at = now
    view.load_flying = view.in_flight
