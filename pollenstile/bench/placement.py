"""``pollenstile bench placement``: re-placement rules under changing demand.

Explanation
===========

The benchmark simulates one failure domain in virtual time: engines with memory
for one model each, callers whose demand shifts between models, and the
production placer of an entry host. All rules get the same arrivals. The
benchmark counts swaps (model loads after the start), the engine seconds spent
on loads, and the share of calls answered within their deadline.
"""

import random
from dataclasses import dataclass

from pollenstile.bench._placementworld import World
from pollenstile.bench._sticky import (
    idle_only,
    sticky_placement,
    when_pressed,
)
from pollenstile.ops.exits import GOOD
from pollenstile.placement import always_allow, compute_placement

_PERCENT = 100


@dataclass(slots=True, frozen=True)
class Rule:
    """One rule of re-placement.

    Parameters
    ==========

    plan_for : function
        Computes a placement; same arguments as ``compute_placement``.
    may_drain : function
        Returns whether a drain may begin.
    may_replan : function
        Returns whether demand may cause a new plan.
    """

    plan_for: object
    may_drain: object = always_allow
    may_replan: object = always_allow


def _unchanged(engines, sizes, demand, held):
    """Return the models that the engines hold, as the placement."""
    return {name: tuple(held.get(name, ())) for name in engines}


def _rules(gain):
    sticky = sticky_placement(gain)
    return {
        'fixed': Rule(_unchanged),
        'plain': Rule(compute_placement),
        'idle-gated': Rule(compute_placement, idle_only),
        'sticky': Rule(sticky),
        'sticky, idle-gated': Rule(sticky, idle_only),
        'pressed': Rule(compute_placement, always_allow, when_pressed(1.0)),
        'pressed, sticky': Rule(sticky, always_allow, when_pressed(1.0)),
    }


def _shifting(second, models, seed):
    """Return shares whose peak moves to the next model every ten minutes."""
    position = second / 600
    first = int(position) % len(models)
    progress = position - int(position)
    shares = dict.fromkeys(models, 1.0)
    shares[models[first]] += 6 * (1 - progress)
    shares[models[(first + 1) % len(models)]] += 6 * progress
    return shares


def _noisy(second, models, seed):
    """Return shares around 1 that change by up to half every 30 seconds."""
    rng = random.Random(f'{seed}/{int(second / 30)}')
    return {model: rng.uniform(0.5, 1.5) for model in models}


def _bursty(second, models, seed):
    """Return equal shares, one of them fourfold in every fourth minute."""
    minute = int(second / 60)
    shares = dict.fromkeys(models, 1.0)
    if minute % 4 == 3:
        rng = random.Random(f'{seed}/{minute}')
        shares[rng.choice(models)] = 4.0
    return shares


PATTERNS = {'shifting': _shifting, 'noisy': _noisy, 'bursty': _bursty}


def add_parser(benches):
    """Add ``bench placement``."""
    parser = benches.add_parser(
        'placement',
        help='plain re-placement compared to sticky and idle-gated',
    )
    parser.add_argument('--seconds', type=int, default=2400, help='virtual')
    parser.add_argument('--engines', type=int, default=12, help='number')
    parser.add_argument('--rate', type=float, default=33.0, help='calls/s')
    parser.add_argument('--load', type=float, default=40.0, help='seconds')
    parser.add_argument('--gain', type=float, default=1.25, help='of sticky')
    parser.add_argument('--seeds', type=int, default=3, help='runs of each')
    parser.add_argument(
        '--pattern',
        choices=tuple(PATTERNS),
        default='',
        help='only this pattern of demand',
    )
    parser.add_argument('--rule', default='', help='only this rule')
    parser.set_defaults(run=run)


def run(arguments):
    """Run the benchmark and print a line for each pattern and rule."""
    print('pattern   rule                swaps  load s  attainment %  range')
    for pattern, shares in PATTERNS.items():
        if arguments.pattern not in ('', pattern):
            continue
        for name, rule in _rules(arguments.gain).items():
            if arguments.rule not in ('', name):
                continue
            print(_line(pattern, name, _run_worlds(arguments, shares, rule)))
    return GOOD


def _with_seed(shares, seed):
    def shares_at(second, models):
        return shares(second, models, seed)

    return shares_at


def _run_worlds(arguments, shares, rule):
    """Run a world for each seed and return the worlds."""
    worlds = []
    for seed in range(1, arguments.seeds + 1):
        world = World(
            arguments.engines,
            arguments.load,
            _with_seed(shares, seed),
            seed,
        )
        world.placer.plan_for = rule.plan_for
        world.placer.may_drain = rule.may_drain
        world.placer.may_replan = rule.may_replan
        world.run(arguments.seconds, arguments.rate)
        worlds.append(world)
    return worlds


def _line(pattern, name, worlds):
    total = len(worlds)
    swaps = sum(world.swaps() for world in worlds) / total
    seconds = sum(world.load_seconds() for world in worlds) / total
    attained = [_PERCENT * world.answered / world.arrived for world in worlds]
    mean = sum(attained) / total
    return (
        f'{pattern:<9} {name:<18} {swaps:6.1f}  {seconds:6.0f}  {mean:12.2f}'
        f'  {min(attained):.2f}-{max(attained):.2f}'
    )
