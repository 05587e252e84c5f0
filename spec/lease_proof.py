"""Properties and inductive invariants of the lease; see :mod:`spec.lease`."""

import itertools

import z3

from spec.lease_steps import (
    FASTEST_RATE,
    SLOWEST_RATE,
    TERM,
    in_term,
    is_order_due,
)
from spec.logic import all_of


def properties(hosts, orders, without):
    """Return the properties that must hold in each state."""
    pairs = list(itertools.combinations(hosts, 2))
    return {
        'at most one host acts within its term': lambda state: all_of(
            z3.Not(z3.And(in_term(state, one), in_term(state, two)))
            for one, two in pairs
        ),
        'one holder for each number': lambda state: all_of(
            z3.Not(
                z3.And(
                    state.holds(one),
                    state.holds(two),
                    state.mine(one) == state.mine(two),
                )
            )
            for one, two in pairs
        ),
        'the checking engine obeys the highest number': lambda state: (
            state.strict() == state.obeyed()
        ),
        'the intent is never replaced by an older one': lambda state: z3.Not(
            state.replaced()
        ),
        'an intent is recorded before any order under its number': lambda state: (
            all_of(
                [
                    state.loose() <= state.intent(),
                    state.strict() <= state.intent(),
                    *(
                        z3.Implies(
                            state.order(order),
                            state.stamp(order) <= state.intent(),
                        )
                        for order in orders
                    ),
                ]
            )
        ),
        'a new order is due for an engine with a wrong one': lambda state: (
            all_of(
                z3.Implies(
                    z3.And(
                        in_term(state, host),
                        state.loose() != state.mine(host),
                        *(z3.Not(state.order(order)) for order in orders),
                    ),
                    is_order_due(state, host, without),
                )
                for host in hosts
            )
        ),
    }


def _lease_invariants(hosts):
    pairs = list(itertools.permutations(hosts, 2))
    return {
        'no version or number is newer than the lease': lambda state: all_of(
            z3.And(
                state.known(host) <= state.object(),
                state.base(host) <= state.object(),
                state.seen(host) <= state.object(),
                state.got(host) <= state.object(),
                state.object() >= 0,
                state.known(host) >= 0,
                state.got(host) >= 0,
                state.mine(host) <= state.number(),
                state.gotnumber(host) <= state.number(),
            )
            for host in hosts
        ),
        'an applied write is awaited and not in flight': lambda state: all_of(
            z3.Implies(
                state.landed(host),
                z3.And(
                    state.wrote(host),
                    z3.Not(state.flying(host)),
                ),
            )
            for host in hosts
        ),
        'a host with the newest number or version is the holder': lambda state: (
            all_of(
                z3.And(
                    _implies_holder(
                        state,
                        host,
                        state.holds(host),
                        state.mine(host),
                        state.known(host),
                    ),
                    _implies_holder(
                        state,
                        host,
                        state.landed(host),
                        state.gotnumber(host),
                        state.got(host),
                    ),
                )
                for host in hosts
            )
        ),
        'only the holder can renew': lambda state: all_of(
            z3.Implies(
                z3.And(
                    state.flying(host),
                    z3.Not(state.taking(host)),
                    state.base(host) == state.object(),
                ),
                state.holder() == host,
            )
            for host in hosts
        ),
        'numbers of two hosts differ': lambda state: all_of(
            _numbers_differ(_numbers_of(state, one), _numbers_of(state, two))
            for one, two in pairs
        ),
    }


def _numbers_differ(numbers, other_numbers):
    return all_of(
        z3.Not(z3.And(one_has, two_has, one_number == two_number))
        for one_has, one_number in numbers
        for two_has, two_number in other_numbers
    )


def _numbers_of(state, host):
    return (
        (state.holds(host), state.mine(host)),
        (state.landed(host), state.gotnumber(host)),
    )


def _implies_holder(state, host, has, number, version):
    return z3.And(
        z3.Implies(
            z3.And(has, number == state.number()),
            state.holder() == host,
        ),
        z3.Implies(
            z3.And(has, version == state.object()),
            z3.And(state.holder() == host, number == state.number()),
        ),
    )


def _terms_of(state, host):
    """Return the terms that a host has or may confirm.

    Each is a tuple of condition, version, end by the host's clock, and true
    time at which the write was sent.
    """
    return (
        (
            state.holds(host),
            state.known(host),
            state.until(host),
            state.renewed(host),
        ),
        (
            state.landed(host),
            state.got(host),
            state.sent(host) + TERM,
            state.spoke(host),
        ),
    )


def _is_clock_fast_enough(state, host, since, true_time):
    passed = state.clock(host) - since
    return z3.And(
        true_time <= state.now(),
        passed >= SLOWEST_RATE * (state.now() - true_time),
    )


def _time_invariants(hosts):
    pairs = list(itertools.permutations(hosts, 2))

    def clocks(state):
        bounds = []
        for host in hosts:
            sent = _is_clock_fast_enough(
                state, host, state.sent(host), state.spoke(host)
            )
            bounds.append(z3.Implies(state.wrote(host), sent))
            for has, _, until, start in _terms_of(state, host):
                term = _is_clock_fast_enough(state, host, until - TERM, start)
                bounds.append(z3.Implies(has, term))
            passed = state.clock(host) - state.since(host)
            longest = FASTEST_RATE * (state.now() - state.watched(host))
            bounds.append(
                z3.Implies(state.seen(host) >= 0, passed <= longest),
            )
        return all_of(bounds)

    def watched_later(state):
        return all_of(
            z3.Implies(
                z3.And(has, state.seen(two) >= version),
                state.watched(two) >= start,
            )
            for one, two in pairs
            for has, version, _, start in _terms_of(state, one)
        )

    def expired_when_replaced(state):
        return all_of(
            z3.Implies(
                z3.And(has, state.holder() != one),
                state.clock(one) >= until,
            )
            for one in hosts
            for has, _, until, _ in _terms_of(state, one)
        )

    def expired_before_takeover(state):
        return all_of(
            z3.Implies(
                z3.And(
                    has,
                    state.flying(two),
                    state.taking(two),
                    version <= state.base(two),
                ),
                state.clock(one) >= until,
            )
            for one, two in pairs
            for has, version, until, _ in _terms_of(state, one)
        )

    return {
        'clocks run within the drift': clocks,
        'a version is observed after it was sent': watched_later,
        'the term of a host that is not the holder has expired': expired_when_replaced,
        'a takeover is sent after the terms that it ends have expired': (
            expired_before_takeover
        ),
    }


def _order_invariants(hosts):
    return {
        'the highest number is the one obeyed': lambda state: (
            state.highest() == state.obeyed()
        ),
        'a read of the current intent version has its number': lambda state: (
            all_of(
                z3.And(
                    state.reader(host) <= state.change(),
                    z3.Implies(
                        state.reader(host) == state.change(),
                        state.read(host) == state.intent(),
                    ),
                )
                for host in hosts
            )
        ),
        'the intent is not older than one a host has recorded': lambda state: (
            all_of(
                z3.Implies(
                    state.intended(host),
                    z3.And(
                        state.holds(host),
                        state.mine(host) <= state.intent(),
                    ),
                )
                for host in hosts
            )
        ),
    }


def invariants(hosts):
    """Return the inductive invariants that imply the properties."""
    return {
        **_lease_invariants(hosts),
        **_time_invariants(hosts),
        **_order_invariants(hosts),
    }
