"""The choice of an upstream for one call."""

from dataclasses import dataclass

# A call to another domain costs a round trip between domains; the choice
# crosses over when the own domain is this much busier, in calls per slot.
_CROSSING = 0.5


@dataclass(slots=True, frozen=True)
class Choice:
    """An upstream and why it was taken.

    Parameters
    ==========

    name : str
        The upstream.
    upstream : Upstream
        As declared.
    busyness : float
        Estimated calls per slot.
    candidates : int
        How many could have been taken.
    """

    name: str
    upstream: object
    busyness: float
    candidates: int


def busyness(upstream, state):
    """Return estimated calls per slot of an upstream.

    Explanation
    ===========

    A load report is old when it arrives. Own calls sent since then are added
    to it, and own calls in flight are the least there can be.
    """
    reported = 0
    if state.load is not None:
        reported = state.load.running + state.load.queued + state.sent_since
    return max(reported, state.in_flight) / upstream.slots


def chosen(pool, tracker, domain, rng, excluded=()):
    """Return the upstream that a call should go to.

    Parameters
    ==========

    pool : Pool
        The declared pool.
    tracker : Tracker
        What is known of its upstreams.
    domain : str
        The host's own failure domain.
    rng : random.Random
        Breaks ties.
    excluded : collection of str
        Upstreams that this request has tried already.

    Returns
    =======

    Choice or None
        None when no upstream may take the call.
    """
    now = tracker.clock.seconds()
    best = None
    best_score = None
    candidates = 0
    for name, upstream in pool.upstreams.items():
        state = tracker.state(name)
        if name in excluded or state.leaving or state.barred_until > now:
            continue
        candidates += 1
        away = 0 if upstream.domain == domain else _CROSSING
        busy = busyness(upstream, state)
        score = (busy + away, rng.random())
        if best_score is None or score < best_score:
            best = (name, upstream, busy)
            best_score = score
    if best is None:
        return None
    return Choice(*best, candidates)
