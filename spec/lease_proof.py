"""What holds of the lease, and why; see :mod:`spec.lease`."""

import itertools

import z3

from spec.lease_steps import FAST, SLOW, TERM, due, in_term
from spec.logic import all_of


def properties(hosts, orders, without):
    """Return what must hold in each state."""
    pairs = list(itertools.combinations(hosts, 2))
    return {
        'one host at most acts within its term': lambda state: all_of(
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
        'the checking engine obeys the newest': lambda state: (
            state.strict() == state.obeyed()
        ),
        'the intent is never replaced by an older one': lambda state: z3.Not(
            state.replaced()
        ),
        'what an engine may do was written down first': lambda state: all_of(
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
        ),
        'a wrong engine is due for an order': lambda state: all_of(
            z3.Implies(
                z3.And(
                    in_term(state, host),
                    state.loose() != state.mine(host),
                    *(z3.Not(state.order(order)) for order in orders),
                ),
                due(state, host, without),
            )
            for host in hosts
        ),
    }


def _lease_invariants(hosts):
    pairs = list(itertools.permutations(hosts, 2))
    return {
        'nothing is newer than the lease': lambda state: all_of(
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
        'a landed write is waited for and not on its way': lambda state: all_of(
            z3.Implies(
                state.landed(host),
                z3.And(
                    state.wrote(host),
                    z3.Not(state.flying(host)),
                ),
            )
            for host in hosts
        ),
        'who has the newest number or version is the holder': lambda state: (
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
            _differ(_numbers_of(state, one), _numbers_of(state, two))
            for one, two in pairs
        ),
    }


def _differ(ours, theirs):
    return all_of(
        z3.Not(z3.And(one_has, two_has, one_number == two_number))
        for one_has, one_number in ours
        for two_has, two_number in theirs
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

    Each with its condition, version, end by the host's clock, and the true
    time at which its write was sent.
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


def _runs_slowly(state, host, since, true_time):
    passed = state.clock(host) - since
    return z3.And(
        true_time <= state.now(),
        passed >= SLOW * (state.now() - true_time),
    )


def _time_invariants(hosts):
    pairs = list(itertools.permutations(hosts, 2))

    def clocks(state):
        bounds = []
        for host in hosts:
            sent = _runs_slowly(
                state, host, state.sent(host), state.spoke(host)
            )
            bounds.append(z3.Implies(state.wrote(host), sent))
            for has, _, until, start in _terms_of(state, host):
                term = _runs_slowly(state, host, until - TERM, start)
                bounds.append(z3.Implies(has, term))
            passed = state.clock(host) - state.since(host)
            longest = FAST * (state.now() - state.watched(host))
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

    def expired_when_ousted(state):
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
        'a version is seen after it was sent': watched_later,
        'who is not the holder is past its term': expired_when_ousted,
        'a takeover is sent after the terms that it ends': (
            expired_before_takeover
        ),
    }


def _order_invariants(hosts):
    return {
        'the highest number is the one obeyed': lambda state: (
            state.highest() == state.obeyed()
        ),
        'a current read of the intent is right': lambda state: all_of(
            z3.And(
                state.reader(host) <= state.change(),
                z3.Implies(
                    state.reader(host) == state.change(),
                    state.read(host) == state.intent(),
                ),
            )
            for host in hosts
        ),
        'who has written its intent finds it or a newer': lambda state: all_of(
            z3.Implies(
                state.intended(host),
                z3.And(
                    state.holds(host),
                    state.mine(host) <= state.intent(),
                ),
            )
            for host in hosts
        ),
    }


def invariants(hosts):
    """Return what holds in each state and proves the properties."""
    return {
        **_lease_invariants(hosts),
        **_time_invariants(hosts),
        **_order_invariants(hosts),
    }
