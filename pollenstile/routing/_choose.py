"""Selection of an upstream for one call."""

from dataclasses import dataclass

from pollenstile.routing._affinity import affinity
from pollenstile.routing._ejection import is_panic

# A call to another domain costs a round trip between domains. The penalty is in
# calls per slot: another domain is chosen when its upstream is less busy than
# those of the host's own domain by more than this.
_CROSS_DOMAIN_PENALTY = 0.25
# Calls per slot from which the upstream that has a prefix cached is no longer
# preferred: waiting in its queue costs more than reading the prompt again.
_MAX_AFFINITY_LOAD = 0.9
# Bonus for a cached prefix, in calls per slot.
_AFFINITY_BONUS = 0.25
# Half-life in seconds of the weight of a load report.
_REPORT_HALF_LIFE = 2.0


@dataclass(slots=True, frozen=True)
class Choice:
    """A selected upstream and the reasons for the choice.

    Parameters
    ==========

    name : str
        The upstream.
    upstream : Upstream
        The declared upstream.
    busyness : float
        Estimated calls per slot.
    candidates : int
        Number of eligible upstreams.
    preferred : bool
        Whether it is the preferred upstream of the prompt's prefix.
    """

    name: str
    upstream: object
    busyness: float
    candidates: int
    preferred: bool = False


def busyness(upstream, state, now=0.0):
    """Return the estimated calls per slot of an upstream.

    Explanation
    ===========

    A load report is outdated when it arrives. So this host's calls are
    subtracted from the report, and its present calls in flight are added; they
    are also the lower bound of the result. The remainder, calls of other hosts,
    decays with the age of the report: without the decay, an old report could
    keep an upstream idle for good that was busy once.
    """
    if state.load is None:
        return state.in_flight / upstream.slots
    reported = state.load.running + state.load.queued
    others = max(0, reported - state.own_at_report)
    age = max(0, now - state.reported)
    decayed = others * 0.5 ** (age / _REPORT_HALF_LIFE)
    return (decayed + state.in_flight) / upstream.slots


@dataclass(slots=True, frozen=True)
class Hints:
    """Criteria of one call for the selection of an upstream.

    Parameters
    ==========

    slowness : function or None
        Returns how many times slower than expected an upstream is.
    is_over : function or None
        Returns whether one more call would exceed an upstream's limit.
    key : int
        Affinity key of the prompt's prefix; 0 when there is none.
    holds : function or None
        Returns whether an upstream serves the call's model.
    """

    slowness: object = None
    is_over: object = None
    key: int = 0
    holds: object = None


_NO_HINTS = Hints()


def candidates_of(pool, tracker, excluded=(), holds=None):
    """Return the upstreams that are eligible for a call, with their states.

    Explanation
    ===========

    Leaving upstreams are never eligible. Ejected ones are when too many are
    ejected at once; see :func:`is_panic`.
    """
    now = tracker.clock.seconds()
    members = []
    ejected = set()
    for name, upstream in pool.upstreams.items():
        state = tracker.state(name)
        if state.leaving:
            continue
        members.append((name, upstream, state))
        if state.ejected_until > now:
            ejected.add(name)
    ineligible = set(excluded)
    if not is_panic(len(members), len(ejected)):
        ineligible |= ejected
    if holds is not None:
        ineligible.update(name for name, _, _ in members if not holds(name))
    return [member for member in members if member[0] not in ineligible]


def choose_upstream(pool, tracker, domain, rng, excluded=(), hints=_NO_HINTS):
    """Return the upstream that a call should be sent to.

    Parameters
    ==========

    pool : Pool
        The declared pool.
    tracker : Tracker
        State of its upstreams.
    domain : str
        Failure domain of this host.
    rng : random.Random
        Breaks ties.
    excluded : collection of str
        Upstreams that this request was sent to before.
    hints : Hints
        Further criteria.

    Returns
    =======

    Choice or None
        None when no upstream is eligible.
    """
    now = tracker.clock.seconds()
    candidates = candidates_of(pool, tracker, excluded, hints.holds)
    preferred = _preferred(candidates, domain, hints.key)
    best = None
    best_order = None
    for candidate in candidates:
        busy = busyness(candidate[1], candidate[2], now)
        score = _score(busy, candidate, domain, hints)
        if candidate[0] == preferred and busy < _MAX_AFFINITY_LOAD:
            score -= _AFFINITY_BONUS
        order = (score, rng.random())
        if best_order is None or order < best_order:
            best = (candidate[0], candidate[1], busy)
            best_order = order
    if best is None:
        return None
    return Choice(*best, len(candidates), best[0] == preferred)


def _score(busy, candidate, domain, hints):
    """Return the estimated time of a call, in expected call times."""
    name, upstream, state = candidate
    score = busy
    if upstream.domain != domain:
        score += _CROSS_DOMAIN_PENALTY
    if hints.is_over is not None:
        score += hints.is_over(name, upstream.slots, state.in_flight)
    slow = hints.slowness(name) if hints.slowness is not None else 1.0
    return score + slow * max(1.0, busy + 1 / upstream.slots)


def _preferred(candidates, domain, key):
    if not key:
        return ''
    own = [
        name for name, upstream, _ in candidates if upstream.domain == domain
    ]
    names = own or [name for name, _, _ in candidates]
    return max(names, key=lambda name: affinity(key, name), default='')
