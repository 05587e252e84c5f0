"""Choice of an upstream for a request, without I/O."""

from collections import deque
from dataclasses import dataclass, field

from pollenstile.ops.rendezvous import rendezvous_weight

# Seconds by which one request in an engine's batch delays another one. At 20 ms
# the requests of a subject left their engine for one that was less full, and
# its shared part was read again: 0.009 of the worth of five days with trouble.
_CROWD_SECONDS = 0.004
# Times its own reading time, beside other requests, that a shared part costs at
# another engine than its home: it is paid for, and delays the answers of all
# that run there.
_REREAD_FACTOR = 3.0
# Seconds that a request waits for each one that waits at the engine.
_QUEUE_SECONDS = 0.3
# Seconds for another failure domain: two more trips, and what crosses is paid.
_FAR_SECONDS = 0.004
# Seconds of a first token that a byte between failure domains is worth: 10 ms a
# megabyte. Draft requests hold 5 to 7 MB of results and little that an engine
# has read before; 100 of 115 went to an engine of another domain.
_FAR_BYTE_SECONDS = 1e-8
# A report of load older than this says nothing; one's own calls do.
_LOAD_SECONDS = 2.0
# Share of failures above the siblings' median from which an upstream counts as
# sick. Services answer some requests with errors of their own on every
# upstream (14% of one sort of lookups), so no fixed share would do.
_SICK_ABOVE = 0.25


@dataclass(slots=True)
class UpstreamView:
    """What this host knows of one upstream.

    Attributes
    ==========

    born : int
        Of its incarnation; see :class:`~pollenstile.forward.Upstream`.
    flying : int
        Own requests at it.
    flying_tokens : int
        Tokens of own prompts that it has not answered yet.
    running, queued, slots : int
        As it said last, with the time of that and the own requests then.
    failures : float
        Smoothed share of requests that failed there.
    seconds : float
        Smoothed time until its answers begin; 0 when unknown.
    rest_until : float
        Not used before, while there are others.
    cold_until : float
        On the clock: it bears few requests a second before; 0 when its last
        word was that it is warm.
    cold_sends : deque of float
        On the clock: own sends to it of late, while it was cold.
    """

    ident: str
    address: str
    domain: str
    slots: int = 1
    born: int = 0
    in_flight: int = 0
    flying_tokens: int = 0
    running: int = 0
    queued: int = 0
    load_at: float = -1000.0
    load_flying: int = 0
    failures: float = 0.0
    seconds: float = 0.0
    rest_until: float = 0.0
    strikes: int = 0
    cold_until: float = 0.0
    cold_sends: deque = field(default_factory=deque)


def load_of(view, now):
    """Return requests that run or wait at an upstream, as far as is known.

    Examples
    ========

    >>> from pollenstile.forward import EngineView
    >>> view = EngineView('i', 'a:1', 'd', flying=2)
    >>> load_of(view, 0)
    2
    >>> view.running, view.load_at, view.load_flying = 9, 0, 1
    >>> load_of(view, 1)
    10
    """
    if now - view.load_at > _LOAD_SECONDS:
        return view.in_flight
    told = view.running + view.queued
    return max(view.in_flight, told + view.in_flight - view.load_flying)


def usable(views, now, tried=()):
    """Return the upstreams to choose from, sick ones only if there are none.

    Explanation
    ===========

    When most of them rest or fail, the cause lies elsewhere, and leaving all
    of them out would serve nobody: then all are used.
    """
    fresh = [view for view in views if view.ident not in tried]
    shares = sorted(view.failures for view in fresh)
    usual = shares[len(shares) // 2] if shares else 0
    sound = [
        view
        for view in fresh
        if view.rest_until <= now and view.failures < usual + _SICK_ABOVE
    ]
    if len(sound) * 2 >= len(fresh):
        return sound
    awake = [view for view in fresh if view.rest_until <= now]
    return awake or fresh


def subject_of(prompt):
    """Return the last part that requests share, or the empty string.

    Examples
    ========

    >>> subject_of((('head', 500), ('unit', 4000), ('own', 60)))
    'unit'
    >>> subject_of((('own', 60),))
    ''
    """
    return prompt[-2][0] if len(prompt) > 1 else ''


def select_plain_upstream(views, now, domain, rng):
    """Return the upstream of a plain service that answers soonest, or None.

    Parameters
    ==========

    views : list of EngineView
        Usable.
    domain : str
        The own one.
    """
    if not views:
        return None
    times = sorted(view.seconds for view in views if view.seconds)
    usual = times[len(times) // 2] if times else 0.05

    def cost(view):
        seconds = view.seconds or usual
        crowd = load_of(view, now) / max(1, view.slots)
        far = _FAR_SECONDS if view.domain != domain else 0
        trouble = 1 + 4 * view.failures
        return seconds * (1 + crowd) * trouble + far, rng.random()

    return min(views, key=cost)


def own_tokens(prompt):
    """Return the tokens that no other request shares.

    Examples
    ========

    >>> own_tokens((('unit', 4000), ('own', 5500)))
    5500
    """
    return prompt[-1][1] if prompt else 0


def home_engine(views, subject):
    """Return the engine at which requests about a subject meet.

    Explanation
    ===========

    By rendezvous hashing: the same at every host, and an engine that comes or
    goes moves only its own subjects.
    """

    def weight(view):
        return rendezvous_weight(subject, view.ident)

    return max(views, key=weight)


def select_engine(views, now, domain, rng, prompt, token_seconds, inputs=None):
    """Return the model engine whose first token comes soonest, or None.

    Explanation
    ===========

    A subject has a home engine by rendezvous over all engines, the same at
    every host, so its shared part is read once. Another engine is taken when
    the home is more crowded than reading that part again costs.

    Parameters
    ==========

    prompt : tuple
        Identifier and tokens of each part, in order.
    token_seconds : float
        By which one more token to read delays an answer.
    inputs : dict or None
        Bytes of the request's stage results by failure domain. What lies in
        another one than the engine crosses, and is paid for.
    """
    if not views:
        return None
    subject = subject_of(prompt)
    home = home_engine(views, subject)
    shared = prompt[-2][1] if subject else 0
    own = own_tokens(prompt)
    inputs = inputs or {}
    total = sum(inputs.values())

    def cost(view):
        seconds = (own + view.flying_tokens) * token_seconds
        if subject and view is not home:
            seconds += _REREAD_FACTOR * shared * token_seconds
        seconds += _crowd_seconds(view, now) + view.failures
        if view.domain != domain:
            seconds += _FAR_SECONDS
        crossing = total - inputs.get(view.domain, 0)
        seconds += _FAR_BYTE_SECONDS * crossing
        return seconds, rng.random()

    return min(views, key=cost)


def _crowd_seconds(view, now):
    """Return seconds that an engine's other requests cost a new one."""
    load = load_of(view, now)
    waiting = view.queued if now - view.load_at < _LOAD_SECONDS else 0
    beyond = max(0, load - view.slots + 1)
    return _CROWD_SECONDS * load + _QUEUE_SECONDS * (waiting + beyond)
