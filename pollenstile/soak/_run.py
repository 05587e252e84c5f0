"""One randomised run in virtual time."""

import random
from dataclasses import dataclass

from twisted.internet.defer import Deferred

from pollenstile.ops.logs import silent_log
from pollenstile.soak import events
from pollenstile.soak._callers import CallerRequest, send
from pollenstile.soak._checks import check_all
from pollenstile.soak._clock import advance_exactly
from pollenstile.soak._endless import schedule_endless
from pollenstile.soak._faults import (
    FAULTS,
    heal_all,
    leave_upstream,
    schedule_returns,
)
from pollenstile.soak._graces import schedule_graces
from pollenstile.soak._manifest import DRAFT_ATTEMPTS
from pollenstile.soak._records import LEAVING_GRACE_SECONDS
from pollenstile.soak._silences import SOUND_FAULTS, schedule_silences
from pollenstile.soak._world import World

_SETTLE_SECONDS = 2.0
_DRAIN_SECONDS = 20.0
_CALM_SECONDS = 1.5
_MAX_STEP_SECONDS = 0.05
_REQUEST_SHARE = 0.75
_FAULT_SHARE = 0.1
_KEYED_SHARE = 0.7
_DUPLICATE_SHARE = 0.1
_PIPELINES = ('draft', 'answer', 'find', 'book', 'order')


@dataclass(slots=True, frozen=True)
class SoakResult:
    """Result of a run.

    Parameters
    ==========

    seed : int
        Seed of the run; the same seed reproduces it.
    digest : str
        Digest of the complete trace.
    events : int
        Number of lines of the trace.
    outcomes : dict
        Number of exchanges by the tag of their outcome.
    violations : tuple of str
        Violated invariants; empty when every invariant held.
    tail : tuple of str
        Last lines of the trace up to the first violation.
    """

    seed: int
    digest: str
    events: int
    outcomes: dict
    violations: tuple
    tail: tuple


def run_soak(
    seed,
    steps,
    log=silent_log,
    *,
    returns=False,
    silences=False,
    graces=False,
    endless=False,
):
    """Run hosts, upstreams and callers under random faults.

    Parameters
    ==========

    seed : int
        Seed of the only random generator.
    steps : int
        Number of steps; each may send a request or inject a fault.
    log : function
        Log function for events.
    returns : bool
        Whether the store comes back from older copies of itself.
    silences : bool
        Whether upstreams stand still and go on where they were. Then nothing
        else befalls them, so that no answer may be cut off.
    graces : bool
        Whether hosts stop while requests may outlast their grace.
    endless : bool
        Whether engines send without end what brings nothing.

    Returns
    =======

    SoakResult
    """
    # An attempt that no other can follow is to be waited for as well.
    world = World(seed, log, 1 if silences else DRAFT_ATTEMPTS)
    seconds = _MAX_STEP_SECONDS * steps
    if returns:
        schedule_returns(world, random.Random(seed), seconds)
    if silences:
        world.records.sound = True
        schedule_silences(world, random.Random(seed), seconds)
    if graces:
        schedule_graces(world, random.Random(seed), seconds)
    if endless:
        schedule_endless(world, random.Random(seed), seconds)
    faults = SOUND_FAULTS if silences or graces or endless else FAULTS
    Deferred.fromCoroutine(world.apply_configuration())
    advance_exactly(world.clock, _SETTLE_SECONDS)
    for _ in range(steps):
        _step(world, faults)
        advance_exactly(world.clock, world.rng.uniform(0, _MAX_STEP_SECONDS))
        if world.records.violations:
            break
    _finish_open_work(world)
    if not world.records.violations:
        _leave_without_faults(world)
    _finish_open_work(world)
    check_all(world)
    result = _result(world, seed)
    _end_processes(world)
    return result


def _end_processes(world):
    # The garbage collector frees this world during the next run; its
    # processes must not do anything then.
    for host in world.hosts.values():
        host.process.kill()


def _finish_open_work(world):
    # Faults that were already scheduled may begin after the first pass.
    for _ in range(2):
        heal_all(world)
        advance_exactly(world.clock, _DRAIN_SECONDS)


def _leave_without_faults(world):
    # No request is sent meanwhile, so no reply can report to the hosts that
    # the upstream is leaving.
    world.records.calm = True
    leave_upstream(world)
    advance_exactly(world.clock, LEAVING_GRACE_SECONDS)
    end = world.clock.seconds() + _CALM_SECONDS
    while world.clock.seconds() < end:
        _send_new(world)
        advance_exactly(world.clock, world.rng.uniform(0, _MAX_STEP_SECONDS))
    world.records.calm = False


def _step(world, faults):
    chance = world.rng.random()
    if chance < _FAULT_SHARE:
        world.rng.choice(faults)(world)
        return
    if chance < _FAULT_SHARE + _REQUEST_SHARE:
        _send_new(world)


def _send_new(world):
    caller_request = _new_request(world)
    world.caller_requests.append(caller_request)
    send(world, caller_request, world.rng.choice(world.balancer_targets()))
    if caller_request.key and world.chance(_DUPLICATE_SHARE):
        # The caller's client library sends a duplicate at once, to any host.
        send(world, caller_request, world.rng.choice(world.balancer_targets()))


def _new_request(world):
    number = len(world.caller_requests) + 1
    key = f'key-{number}' if world.chance(_KEYED_SHARE) else ''
    return CallerRequest(number, world.rng.choice(_PIPELINES), key)


def _result(world, seed):
    outcomes = {}
    for exchange in world.exchanges():
        tag = exchange.outcomes[0].tag if exchange.outcomes else 'none'
        outcomes[tag] = outcomes.get(tag, 0) + 1
    violations = tuple(str(violation) for violation in world.records.violations)
    if not violations:
        world.records.log(events.SOAK_PASSED, seed=seed)
    return SoakResult(
        seed,
        world.trace.digest(),
        world.trace.lines,
        outcomes,
        violations,
        world.trace.marked_tail,
    )
