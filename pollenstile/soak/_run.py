"""One randomised run."""

from dataclasses import dataclass

from twisted.internet.defer import Deferred

from pollenstile.ops.logs import silent_log
from pollenstile.soak import events
from pollenstile.soak._callers import Ask, send
from pollenstile.soak._checks import check_all
from pollenstile.soak._clock import advance_exactly
from pollenstile.soak._faults import FAULTS, heal_all, leave_upstream
from pollenstile.soak._records import LEAVING_SECONDS
from pollenstile.soak._world import World

_SETTLE_SECONDS = 2.0
_DRAIN_SECONDS = 20.0
_CALM_SECONDS = 1.5
_LONGEST_STEP = 0.05
_ASK_SHARE = 0.75
_FAULT_SHARE = 0.1
_KEYED_SHARE = 0.7
_TWIN_SHARE = 0.1
_NAMES = ('draft', 'answer', 'find', 'book', 'order')


@dataclass(slots=True, frozen=True)
class SoakResult:
    """What a run came to.

    Parameters
    ==========

    seed : int
        Gives the same run again.
    digest : str
        Of the whole trace.
    events : int
        Lines of the trace.
    outcomes : dict
        Tag to how many exchanges ended so.
    violations : tuple of str
        Empty when every invariant held.
    tail : tuple of str
        Last lines of the trace up to the first violation.
    """

    seed: int
    digest: str
    events: int
    outcomes: dict
    violations: tuple
    tail: tuple


def run_soak(seed, steps, log=silent_log):
    """Run hosts, upstreams and callers under random faults.

    Parameters
    ==========

    seed : int
        Of everything that is random.
    steps : int
        How many times something happens.
    log : function
        Writes events.

    Returns
    =======

    SoakResult
    """
    world = World(seed, log)
    Deferred.fromCoroutine(world.apply())
    advance_exactly(world.clock, _SETTLE_SECONDS)
    for _ in range(steps):
        _step(world)
        advance_exactly(world.clock, world.rng.uniform(0, _LONGEST_STEP))
        if world.records.violations:
            break
    _drain(world)
    if not world.records.violations:
        _leave_calmly(world)
    _drain(world)
    check_all(world)
    result = _result(world, seed)
    _end_processes(world)
    return result


def _end_processes(world):
    # What is left of a world is collected during the next one's run.
    for host in world.hosts.values():
        host.process.kill()


def _drain(world):
    # Faults that were on their way when the first ended begin meanwhile.
    for _ in range(2):
        heal_all(world)
        advance_exactly(world.clock, _DRAIN_SECONDS)


def _leave_calmly(world):
    # No request goes out meanwhile, so that no reply can tell the hosts.
    world.records.calm = True
    leave_upstream(world)
    advance_exactly(world.clock, LEAVING_SECONDS)
    ends = world.clock.seconds() + _CALM_SECONDS
    while world.clock.seconds() < ends:
        _ask(world)
        advance_exactly(world.clock, world.rng.uniform(0, _LONGEST_STEP))
    world.records.calm = False


def _step(world):
    chance = world.rng.random()
    if chance < _FAULT_SHARE:
        world.rng.choice(FAULTS)(world)
        return
    if chance < _FAULT_SHARE + _ASK_SHARE:
        _ask(world)


def _ask(world):
    ask = _new_ask(world)
    world.asks.append(ask)
    send(world, ask, world.rng.choice(world.living()))
    if ask.key and world.chance(_TWIN_SHARE):
        # The caller's own client repeats at once, at any host.
        send(world, ask, world.rng.choice(world.living()))


def _new_ask(world):
    number = len(world.asks) + 1
    key = f'key-{number}' if world.chance(_KEYED_SHARE) else ''
    return Ask(number, world.rng.choice(_NAMES), key)


def _result(world, seed):
    outcomes = {}
    for exchange in world.exchanges():
        tag = exchange.outcomes[0].tag if exchange.outcomes else 'none'
        outcomes[tag] = outcomes.get(tag, 0) + 1
    violations = tuple(str(one) for one in world.records.violations)
    if not violations:
        world.records.log(events.SOAK_PASSED, seed=seed)
    return SoakResult(
        seed,
        world.trace.digest(),
        world.trace.lines,
        outcomes,
        violations,
        world.trace.marked,
    )
