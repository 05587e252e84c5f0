"""Selection of an upstream for a request, without I/O."""

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from operator import itemgetter

from pollenstile.conditions import usual_time
from pollenstile.ops.incarnations import incarnation_name
from pollenstile.ops.rendezvous import rendezvous_weight
from pollenstile.promptparts import home_engine

# Delay that each request in an engine's batch adds for the others. With 20 ms,
# requests of one subject moved to less loaded engines, which read the shared
# prompt part again; that cost 0.009 of the value served in five days with
# faults.
_LOAD_DELAY_SECONDS = 0.004
# Cost of reading a shared prompt part at an engine other than its home engine,
# as a multiple of the part's reading time in a batch with other requests: the
# extra reading is billed and delays all requests that run at that engine.
_REREAD_FACTOR = 3.0
# Wait that each request queued at an engine adds.
_QUEUE_DELAY_SECONDS = 0.3
# Cost of sending to another failure domain: two more network trips, and billed
# traffic.
_CROSS_DOMAIN_SECONDS = 0.004
# Cost of each byte that crosses between failure domains, as a delay of the
# first token: 10 ms per megabyte. Draft requests hold 5 to 7 MB of stage
# results and share little of their prompts; without this cost 100 of 115 were
# sent to an engine of another domain.
_CROSS_DOMAIN_BYTE_SECONDS = 1e-8
# Relative difference up to which costs of engines count as equal.
_NEAR_SHARE = 0.1
# Uncertainty of an engine's load, as a share of the square root of its slots:
# numbers of requests that arrive independently vary by the root.
_LOAD_SPREAD = 0.5
# Distance from the limit, in units of the uncertainty, from which it is certain
# that requests wait.
_CERTAIN_DISTANCE = 30.0
# Age above which a load report is ignored; only own requests count then.
_LOAD_REPORT_TTL_SECONDS = 2.0
# An upstream is unhealthy when its failure rate exceeds the median of the
# service's upstreams by this margin. A fixed threshold would not work: some
# requests fail on every upstream (14% of one kind of lookups).
_UNHEALTHY_MARGIN = 0.25

# Number of engines from which a service is large: its engines don't all keep
# the prompt parts in common use.
LARGE_SERVICE_ENGINES = 24

# Upstreams that a request may go to before it is proven. It takes three crashes
# to quarantine a request, so fewer candidates would spare none.
UNPROVEN_CANDIDATES = 3


@dataclass(slots=True)
class UpstreamView:
    """Observed state of one upstream, local to this host.

    Attributes
    ==========

    born : int
        Start of its incarnation; see :class:`~pollenstile.forward.Upstream`.
    software : str
        Version of its software.
    in_flight : int
        This host's requests in flight there.
    in_flight_tokens : int
        Prompt tokens of this host's unanswered requests there.
    running, queued, slots : int
        The load that it reported last.
    load_at : float
        Time of that report on the clock.
    in_flight_at_report : int
        This host's requests in flight at that time.
    slowdown : float
        How long work took on its machine by its last report that stated it, as
        a multiple of the usual time.
    slowdown_at : float
        Time of that report on the clock.
    failures : float
        Smoothed share of requests that failed there.
    seconds : float
        Smoothed time until its answers begin; 0 when unknown.
    backoff_until : float
        Time before which it is not used while there are others.
    backoff_count : int
        Number of consecutive back-offs; each one doubles the next.
    unreached_since : float
        Time of the first connection to it that failed since it last answered;
        0 if none did.
    heard_at : float
        Time at which any answer of it last brought bytes; 0 before the first.
    streams : int
        Streams of it in flight whose first event has come.
    silent_since : float or None
        Time since which it has sent nothing on any connection, if requests to
        it have met the limit on silence.
    silent_until : float
        Time until which it is passed by for that.
    no_progress_until : float
        Time until which it is passed by as its bytes were no answer; 0 after a
        good answer.
    cold_until : float
        Time until which it is cold and accepts few requests a second; 0 when
        it last reported that it is warm.
    cold_sends : deque of float
        Times of recent sends to it while it was cold.
    """

    ident: str
    address: str
    domain: str
    slots: int = 1
    born: int = 0
    software: str = ''
    in_flight: int = 0
    in_flight_tokens: int = 0
    running: int = 0
    queued: int = 0
    load_at: float = -1000.0
    in_flight_at_report: int = 0
    slowdown: float = 1.0
    slowdown_at: float = -1000.0
    failures: float = 0.0
    seconds: float = 0.0
    backoff_until: float = 0.0
    backoff_count: int = 0
    unreached_since: float = 0.0
    heard_at: float = 0.0
    streams: int = 0
    silent_since: float | None = None
    silent_until: float = 0.0
    no_progress_until: float = 0.0
    cold_until: float = 0.0
    cold_sends: deque = field(default_factory=deque)

    @property
    def incarnation(self):
        """Return the unique name of its process lifetime."""
        return incarnation_name(self.ident, self.born)


