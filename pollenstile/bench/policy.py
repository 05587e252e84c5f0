"""``pollenstile bench policy``: the policy under load, compared to baselines.

Explanation
===========

Six entry hosts, each with its own view of the upstreams, serve both example
deployments in virtual time with fixed seeds. Refused callers retry at most
twice, if Retry-After allows it within their deadline. A load of one capacity is
the rate at which the busiest pool has no free slot on average.
"""

import json
import time
from dataclasses import asdict
from pathlib import Path

from pollenstile.bench.policies import POLICIES
from pollenstile.bench.policyrun import SCENARIOS, Run
from pollenstile.manifest import manifest_from_text
from pollenstile.ops.exits import GOOD

_MIN_COST_SHARE = 0.005
_CLASSES = ('urgent', 'normal', 'batch')


def add_parser(benches):
    """Add ``bench policy``."""
    parser = benches.add_parser(
        'policy',
        help='admission, routing and hedging compared to baselines, simulated',
    )
    parser.add_argument(
        'manifests',
        nargs='*',
        default=['examples/kowalczyk.yaml', 'examples/liwanag.yaml'],
        help='manifests of the example deployments',
    )
    parser.add_argument('--seconds', type=float, default=8.0)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--policy', help='only this policy')
    parser.add_argument('--scenario', help='only this scenario')
    parser.add_argument('--output', help='file for the results in JSON')
    parser.set_defaults(run=run)


def run(arguments):
    """Run the benchmark, print a table, and return the exit code."""
    started = time.process_time()
    results = []
    for path in arguments.manifests:
        manifest = manifest_from_text(Path(path).read_text())
        print(f'\n{manifest.name}')
        print(_header())
        results.extend(_deployment_results(manifest, arguments))
    took = time.process_time() - started
    print(f'\n{took:.0f} s of processor time')
    if arguments.output:
        document = [asdict(result) for result in results]
        Path(arguments.output).write_text(json.dumps(document, indent=1))
    return GOOD


def _deployment_results(manifest, arguments):
    results = []
    for scenario in SCENARIOS:
        if arguments.scenario not in {None, scenario.name}:
            continue
        for policy in POLICIES:
            if arguments.policy not in {None, policy.name}:
                continue
            policy_run = Run(
                manifest,
                policy,
                scenario,
                arguments.seconds,
                arguments.seed,
            )
            result = policy_run.result()
            print(_row(result), flush=True)
            results.append(result)
    return results


def _header():
    return (
        f'{"load":10} {"policy":13} {"urgent":>7} {"normal":>7} {"batch":>7} '
        f'{"small":>7} {"good/s":>7} {"work/s":>7} {"wasted":>7} '
        f'{"refused":>8} {"latest":>7}  cost by pool'
    )


def _row(result):
    classes = [f'{result.attainment.get(name, 1):7.3f}' for name in _CLASSES]
    total = sum(result.cost.values()) or 1
    costs = []
    for name, cost in sorted(result.cost.items(), key=lambda pair: -pair[1]):
        if cost > _MIN_COST_SHARE * total:
            costs.append(f'{name} {cost / total:.0%}')
    broken = f'  BROKEN {result.broken}' if result.broken else ''
    return (
        f'{result.scenario:10} {result.policy:13} {" ".join(classes)} '
        f'{result.small:7.3f} {result.goodput:7.1f} {result.work:7.1f} '
        f'{result.wasted:7.1%} {result.refusals:8} '
        f'{result.slowest_refusal:7.2f}  {", ".join(costs)}{broken}'
    )
