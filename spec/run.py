"""Checks the specification and prints the verdict.

Explanation
===========

For each of the three parts: the invariants are proved inductive and to imply
the properties, without a bound on the number of steps; the properties are also
searched for counterexamples up to a depth from the first state, without the
invariants; some states that ought to be reached are; and for each guard the
same part without it must break its property, with the run printed. Seeds are
fixed and no time-out decides.
"""

import sys
import time

import z3

from spec import claims, configuration, lease
from spec.claims_state import Sizes
from spec.model import always, bounded, unproved, violated

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
    """What is asked about one part of the protocol.

    Parameters
    ==========

    title : str
        For the report.
    build : function
        Takes the guard to leave out, empty for none; returns the model that
        is searched.
    wide : Model
        The model whose invariants are proved.
    size : str
        Of both, for the report.
    guards : dict
        The property that each guard is for.
    depth : int
        Steps searched for counterexamples of the whole part.
    reached : dict
        States that must be found, by what they show.
    small : Model or None
        Where they are looked for; as ``build('')`` when None.
    """

    __slots__ = (
        'build',
        'depth',
        'guards',
        'reached',
        'size',
        'small',
        'title',
        'wide',
    )

    def __init__(
        self, title, build, wide, size, guards, depth, reached, small=None
    ):
        self.title = title
        self.build = build
        self.wide = wide
        self.size = size
        self.guards = guards
        self.depth = depth
        self.reached = reached
        self.small = small or build('')


class Tally:
    """Counts of what was expected and of what came out otherwise."""

    __slots__ = ('failures', 'needed', 'proved')

    def __init__(self):
        self.proved = 0
        self.needed = 0
        self.failures = []

    def expect(self, good, text):
        """Print a line of the verdict and keep it if it is a failure."""
        print(f'  {"ok  " if good else "FAIL"} {text}')
        if not good:
            self.failures.append(text)
        return good


_DEEPEST = 18

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
                claims.repeat_was_found(_TWO_HOSTS)
            ),
            'a repeat runs after a refusal and a release': (
                claims.repeat_ran_after_release(_TWO_HOSTS)
            ),
            'LIMIT: a host that has not read the log may refuse a repeat': (
                claims.repeat_may_be_refused(_TWO_HOSTS)
            ),
            'LIMIT: a forwarded claim may land after its release': (
                claims.claim_landed_after_release(_TWO_HOSTS)
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
            'LIMIT: a restarted host may first take an older version': (
                configuration.stale_after_restart(_HOSTS)
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
            'a paused holder is about to order under an old number': (
                lease.old_number_sent(_HOSTS)
            ),
        },
    ),
)


def _check_properties(part, tally):
    gaps = unproved(part.wide)
    for gap in gaps:
        print(f'       not proved: {gap}')
    proved = tally.expect(
        not gaps,
        f'{len(part.wide.invariants)} invariants are inductive over '
        f'{len(part.wide.actions)} actions, for any number of steps',
    )
    model = part.build('')
    found = bounded(model, _any_violated(model), part.depth)
    _print_run(found)
    searched = tally.expect(
        found is None,
        f'no counterexample within {part.depth} steps from the first state',
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


def _check_reached(part, tally):
    model = part.small
    for name, wanted in part.reached.items():
        found = bounded(model, wanted, _DEEPEST)
        steps = '' if found is None else f' ({len(found)} steps)'
        tally.expect(found is not None, f'reached: {name}{steps}')
        _print_run(found)


def _check_guards(part, tally):
    for guard, name in part.guards.items():
        model = part.build(guard)
        found = bounded(model, violated(model, name), _DEEPEST)
        if tally.expect(found is not None, f'without {guard}: "{name}" fails'):
            tally.needed += 1
        _print_run(found)


def _both_correct(state):
    return z3.And([lease.corrects(state, host, 0) for host in _HOSTS])


def _check_correction(tally):
    model = lease.lease_model(2, 4)
    tally.expect(
        always(model, _both_correct),
        'one read-back and order put a wrong engine right, by either host',
    )


def main():
    """Check all parts; return the exit code."""
    tally = Tally()
    for part in PARTS:
        started = time.monotonic()
        print(f'{part.title} ({part.size})')
        _check_properties(part, tally)
        _check_reached(part, tally)
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