def current_load(view, now):
    """Return the estimated number of requests that run or wait at an upstream.

    Examples
    ========

    >>> from pollenstile.forward import UpstreamView
    >>> view = UpstreamView('i', 'a:1', 'd', in_flight=2)
    >>> current_load(view, 0)
    2
    >>> view.running, view.load_at, view.in_flight_at_report = 9, 0, 1
    >>> current_load(view, 1)
    10
    """
    if now - view.load_at > _LOAD_REPORT_TTL_SECONDS:
        return view.in_flight
    reported = view.running + view.queued
    return max(
        view.in_flight, reported + view.in_flight - view.in_flight_at_report
    )


def is_silent(view, now):
    """Return whether an upstream has sent nothing for a while though awaited.

    Explanation
    ===========

    Nothing tells when it goes on if no request awaits it any more. So it gets
    requests again after some seconds.
    """
    return view.silent_since is not None and now < view.silent_until


def usable(views, now, tried=()):
    """Return the candidate upstreams, leaving out unhealthy ones.

    Explanation
    ===========

    When most upstreams fail or are backing off, the cause is not a single
    upstream, and excluding them would serve nobody. Then all upstreams that are
    not backing off are returned, or all if every one is backing off.

    Parameters
    ==========

    views : list of UpstreamView
        Upstreams of the service.
    now : float
        Seconds on the clock.
    tried : sequence of str
        Identifiers of upstreams to leave out.
    """
    untried = [view for view in views if view.ident not in tried]
    shares = sorted(view.failures for view in untried)
    heard_at = max((view.heard_at for view in untried), default=0.0)

    def is_passed_by(view):
        if now < view.no_progress_until:
            return True
        return is_silent(view, now) and heard_at > view.silent_since

    median_share = shares[len(shares) // 2] if shares else 0
    healthy = [
        view
        for view in untried
        if view.backoff_until <= now
        and not is_passed_by(view)
        and view.failures < median_share + _UNHEALTHY_MARGIN
    ]
    if len(healthy) * 2 >= len(untried):
        return healthy
    not_backing_off = [view for view in untried if view.backoff_until <= now]
    heard = [view for view in not_backing_off if not is_passed_by(view)]
    return heard or not_backing_off or untried


def subject_of(prompt, engines):
    """Return the identifier of the shared prompt part that decides the home.

    Explanation
    ===========

    In a large service it is the largest shared part, and the last of equal
    ones. Parts after it then go to the same engine as it does, and of parts
    before it less has to be read at several engines. With the last part, short
    prompts of one head went to all engines, each of which read the head. A few
    engines soon keep all heads, so there it is the last shared part.

    Parameters
    ==========

    prompt : tuple
        Identifier and token count of each part; the last is never shared.
    engines : int
        Number of engines of the service.

    Returns
    =======

    str
        Empty if the prompt shares nothing.

    Examples
    ========

    >>> subject_of((('head', 500), ('unit', 4000), ('own', 60)), 70)
    'unit'
    >>> subject_of((('head', 120), ('user', 80), ('own', 600)), 70)
    'head'
    >>> subject_of((('head', 120), ('user', 80), ('own', 600)), 9)
    'user'
    >>> subject_of((('own', 60),), 70)
    ''
    """
    if engines < LARGE_SERVICE_ENGINES:
        return prompt[-2][0] if len(prompt) > 1 else ''
    largest = -1
    subject = ''
    for ident, size in prompt[:-1]:
        if size < largest:
            continue
        subject = ident
        largest = size
    return subject


def home_tokens(prompt, subject):
    """Return the tokens that a prompt's home engine keeps for its subject.

    Explanation
    ===========

    These are the subject's part and the shared ones after it.

    Examples
    ========

    >>> home_tokens((('head', 500), ('unit', 4000), ('own', 60)), 'unit')
    4000
    >>> home_tokens((('head', 120), ('user', 80), ('own', 600)), 'head')
    200
    """
    tokens = 0
    for ident, size in reversed(prompt[:-1]):
        tokens += size
        if ident == subject:
            break
    return tokens


def candidates_of_unproven(views, fingerprint, subject):
    """Return the upstreams to which an unproven request may be sent.

    Explanation
    ===========

    By rendezvous hashing all hosts choose among the same few upstreams, however
    their loads and speeds compare at each host. They lie in different failure
    domains where there are as many, so that most hosts have a near one.

    Parameters
    ==========

    views : list of UpstreamView
        Candidates.
    fingerprint : str
        The request.
    subject : str
        Its :func:`subject_of`, whose home engine is among the returned ones;
        empty if it has none.
    """
    home = home_engine(views, subject) if subject and views else None

    def rank(view):
        return view is home, rendezvous_weight(fingerprint, view.ident)

    ranked = sorted(views, key=rank, reverse=True)
    first = {}
    for view in ranked:
        first.setdefault(view.domain, view)
    nearest = list(first.values())
    others = [view for view in ranked if first[view.domain] is not view]
    return (nearest + others)[:UNPROVEN_CANDIDATES]


def no_cost(view):
    """Return no additional seconds; the default of ``spread_cost``."""
    return 0.0


def no_transfer(view, tokens):
    """Return None; the default of ``transfer_seconds``."""


def select_plain_upstream(
    views, now, domain, rng, fingerprint='', spread_cost=no_cost
):
    """Return the plain upstream with the lowest expected latency, or None.

    Parameters
    ==========

    views : list of UpstreamView
        Candidates.
    now : float
        Seconds on the clock.
    domain : str
        This host's failure domain.
    rng : random.Random
        Breaks ties of requests without a fingerprint.
    fingerprint : str
        Breaks ties, so that hosts send copies of a request to the same one.
    spread_cost : function
        Returns seconds to add to the expected latency of a view.
    """
    if not views:
        return None
    times = sorted(view.seconds for view in views if view.seconds)
    median_seconds = times[len(times) // 2] if times else 0.05

    def cost(view):
        seconds = view.seconds or median_seconds
        relative_load = current_load(view, now) / max(1, view.slots)
        crossing_seconds = _CROSS_DOMAIN_SECONDS if view.domain != domain else 0
        failure_factor = 1 + 4 * view.failures
        expected = seconds * (1 + relative_load) * failure_factor
        tie = rng.random()
        if fingerprint:
            tie = rendezvous_weight(fingerprint, view.ident)
        return expected + crossing_seconds + spread_cost(view), tie

    return min(views, key=cost)


def own_tokens(prompt):
    """Return the number of prompt tokens that no other request shares.

    Examples
    ========

    >>> own_tokens((('unit', 4000), ('own', 5500)))
    5500
    """
    return prompt[-1][1] if prompt else 0


@dataclass(slots=True, frozen=True)
class EngineCosts:
    """Functions of a view that adjust its expected time.

    Parameters
    ==========

    spread_cost : function
        Returns seconds to add.
    time_factor : function
        Returns how long work takes there, as a multiple of the usual time.
    transfer_seconds : function
        Takes a number of shared tokens besides; returns the cost in seconds of
        moving them there, or None where they must be read.
    """

    spread_cost: Callable = no_cost
    time_factor: Callable = usual_time
    transfer_seconds: Callable = no_transfer


def select_engine(
    views,
    now,
    domain,
    rng,
    prompt,
    token_seconds,
    inputs=None,
    **costs,
):
    """Return the model engine with the earliest expected first token, or None.

    Explanation
    ===========

    Every host picks the same home engine for a subject, so the shared prompt
    part is read once. Another engine is chosen when the load of the home engine
    costs more than reading that part again.

    Hosts choose independently from the same reports. Where time factors are
    known, the choice among engines of nearly equal cost is random, so that not
    all hosts choose the same one.

    Parameters
    ==========

    views : list of UpstreamView
        Candidates.
    now : float
        Seconds on the clock.
    domain : str
        This host's failure domain.
    rng : random.Random
        Breaks ties.
    prompt : tuple
        Identifier and token count of each part, in order.
    token_seconds : float
        Seconds by which each further token to read delays an answer.
    inputs : dict or None
        Bytes of the request's stage results by failure domain. Bytes outside
        the engine's domain cross between domains, which is billed.
    costs : dict
        Fields of :class:`EngineCosts`.
    """
    if not views:
        return None
    terms = EngineCosts(**costs)
    subject = subject_of(prompt, len(views))
    home = home_engine(views, subject)
    shared = home_tokens(prompt, subject)
    own = own_tokens(prompt)
    inputs = inputs or {}
    total = sum(inputs.values())
    is_usual = terms.time_factor is usual_time
    load_delay = _load_delay(views, now, is_usual=is_usual)

    def cost(view):
        seconds = (own + view.in_flight_tokens) * token_seconds
        if subject and view is not home:
            reading = _REREAD_FACTOR * shared * token_seconds
            moving = terms.transfer_seconds(view, shared)
            seconds += reading if moving is None else min(reading, moving)
        seconds += load_delay(view)
        seconds = seconds * terms.time_factor(view) + view.failures
        if view.domain != domain:
            seconds += _CROSS_DOMAIN_SECONDS
        crossing_bytes = total - inputs.get(view.domain, 0)
        seconds += _CROSS_DOMAIN_BYTE_SECONDS * crossing_bytes
        return seconds + terms.spread_cost(view)

    if is_usual:
        return min(views, key=lambda view: (cost(view), rng.random()))
    weighed = [(cost(view), view) for view in views]
    return _select_near_lowest(weighed, subject, rng)


def _select_near_lowest(weighed, subject, rng):
    """Return one of the engines whose cost is nearly the lowest.

    Explanation
    ===========

    For a subject it is the one that would be its home engine if there were no
    others, so that what a slow home engine does not get is read at one other
    engine. It is a random one without a subject.

    Parameters
    ==========

    weighed : list of tuple
        Cost and view of each engine.
    subject : str
        The request's subject; empty if it has none.
    """
    limit = (1 + _NEAR_SHARE) * min(weighed, key=itemgetter(0))[0]
    near = [view for cost, view in weighed if cost <= limit]
    return home_engine(near, subject) if subject else rng.choice(near)


def _excess(load, slots):
    """Return how many requests would wait if one more were sent."""
    return max(0, load - slots + 1)


def _expected_excess(load, slots):
    """Return how many would wait on average, as the load is uncertain.

    Explanation
    ===========

    Other hosts send requests after an engine's last report. Where they all
    prefer its fast engines, these would otherwise be filled up to the last slot
    and beyond before any other one is chosen.
    """
    spread = _LOAD_SPREAD * math.sqrt(slots)
    distance = (load - slots + 1) / spread
    if distance > _CERTAIN_DISTANCE:
        return distance * spread
    return spread * math.log1p(math.exp(distance))


def _is_reported(view, now):
    """Return whether the load that an engine reported last counts."""
    return now - view.load_at <= _LOAD_REPORT_TTL_SECONDS


def _unreported_load(views, now):
    """Return the load that is assumed of engines without a recent report.

    Explanation
    ===========

    In a large service a host has recent reports of few engines only. It is the
    mean of theirs: taken for idle, the engines that nothing is known of would
    be preferred to each home engine that has reported any load.
    """
    if len(views) < LARGE_SERVICE_ENGINES:
        return 0
    loads = [
        current_load(view, now) for view in views if _is_reported(view, now)
    ]
    return sum(loads) / len(loads) if loads else 0


def _load_delay(views, now, *, is_usual):
    """Return the function that returns an engine's delay by its requests.

    Parameters
    ==========

    is_usual : bool
        Whether nothing is known of the engines' speeds.
    """
    unreported = _unreported_load(views, now)
    excess_requests = _excess if is_usual else _expected_excess

    def seconds(view):
        load = _assumed_load(view, now, unreported)
        return _load_delay_seconds(view, now, load, excess_requests)

    return seconds


def _assumed_load(view, now, unreported):
    """Return the load of an engine, or what is assumed without a report."""
    load = current_load(view, now)
    return load if _is_reported(view, now) else max(load, unreported)


def _load_delay_seconds(view, now, load, excess_requests):
    """Return the delay of a new request by the other ones at an engine.

    Parameters
    ==========

    load : float
        Requests that run or wait there.
    excess_requests : function
        Takes load and slots; returns the requests that wait.
    """
    waiting = view.queued if _is_reported(view, now) else 0
    excess = excess_requests(load, view.slots)
    return _LOAD_DELAY_SECONDS * load + _QUEUE_DELAY_SECONDS * (
        waiting + excess
    )
