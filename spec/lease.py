"""Model of the placer's lease in a domain, its fencing numbers and orders.

Explanation
===========

One object holds the lease and is written by conditional updates. A holder
renews the lease. It may be paused at any point and may continue without
noticing the pause. A successor takes over when the object has not changed for
the full term plus a margin by the successor's clock. Clocks run at different
rates within ``DRIFT``; time is real-valued and unbounded. Two engines receive
orders: the checking engine (``strict``) refuses old fencing numbers, the
ignoring engine (``loose``) does not check them. Variables:

- ``now``, ``clock h``: true time, and the clock of host h;
- ``object``, ``number``, ``holder``: the lease's version, number and holder;
- ``holds h``, ``mine h``, ``known h``, ``until h``: host h assumes that it
  holds the lease with number ``mine`` and version ``known`` until its clock
  reads ``until``;
- ``wrote h``: host h waits for the answer to a write of the lease;
- ``flying h``, ``landed h``: this write may still be applied, or was applied;
- ``base h``, ``taking h``: the version it is conditional on, and whether it is
  a takeover;
- ``sent h``: host h's clock when that write was sent;
- ``seen h``, ``since h``: the version that host h has observed, and the time
  of its clock when it first did;
- ``checked h``: host h has found its term valid and is about to send an order;
- ``order o``, ``stamp o``: order o is in flight and carries this number; even
  orders go to the ignoring engine, odd ones to the checking engine;
- ``highest``, ``strict``: the checking engine's highest number and the number
  of the order in force there;
- ``loose``: the number of the order in force at the ignoring engine;
- ``intent``, ``change``: the number of the recorded intent, and its version;
- ``read h``, ``reader h``: the ``intent`` and ``change`` that host h has read;
- ``intended h``: host h has recorded its intent under its number;
- ``placed h``: host h has sent the ignoring engine an order under its number;
- ``got h``, ``gotnumber h``: version and number of the lease after the applied
  write;
- ``renewed h``, ``spoke h``, ``watched h``: true times of ``until`` minus the
  term, of ``sent`` and of ``since`` (history variables);
- ``obeyed``, ``replaced``: the highest number that the checking engine has
  obeyed, and whether an older intent replaced a newer one (history variables).
"""

import z3

from spec import lease_proof, lease_steps
from spec.lease_steps import check, deliver_loose, in_term, send_order
from spec.model import INT, REAL, Model

GUARDS = {
    'wait-whole-term': 'at most one host acts within its term',
    'margin-for-drift': 'at most one host acts within its term',
    'term-from-before-sending': 'at most one host acts within its term',
    'clock-counts-suspension': 'at most one host acts within its term',
    'conditional-lease-update': 'one holder for each number',
    'number-rises-at-takeover': 'one holder for each number',
    'engine-refuses-old-numbers': 'the checking engine obeys the highest number',
    'conditional-intent': 'the intent is never replaced by an older one',
    'intent-before-order': 'an intent is recorded before any order under its number',
    'read-back': 'a new order is due for an engine with a wrong one',
}


def correction_steps(host, order):
    """Return the actions by which a holder corrects the ignoring engine."""
    return (
        check(host),
        send_order(host, order, ''),
        deliver_loose(order),
    )


def correction_succeeds(state, host, order):
    """Return whether the correction steps give the engine the right order.

    Explanation
    ===========

    This is claimed for each state in which the host is in its term and has
    recorded its intent, and no older order to the engine is in flight.
    """
    start = z3.And(
        in_term(state, host),
        state.intended(host),
        state.loose() != state.mine(host),
        z3.Not(state.order(order)),
    )
    enabled = []
    for action in correction_steps(host, order):
        enabled.append(action.guard(state))
        state = action.after(state)
    right = state.loose() == state.mine(host)
    return z3.Implies(start, z3.And(*enabled, right))


def may_order_under_old_number(hosts):
    """Return a predicate: a host may send an order under an old number.

    Explanation
    ===========

    No check by the holder prevents this state, because the holder may be
    paused between the check and the sending. So engines check the number, or
    their orders are corrected afterwards.
    """
    return lambda state: z3.Or(
        [
            z3.And(
                state.checked(host),
                state.holds(host),
                state.mine(host) < state.number(),
            )
            for host in hosts
        ]
    )


def lease_model(hosts=2, orders=4, without=''):
    """Return the model, optionally without one of ``GUARDS``."""
    hosts = range(hosts)
    orders = range(orders)
    sorts = lease_steps.variables(hosts, orders)
    properties = lease_proof.properties(hosts, orders, without)
    return Model(
        'lease',
        sorts,
        lease_steps.initial_state(sorts),
        lease_steps.all_actions(hosts, orders, without),
        properties,
        {
            **lease_proof.invariants(hosts),
            **properties,
        },
        {
            'step': REAL,
            'shown': INT,
            **{('pace', host): REAL for host in hosts},
        },
    )
