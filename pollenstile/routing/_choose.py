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


@dataclass(slots=True, frozen=True)
class Hints:
    """What one call and this host's limits say of upstreams.

    Parameters
    ==========

    slowness : function or None
        Returns how many times slower than usual an upstream is.
    is_over : function or None
        Returns whether one more call would pass an upstream's own limit.
    key : int
        Of the prompt's prefix; 0 when there is none.
    holds : function or None
        Returns whether an upstream takes work for the call's model.
    """

    slowness: object = None
    is_over: object = None
    key: int = 0
    holds: object = None


_NO_HINTS = Hints()


def candidates_of(pool, tracker, excluded=(), holds=None):
    """Return upstreams that may take a call, with their states.

    Explanation
    ===========

    Leaving upstreams never may. Those kept out after failures may when too
    many are out at once; see :func:`is_panic`.
    """
    now = tracker.clock.seconds()
    members = []
    barred = set()
    for name, upstream in pool.upstreams.items():
        state = tracker.state(name)
        if state.leaving:
            continue
        members.append((name, upstream, state))
        if state.ejected_until > now:
            barred.add(name)
    out = set(excluded)
    if not is_panic(len(members), len(barred)):
        out |= barred
    if holds is not None:
        out.update(name for name, _, _ in members if not holds(name))
    return [member for member in members if member[0] not in out]


def choose_upstream(pool, tracker, domain, rng, excluded=(), hints=_NO_HINTS):
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
    hints : Hints
        What is known besides.

    Returns
    =======

    Choice or None
        None when no upstream may take the call.
    """
    now = tracker.clock.seconds()
    found = candidates_of(pool, tracker, excluded, hints.holds)
    preferred = _preferred(found, domain, hints.key)
    best = None
    best_order = None
    for candidate in found:
        busy = busyness(candidate[1], candidate[2], now)
        score = _score(busy, candidate, domain, hints)
        if candidate[0] == preferred and busy < _AFFINITY_BOUND:
            score -= _AFFINITY_WORTH
        order = (score, rng.random())
        if best_order is None or order < best_order:
            best = (candidate[0], candidate[1], busy)
            best_order = order
    if best is None:
        return None
    return Choice(*best, len(found), best[0] == preferred)


def _score(busy, candidate, domain, hints):
    """Return the estimated time of a call, in usual times."""
    name, upstream, state = candidate
    score = busy
    if upstream.domain != domain:
        score += _CROSSING
    if hints.is_over is not None:
        score += hints.is_over(name, upstream.slots, state.in_flight)
    slow = hints.slowness(name) if hints.slowness is not None else 1.0
    return score + slow * max(1.0, busy + 1 / upstream.slots)


def _preferred(found, domain, key):
    if not key:
        return ''
    own = [name for name, upstream, _ in found if upstream.domain == domain]
    names = own or [name for name, _, _ in found]
    return max(names, key=lambda name: affinity(key, name), default='')
