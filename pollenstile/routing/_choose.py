"""The choice of an upstream for one call."""

from dataclasses import dataclass

from pollenstile.routing._affinity import affinity
from pollenstile.routing._ejection import is_panic

# A call to another domain costs a round trip between domains; the choice
# crosses over when the own domain is this much busier, in calls per slot.
_CROSSING = 0.25
# Busier than this, in calls per slot, the preferred upstream of a prefix is
# not waited for: a queue costs more than reading the prompt again.
_AFFINITY_BOUND = 0.9
# A cached prefix is worth as much as this, in calls per slot.
_AFFINITY_WORTH = 0.25
# A report is believed half as much after so many seconds.
_REPORT_FADING = 2.0


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
    preferred : bool
        Whether it is the one that a prompt's prefix belongs to.
    """

    name: str
    upstream: object
    busyness: float
    candidates: int
    preferred: bool = False


def busyness(upstream, state, now=0.0):
    """Return estimated calls per slot of an upstream.

    Explanation
    ===========

    A load report is old when it arrives. Own calls sent since then are added
    to it, own calls that ended are taken off, and own calls in flight are
    the least there can be. An old report says little of other hosts' calls:
    believed for good, it would keep an upstream idle that once was busy.
    """
    if state.load is None:
        return state.in_flight / upstream.slots
    reported = state.load.running + state.load.queued
    others = max(0, reported - state.own_at_report)
    age = max(0, now - state.reported)
    faded = others * 0.5 ** (age / _REPORT_FADING)
    return (faded + state.in_flight) / upstream.slots


def candidates_of(pool, tracker, excluded=()):
    """Return upstreams that may take a call, with their states.

    Explanation
    ===========

    Leaving upstreams never may. Those kept out after failures may when too
    many are out at once; see :func:`is_panic`.
    """
    now = tracker.clock.seconds()
    members = []
    barred = 0
    for name, upstream in pool.upstreams.items():
        state = tracker.state(name)
        if state.leaving:
            continue
        members.append((name, upstream, state))
        barred += state.barred_until > now
    panic = is_panic(len(members), barred)
    found = []
    for name, upstream, state in members:
        if name in excluded:
            continue
        if state.barred_until > now and not panic:
            continue
        found.append((name, upstream, state))
    return found


def chosen(pool, tracker, domain, rng, excluded=(), *, slowness=None, key=0):
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
    slowness : function or None
        Returns how many times slower than usual an upstream is.
    key : int
        Of the prompt's prefix; 0 when there is none.

    Returns
    =======

    Choice or None
        None when no upstream may take the call.
    """
    now = tracker.clock.seconds()
    found = candidates_of(pool, tracker, excluded)
    preferred = _preferred(found, domain, key)
    best = None
    best_score = None
    for name, upstream, state in found:
        busy = busyness(upstream, state, now)
        slow = slowness(name) if slowness is not None else 1.0
        score = _score(busy, slow, upstream, domain)
        if name == preferred and busy < _AFFINITY_BOUND:
            score -= _AFFINITY_WORTH
        order = (score, rng.random())
        if best_score is None or order < best_score:
            best = (name, upstream, busy)
            best_score = order
    if best is None:
        return None
    return Choice(*best, len(found), best[0] == preferred)


def _score(busy, slow, upstream, domain):
    """Return the estimated time of a call, in usual times."""
    waiting = max(0.0, busy + 1 / upstream.slots - 1)
    away = 0 if upstream.domain == domain else _CROSSING
    return (1 + waiting) * slow + busy + away


def _preferred(found, domain, key):
    if not key:
        return ''
    own = [name for name, upstream, _ in found if upstream.domain == domain]
    names = own or [name for name, _, _ in found]
    return max(names, key=lambda name: affinity(key, name), default='')
