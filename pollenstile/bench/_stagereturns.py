"""Simulate callers of a full stage that return once, at the advised time.

Explanation
===========

Routes of three urgencies share one stage service, so that its queue promises
return times. A caller returns under another attempt's name with the same key
and with its remaining time, as soon as a network latency after the advice ends.
"""

from collections import Counter
from dataclasses import dataclass

from pollenstile.bench._stagehosts import HostFleet
from pollenstile.bench._stageworld import (
    Arrival,
    StageFleet,
    make_random,
    stage_limits,
    stage_route,
    start_request,
)
from pollenstile.stagework import full_seconds

_SERVICE = 'encode'
_WORKERS = 4
_LIMITS = stage_limits(8, 240, 25, 100)
_STEPS = ((_SERVICE, (), 10_000),)
# Routes whose target latency grows with each step of urgency.
_ROUTES = (
    stage_route('chat', 1.2, 0, _STEPS),
    stage_route('draft', 1.7, 1, _STEPS),
    stage_route('digest', 2.4, 2, _STEPS),
)
_COUNTS = (1, 2, 2, 3, 4)
# Seconds for which a caller waits for its answer, returns included.
_PATIENCE_SECONDS = 15.0
_READ_SECONDS = 0.2
# Bounds of the seconds between an answer's end at the host and the arrival of
# the caller's next attempt, without the advised time.
_LATENCY_SECONDS = (0.002, 0.05)
# Seconds at the start during which the queue fills, which are not counted.
_WARM_UP_SECONDS = 8.0
# Jitter in seconds that a host adds to advice that is not promised.
_JITTER_SECONDS = 0.3
# Seconds after an attempt's start at which its refusal is looked at.
_NOTICE_SECONDS = 0.1
# One-way latency between two hosts, in seconds.
_HOP_SECONDS = 0.0015


@dataclass(slots=True)
class Caller:
    """One caller and its attempts.

    Attributes
    ==========

    ident : str
        Name of its first attempt, and its key.
    route : Route
        Route of its request.
    count : int
        Pieces of its request.
    first, second : SimulatedRequest or None
        Its attempts; the second is None unless it has returned.
    """

    ident: str
    route: object
    count: int
    first: object = None
    second: object = None

    def was_promised(self):
        """Return whether it has returned at a promised time."""
        return self.second is not None and self.first.promised


def simulate_lost_owner(load, seconds=24.0, seed=1, hosts=5):
    """Run the callers over hosts; the owner of the queue loses power halfway.

    Explanation
    ===========

    All callers use the other hosts, so that none loses its own host.

    Returns
    =======

    tuple
        The callers, and the time on the clock at which the owner is lost.
    """
    fleet = HostFleet({_SERVICE: _LIMITS}, hosts, _HOP_SECONDS, _WORKERS)
    fleet.promises = True
    lost_at = fleet.clock.seconds() + seconds / 2
    fleet.lose_owner(_SERVICE, seconds / 2)
    lost = fleet.owner_of(_SERVICE)
    clients = [host.client for host in fleet.hosts if host is not lost]
    return _simulate(fleet, clients, load, seconds, seed), lost_at


def simulate_returns(load, seconds=40.0, seed=1, *, promises=True):
    """Return the callers of a stage at a multiple of its capacity.

    Parameters
    ==========

    load : float
        Multiple of the capacity in pieces, without the returns.
    seconds : float
        Virtual time of first arrivals.
    promises : bool
        Whether the queue promises return times.
    """
    fleet = StageFleet({_SERVICE: _LIMITS}, _WORKERS, promises=promises)
    return _simulate(fleet, [fleet.client()], load, seconds, seed)


def _simulate(fleet, clients, load, seconds, seed):
    rng = make_random(seed)
    pieces = _WORKERS * _LIMITS.batch / full_seconds(_LIMITS)
    rate = load * pieces * len(_COUNTS) / sum(_COUNTS)
    callers = []
    arrives_at = rng.expovariate(rate)
    while arrives_at < seconds:
        fleet.clock.callLater(arrives_at, _arrive, fleet, clients, rng, callers)
        arrives_at += rng.expovariate(rate)
    fleet.advance(seconds + _PATIENCE_SECONDS)
    return callers


def summarize_returns(callers, seconds=40.0):
    """Return the statistics of the callers that have returned.

    Returns
    =======

    dict
        Numbers of callers, of those that returned at a promised time and of
        those that returned otherwise; shares of both that were served; and the
        highest number of promised returns in a second as a multiple of the
        mean.
    """
    promised = [caller.second for caller in callers if caller.was_promised()]
    others = [
        caller.second
        for caller in callers
        if caller.second is not None and not caller.first.promised
    ]
    steady = [
        request.arrived_at
        for request in promised
        if _WARM_UP_SECONDS <= request.arrived_at < seconds
    ]
    by_second = Counter(int(arrived_at) for arrived_at in steady)
    mean = len(steady) / (seconds - _WARM_UP_SECONDS)
    return {
        'callers': len(callers),
        'promised': len(promised),
        'promised_served': _served_share(promised),
        'others': len(others),
        'others_served': _served_share(others),
        'peak': round(max(by_second.values(), default=0) / (mean or 1), 3),
    }


def _served_share(requests):
    served = sum(request.stage_seconds is not None for request in requests)
    return round(served / max(1, len(requests)), 3)


def _arrive(fleet, clients, rng, callers):
    caller = Caller(
        f'r{len(callers)}', rng.choice(_ROUTES), rng.choice(_COUNTS)
    )
    callers.append(caller)
    client = rng.choice(clients)
    caller.first = _start(
        fleet, client, caller, caller.ident, _PATIENCE_SECONDS
    )
    fleet.clock.callLater(
        _NOTICE_SECONDS, _return_later, fleet, clients, rng, caller
    )


def _return_later(fleet, clients, rng, caller):
    """Let a caller that was refused at once return at the advised time."""
    first = caller.first
    if first.refused != 'busy':
        return
    advice = first.retry_after
    if not first.promised:
        advice += rng.uniform(0, _JITTER_SECONDS)
    elapsed = (
        first.refused_after + round(advice, 2) + rng.uniform(*_LATENCY_SECONDS)
    )
    pause = first.arrived_at + elapsed - fleet.clock.seconds()
    fleet.clock.callLater(
        max(0, pause), _return, fleet, rng.choice(clients), caller, elapsed
    )


def _return(fleet, client, caller, elapsed):
    caller.second = _start(
        fleet,
        client,
        caller,
        f'{caller.ident}-again',
        _PATIENCE_SECONDS - elapsed,
    )


def _start(fleet, client, caller, ident, deadline):
    ends = fleet.clock.seconds() + deadline
    arrival = Arrival(ident, caller.route, (caller.count,), ends)
    arrival.stage_key = caller.ident
    return start_request(fleet, client, arrival, _READ_SECONDS)
