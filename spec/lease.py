"""The lease of a domain's placer, its fencing numbers and its orders.

Explanation
===========

One object holds the lease; it is written by conditional update. A holder
renews it, may be paused at any point, and may go on as if nothing had been. A
successor takes over when the object has not changed for the whole term and a
margin by its own clock. Clocks run at different paces within ``DRIFT``; time is
real-valued and unbounded. Two engines get orders, one checks fencing numbers
and one ignores them. Variables:

- ``now``, ``clock h``: true time, and the clock of host h;
- ``object``, ``number``, ``holder``: the lease's version, number and holder;
- ``holds h``, ``mine h``, ``known h``, ``until h``: host h believes to hold
  number ``mine`` by version ``known`` until ``until`` of its clock;
- ``wrote h``, ``flying h``, ``landed h``, ``base h``, ``taking h``: a write of
  the lease that host h waits for, and its copy on the way;
- ``sent h``: host h's clock when that write was sent;
- ``seen h``, ``since h``: the version that host h has watched, and since when;
- ``checked h``: host h has found its term valid and is about to order;
- ``order o``, ``stamp o``: order o is on the way and carries this number; even
  ones go to the ignoring engine, odd ones to the checking engine;
- ``highest``, ``strict``: the checking engine's highest number and the number
  of the order in force there;
- ``loose``: the number of the order in force at the ignoring engine;
- ``intent``, ``change``: whose intent is written down, and its version;
- ``read h``, ``reader h``: what host h read there;
- ``intended h``: host h has written its intent down under its number;
- ``placed h``: host h has sent the ignoring engine an order under its number;
- ``got h``, ``gotnumber h``: what the landed write made of the lease;
- ``renewed h``, ``spoke h``, ``watched h``: true times of ``until`` less the
  term, of ``sent`` and of ``since`` (history);
- ``obeyed``, ``replaced``: the highest number that the checking engine has
  obeyed, and whether an intent went back (history).
"""

import z3

from spec import lease_proof, lease_steps
from spec.lease_steps import check, deliver_loose, in_term, send_order
from spec.model import INT, REAL, Model

GUARDS = {
    'wait-whole-term': 'one host at most acts within its term',
    'margin-for-drift': 'one host at most acts within its term',
    'term-from-before-sending': 'one host at most acts within its term',
    'clock-counts-suspension': 'one host at most acts within its term',
    'conditional-lease-update': 'one holder for each number',
    'number-rises-at-takeover': 'one holder for each number',
    'engine-refuses-old-numbers': 'the checking engine obeys the newest',
    'conditional-intent': 'the intent is never replaced by an older one',
    'intent-before-order': 'what an engine may do was written down first',
    'read-back': 'a wrong engine is due for an order',
}


def correction(host, order):
    """Return the steps by which a holder corrects the ignoring engine."""
    return (
        check(host),
        send_order(host, order, ''),
        deliver_loose(order),
    )


def corrects(state, host, order):
    """Return whether a wrong engine is right after these steps.

    Explanation
    ===========

    Holds in any state in which the host is in its term and has written its
    intent, and no older order is on the way to the engine.
    """
    start = z3.And(
        in_term(state, host),
        state.intended(host),
        state.loose() != state.mine(host),
        z3.Not(state.order(order)),
    )
    enabled = []
    for action in correction(host, order):
        enabled.append(action.guard(state))
        state = action.after(state)
    right = state.loose() == state.mine(host)
    return z3.Implies(start, z3.And(*enabled, right))


def old_number_sent(hosts):
    """Return whether a host is about to order under an old number.

    Explanation
    ===========

    This can happen whatever the holder checks: it may be paused between the
    check and the sending. So engines check, or are corrected.
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
    """Return the model, if asked without one of ``GUARDS``."""
    hosts = range(hosts)
    orders = range(orders)
    sorts = lease_steps.variables(hosts, orders)
    properties = lease_proof.properties(hosts, orders, without)
    return Model(
        'lease',
        sorts,
        lease_steps.first_state(sorts),
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
