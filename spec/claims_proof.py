"""What holds of the claims log, and why; see :mod:`spec.claims`."""

import itertools

import z3

from spec.claims_steps import idle, is_next, listed, written
from spec.model import all_of, any_of


def _log_invariants(sizes):
    pairs = list(itertools.combinations(sizes.appends, 2))
    spots = list(itertools.product(sizes.places, sizes.appends))
    return {
        'one object at a position': lambda state: all_of(
            z3.Not(z3.And(state.at(place, one), state.at(place, two)))
            for place in sizes.places
            for one, two in pairs
        ),
        'an object stands where its append put it': lambda state: all_of(
            z3.Implies(
                state.at(place, append),
                z3.And(
                    state.place(append, place),
                    state.used(append),
                    z3.Not(state.flying(append)),
                ),
            )
            for place, append in spots
        ),
        'an append has one position, taken when it is used': lambda state: (
            all_of(
                z3.Implies(
                    state.place(append, place),
                    z3.And(
                        state.used(append),
                        *(
                            z3.Not(state.place(append, other))
                            for other in sizes.places
                            if other != place
                        ),
                    ),
                )
                for place, append in spots
            )
        ),
        'nothing is left of an append that is not used': lambda state: all_of(
            z3.Or(
                state.used(append),
                z3.Not(
                    z3.Or(
                        state.flying(append),
                        state.granted(append),
                        *(state.pending(host, append) for host in sizes.hosts),
                        *(state.batch(append, key) for key in sizes.keys),
                        *(state.owner(append, host) for host in sizes.hosts),
                    )
                ),
            )
            for append in sizes.appends
        ),
        'positions before an append are written and share no key': (
            lambda state: all_of(
                z3.Implies(
                    state.place(append, place),
                    z3.And(
                        written(state, sizes, earlier),
                        *(
                            z3.Not(
                                z3.And(
                                    state.batch(append, key),
                                    listed(state, sizes, earlier, key),
                                )
                            )
                            for key in sizes.keys
                        ),
                    ),
                )
                for place, append in spots
                for earlier in range(place)
            )
        ),
    }


def _host_invariants(sizes):
    pairs = list(itertools.product(sizes.hosts, sizes.keys))
    own = list(itertools.product(sizes.hosts, sizes.appends))
    return {
        'a host has read a written prefix': lambda state: all_of(
            z3.Implies(
                state.known(host, place),
                z3.And(
                    written(state, sizes, place),
                    *(state.known(host, other) for other in range(place)),
                ),
            )
            for host in sizes.hosts
            for place in sizes.places
        ),
        "a pending append is its own host's, and not granted": (
            lambda state: all_of(
                z3.Implies(
                    state.pending(host, append),
                    z3.And(
                        state.owner(append, host),
                        z3.Not(state.granted(append)),
                        *(
                            z3.Not(state.pending(host, other))
                            for other in sizes.appends
                            if other != append
                        ),
                    ),
                )
                for host, append in own
            )
        ),
        'a pending append is at the first position not read': (
            lambda state: all_of(
                z3.Implies(
                    z3.And(
                        state.pending(host, append),
                        state.place(append, place),
                    ),
                    is_next(state, host, place),
                )
                for host, append in own
                for place in sizes.places
            )
        ),
        'an append has one owner': lambda state: all_of(
            z3.Not(z3.And(state.owner(append, one), state.owner(append, two)))
            for append in sizes.appends
            for one, two in itertools.combinations(sizes.hosts, 2)
        ),
        'a batched key is in the pending append': lambda state: all_of(
            z3.Implies(
                state.batched(host, key),
                any_of(
                    z3.And(
                        state.pending(host, append),
                        state.batch(append, key),
                    )
                    for append in sizes.appends
                ),
            )
            for host, key in pairs
        ),
        'a request is at one point': lambda state: all_of(
            z3.AtMost(
                state.waiting(host, key),
                state.batched(host, key),
                state.claimed(host, key),
                1,
            )
            for host, key in pairs
        ),
        'what was told not run is over': lambda state: all_of(
            z3.Implies(state.told(host, key), idle(state, host, key))
            for host, key in pairs
        ),
    }


def _run_invariants(sizes):
    def taken(state, key):
        return any_of(
            z3.And(
                state.granted(append),
                state.batch(append, key),
                any_of(state.at(place, append) for place in sizes.places),
            )
            for append in sizes.appends
        )

    return {
        'what ran or may run has a granted claim in the log': lambda state: (
            all_of(
                z3.Implies(
                    z3.Or(
                        state.ran(key),
                        *(state.claimed(host, key) for host in sizes.hosts),
                    ),
                    taken(state, key),
                )
                for key in sizes.keys
            )
        ),
        'one host may run a key, and only before it ran': lambda state: all_of(
            z3.AtMost(
                state.ran(key),
                *(state.claimed(host, key) for host in sizes.hosts),
                1,
            )
            for key in sizes.keys
        ),
    }


def properties(sizes):
    """Return what must hold in each state."""
    return {
        'one run for each key': lambda state: all_of(
            z3.Not(state.twice(key)) for key in sizes.keys
        ),
        'not run means not run': lambda state: all_of(
            z3.Not(state.lied(host, key))
            for host in sizes.hosts
            for key in sizes.keys
        ),
    }


def invariants(sizes):
    """Return what holds in each state and proves the properties."""
    return {
        **_log_invariants(sizes),
        **_host_invariants(sizes),
        **_run_invariants(sizes),
    }
