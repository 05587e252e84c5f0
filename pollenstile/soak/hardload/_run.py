"""One randomised hard-load run in virtual time."""

from pollenstile.ops.logs import silent_log
from pollenstile.soak import events
from pollenstile.soak._run import SoakResult
from pollenstile.soak.hardload._checks import check_all
from pollenstile.soak.hardload._faults import FAULTS, heal_all
from pollenstile.soak.hardload._world import HardLoadWorld

# Callers a second: about 1.3 times what the stage upstreams can serve.
_RATE = 32.0
_FAULTS_PER_SECOND = 3.0
# Seconds after the last fault in which every open request must end.
_DRAIN_SECONDS = 12.0


def run_hard_load(seed, seconds, log=silent_log):
    """Run hosts over uneven engines and a full stage under random faults.

    Parameters
    ==========

    seed : int
        Seed of the only random generator.
    seconds : float
        Virtual seconds in which callers come and faults occur.
    log : function
        Log function for events.

    Returns
    =======

    SoakResult
    """
    world = HardLoadWorld(seed, log)
    world.schedule_randomly(_RATE, seconds, world.start_caller)
    world.schedule_randomly(
        _FAULTS_PER_SECOND, seconds, lambda: world.rng.choice(FAULTS)(world)
    )
    world.advance(seconds)
    heal_all(world)
    world.advance(_DRAIN_SECONDS)
    check_all(world)
    return _result(world, seed)


def _result(world, seed):
    outcomes = dict(world.counts, **world.upstreams.fetches)
    for answer in world.answers:
        tag = _tag(answer)
        outcomes[tag] = outcomes.get(tag, 0) + 1
    for host in world.fleet.running():
        kept = host.daemon.parts.owners.kept_promises()
        outcomes['kept promises'] = outcomes.get('kept promises', 0) + kept
        for reason, count in host.core.part_sources.named.items():
            name = f'source {reason}'
            outcomes[name] = outcomes.get(name, 0) + count
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


def _tag(answer):
    if answer.end == 'whole':
        return 'answered'
    if answer.end == 'refused':
        return f'refused {answer.status}'
    return answer.end or 'none'
