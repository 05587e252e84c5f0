"""Check the specification and print the result.

Explanation
===========

Each of the three parts is checked in four ways:

- the invariants are proved to be inductive and to imply the properties, without
  a bound on the number of steps;
- counterexamples to the properties are searched for up to a depth from the
  initial state, without the invariants;
- some states that must be reachable are searched for;
- without any one of its guards, the part must violate the property of this
  guard; the run that does so is printed.

Seeds are fixed, and no result depends on a time-out.
"""

import sys
import time

import z3

from spec import claims, configuration, lease
from spec.claims_state import Sizes
from spec.model import always, find_run, unproved_obligations, violated

# Owner and key of each request.
_ONE_HOST = Sizes(1, 3, 3, [(0, 0), (0, 0)])
_TWO_HOSTS = Sizes(2, 2, 3, [(0, 0), (1, 0)])
_LONG_LOG = Sizes(2, 3, 3, [(0, 0), (1, 0)])
_SEARCHED = Sizes(2, 2, 3, [(0, 0), (1, 0), (0, 0)])
_PROVED = Sizes(3, 3, 4, [(0, 0), (1, 0), (2, 0), (0, 1)])
_SHARDS = {
    '': _SEARCHED,
    'release-only-what-has-not-run': _ONE_HOST,
    'release-only-by-the-owner': _LONG_LOG,
}
_HOSTS = range(2)


class Part:
    """Checks of one part of the protocol.

    Parameters
    ==========

    title : str
        Title in the report.
    build : function
        Takes the guard to leave out, empty for none; returns the model to
        search.
    proof_model : Model
        Model whose invariants are proved.
    size : str
        Sizes of both models, for the report.
    guards : dict
        Property that each guard protects.
    depth : int
        Maximum number of steps of counterexamples to the full part.
    reachable : dict
        Predicates of states that must be reachable, by description.
    reach_model : Model or None
        Model in which these states are searched for; ``build('')`` if None.
    """

    __slots__ = (
        'build',
        'depth',
        'guards',
        'proof_model',
        'reach_model',
        'reachable',
        'size',
        'title',
    )

    def __init__(
        self,
        title,
        build,
        proof_model,
        size,
        guards,
        depth,
        reachable,
        reach_model=None,
    ):
        self.title = title
        self.build = build
        self.proof_model = proof_model
        self.size = size
        self.guards = guards
        self.depth = depth
        self.reachable = reachable
        self.reach_model = reach_model or build('')


class Tally:
    """Counts of proved properties and needed guards, and the failures."""

    __slots__ = ('failures', 'needed', 'proved')

    def __init__(self):
        self.proved = 0
        self.needed = 0
        self.failures = []

    def expect(self, passed, text):
        """Print the result of a check and record a failure."""
        print(f'  {"ok  " if passed else "FAIL"} {text}')
        if not passed:
            self.failures.append(text)
        return passed


_MAX_SEARCH_STEPS = 18

PARTS = (
    Part(
        'claims log',
        lambda without: claims.claims_model(
            _SHARDS.get(without, _TWO_HOSTS),
            without,
        ),
        claims.claims_model(_PROVED),
        'proof: 3 hosts, 4 requests, 3 positions, 4 appends; search: 2, 3, 2, 3',
        claims.GUARDS,
        14,
        {
            'a repeat finds that its key ran elsewhere': (
                claims.repeat_finds_earlier_run(_TWO_HOSTS)
            ),
            'a repeat runs after a refusal and a release': (
                claims.repeat_ran_after_release(_TWO_HOSTS)
            ),
            'LIMIT: a host that has not read the log may refuse a repeat': (
                claims.repeat_may_be_refused(_TWO_HOSTS)
            ),
            'LIMIT: a forwarded claim may be written after its release': (
                claims.claim_written_after_release(_TWO_HOSTS)
            ),
        },
        claims.claims_model(_TWO_HOSTS),
    ),
    Part(
        'configuration versions',
        lambda without: configuration.configuration_model(3, 2, without),
        configuration.configuration_model(4, 3),
        'proof: 4 appliers, 3 hosts; search: 3, 2; versions unbounded',
        configuration.GUARDS,
        7,
        {
            'LIMIT: a restarted host may first apply an older version': (
                configuration.older_version_after_restart(_HOSTS)
            ),
        },
    ),
    Part(
        'lease, fencing and orders',
        lambda without: lease.lease_model(2, 4, without),
        lease.lease_model(3, 4),
        'proof: 3 hosts, 4 orders; search: 2, 4; time and numbers unbounded',
        lease.GUARDS,
        8,
        {
            'a paused holder may send an order under an old number': (
                lease.may_order_under_old_number(_HOSTS)
            ),
        },
    ),
)


def _check_properties(part, tally):
    gaps = unproved_obligations(part.proof_model)
    for gap in gaps:
        print(f'       not proved: {gap}')
    proved = tally.expect(
        not gaps,
        f'{len(part.proof_model.invariants)} invariants are inductive over '
        f'{len(part.proof_model.actions)} actions, for any number of steps',
    )
    model = part.build('')
    found = find_run(model, _any_violated(model), part.depth)
    _print_run(found)
    searched = tally.expect(
        found is None,
        f'no counterexample within {part.depth} steps from the initial state',
    )
    for name in model.properties:
        if proved and searched:
            tally.proved += 1
        print(f'       property: {name}')


def _any_violated(model):
    return lambda state: z3.Not(
        z3.And([holds(state) for holds in model.properties.values()]),
    )


def _print_run(labels):
    for number, label in enumerate(labels or (), start=1):
        print(f'         {number:2d}. {label}')


def _check_reachable(part, tally):
    model = part.reach_model
    for name, goal in part.reachable.items():
        found = find_run(model, goal, _MAX_SEARCH_STEPS)
        steps = '' if found is None else f' ({len(found)} steps)'
        tally.expect(found is not None, f'reached: {name}{steps}')
        _print_run(found)


def _check_guards(part, tally):
    for guard, name in part.guards.items():
        model = part.build(guard)
        found = find_run(model, violated(model, name), _MAX_SEARCH_STEPS)
        if tally.expect(found is not None, f'without {guard}: "{name}" fails'):
            tally.needed += 1
        _print_run(found)


def _corrections_succeed(state):
    return z3.And(
        [lease.correction_succeeds(state, host, 0) for host in _HOSTS]
    )


def _check_correction(tally):
    model = lease.lease_model(2, 4)
    tally.expect(
        always(model, _corrections_succeed),
        'either host corrects an engine by one read-back and one order',
    )


def main():
    """Check all parts; return the exit code."""
    tally = Tally()
    for part in PARTS:
        started = time.monotonic()
        print(f'{part.title} ({part.size})')
        _check_properties(part, tally)
        _check_reachable(part, tally)
        _check_guards(part, tally)
        took = time.monotonic() - started
        print(f'  -- {part.title}: {took:.1f} s', flush=True)
    _check_correction(tally)
    for failure in tally.failures:
        print(f'FAILED: {failure}')
    print(f'spec: {tally.proved} properties hold, {tally.needed} guards needed')
    return 1 if tally.failures else 0


if __name__ == '__main__':
    sys.exit(main())
