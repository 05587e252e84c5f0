"""Actions of the lease model; see :mod:`spec.lease`."""

import itertools
from fractions import Fraction

import z3

from spec.logic import all_of
from spec.model import BOOL, INT, REAL, Action

TERM = 10
DRIFT = Fraction(1, 100)
SLOWEST_RATE = 1 - DRIFT
FASTEST_RATE = 1 + DRIFT
# Time that the successor waits by its own clock. It is long enough even if the
# successor's clock is the fastest and the holder's clock is the slowest.
TAKEOVER_WAIT = Fraction(1021, 100)

_HOST_SORTS = {
    'clock': REAL,
    'holds': BOOL,
    'mine': INT,
    'known': INT,
    'until': REAL,
    'wrote': BOOL,
    'flying': BOOL,
    'landed': BOOL,
    'base': INT,
    'taking': BOOL,
    'sent': REAL,
    'seen': INT,
    'since': REAL,
    'checked': BOOL,
    'read': INT,
    'reader': INT,
    'intended': BOOL,
    'placed': BOOL,
    'got': INT,
    'gotnumber': INT,
    'renewed': REAL,
    'spoke': REAL,
    'watched': REAL,
}
_SINGLE_SORTS = {
    'now': REAL,
    'object': INT,
    'number': INT,
    'holder': INT,
    'highest': INT,
    'strict': INT,
    'obeyed': INT,
    'loose': INT,
    'intent': INT,
    'change': INT,
    'replaced': BOOL,
}
_UNSEEN = -1
_FIRST = {'seen': _UNSEEN, 'read': 1}


def variables(hosts, orders):
    """Return the sort of each variable."""
    sorts = dict(_SINGLE_SORTS)
    for name, host in itertools.product(_HOST_SORTS, hosts):
        sorts[name, host] = _HOST_SORTS[name]
    for order in orders:
        sorts['order', order] = BOOL
        sorts['stamp', order] = INT
    return sorts


def initial_state(sorts):
    """Return the initial state, in which host 0 has just got the lease."""
    initial = {key: False if sort == BOOL else 0 for key, sort in sorts.items()}
    for key in sorts:
        if isinstance(key, tuple) and key[0] in _FIRST:
            initial[key] = _FIRST[key[0]]
    initial.update(
        {
            'object': 1,
            'number': 1,
            ('holds', 0): True,
            ('mine', 0): 1,
            ('known', 0): 1,
            ('until', 0): TERM,
            ('intended', 0): True,
            'intent': 1,
        }
    )
    return initial


def _tick(hosts, without):
    def guard(state):
        paces = [state.step() >= 0]
        for host in hosts:
            least = SLOWEST_RATE * state.step()
            if without == 'clock-counts-suspension':
                least = 0
            paces.append(state.pace(host) >= least)
            paces.append(state.pace(host) <= FASTEST_RATE * state.step())
        return all_of(paces)

    def updates(state):
        changed = {
            ('clock', host): state.clock(host) + state.pace(host)
            for host in hosts
        }
        return {**changed, 'now': state.now() + state.step()}

    return Action('tick', guard, updates)


def in_term(state, host):
    """Return whether a host is in its term by its own clock."""
    return z3.And(state.holds(host), state.clock(host) < state.until(host))


def _observe(host):
    """Return the action: a host reads the lease, maybe an old version."""
    return Action(
        f'observe host={host}',
        lambda state: z3.And(
            z3.Not(state.holds(host)),
            state.shown() <= state.object(),
            state.shown() >= 0,
            state.shown() != state.seen(host),
        ),
        lambda state: {
            ('seen', host): state.shown(),
            ('since', host): state.clock(host),
            ('watched', host): state.now(),
        },
    )


def _send_write(state, host, base, *, taking):
    return {
        ('wrote', host): True,
        ('flying', host): True,
        ('landed', host): False,
        ('base', host): base,
        ('taking', host): taking,
        ('sent', host): state.clock(host),
        ('spoke', host): state.now(),
    }


def _has_no_write(state, host):
    return z3.Not(z3.Or(state.wrote(host), state.flying(host)))


def _take_over(host, without):
    wait = {
        'wait-whole-term': TERM / 2,
        'margin-for-drift': TERM,
    }.get(without, TAKEOVER_WAIT)

    def guard(state):
        return z3.And(
            _has_no_write(state, host),
            z3.Not(state.holds(host)),
            state.seen(host) >= 0,
            state.clock(host) - state.since(host) >= _real_value(wait),
        )

    return Action(
        f'take host={host}',
        guard,
        lambda state: _send_write(state, host, state.seen(host), taking=True),
    )


def _real_value(number):
    return z3.RealVal(str(Fraction(number)))


def _renew(host):
    return Action(
        f'renew host={host}',
        lambda state: z3.And(_has_no_write(state, host), state.holds(host)),
        lambda state: _send_write(state, host, state.known(host), taking=False),
    )


def _apply_write(host, without):
    def guard(state):
        if without == 'conditional-lease-update':
            return state.flying(host)
        return z3.And(
            state.flying(host),
            state.object() == state.base(host),
        )

    def updates(state):
        number = z3.If(
            state.taking(host),
            state.number() + 1,
            state.number(),
        )
        if without == 'number-rises-at-takeover':
            number = state.number()
        return {
            'object': state.object() + 1,
            'number': number,
            'holder': z3.IntVal(host),
            ('flying', host): False,
            ('landed', host): state.wrote(host),
            ('got', host): state.object() + 1,
            ('gotnumber', host): number,
        }

    return Action(f'land host={host}', guard, updates)


def _lose_write(host):
    """Return the action: a write is lost or finds another version."""
    return Action(
        f'lose host={host}',
        lambda state: state.flying(host),
        lambda state: {('flying', host): False},
    )


def _confirm(host, without):
    """Return the action: an answer or a read-back confirms a write."""

    def updates(state):
        start = state.sent(host)
        if without == 'term-from-before-sending':
            start = state.clock(host)
        same = state.gotnumber(host) == state.mine(host)
        return {
            ('wrote', host): False,
            ('landed', host): False,
            ('holds', host): True,
            ('mine', host): state.gotnumber(host),
            ('known', host): state.got(host),
            ('until', host): start + TERM,
            ('renewed', host): state.spoke(host),
            ('intended', host): z3.And(same, state.intended(host)),
            ('placed', host): z3.And(same, state.placed(host)),
        }

    return Action(
        f'confirm host={host}',
        lambda state: z3.And(state.wrote(host), state.landed(host)),
        updates,
    )


def _clear_flags(host, *names):
    return {(name, host): False for name in names}


def _give_up(host):
    return Action(
        f'give-up host={host}',
        lambda state: z3.Or(state.wrote(host), state.holds(host)),
        lambda state: {
            **_clear_flags(host, 'wrote', 'landed', 'holds', 'checked'),
            **_clear_flags(host, 'intended', 'placed'),
            ('seen', host): _UNSEEN,
        },
    )


def check(host):
    """Return the action: a host checks its term right before an order."""
    return Action(
        f'check host={host}',
        lambda state: in_term(state, host),
        lambda state: {('checked', host): True},
    )


def _is_loose(order):
    return order % 2 == 0


def is_order_due(state, host, without):
    """Return whether a holder sends an order after reading the engine back."""
    if without == 'read-back':
        return z3.Not(state.placed(host))
    return z3.Or(
        z3.Not(state.placed(host)),
        state.loose() != state.mine(host),
    )


def send_order(host, order, without):
    """Return the action: a host sends an order, maybe long after the check."""

    def guard(state):
        conditions = [
            state.checked(host),
            state.holds(host),
            is_order_due(state, host, without) if _is_loose(order) else True,
            z3.Not(state.order(order)),
        ]
        if without != 'intent-before-order':
            conditions.append(state.intended(host))
        return all_of(conditions)

    return Action(
        f'order host={host} order={order}',
        guard,
        lambda state: {
            ('checked', host): False,
            ('placed', host): _is_loose(order) or state.placed(host),
            ('order', order): True,
            ('stamp', order): state.mine(host),
        },
    )


def _deliver_strict(order, without):
    def guard(state):
        if without == 'engine-refuses-old-numbers':
            return state.order(order)
        return z3.And(
            state.order(order),
            state.stamp(order) >= state.highest(),
        )

    def updates(state):
        stamp = state.stamp(order)
        return {
            ('order', order): False,
            'highest': stamp,
            'strict': stamp,
            'obeyed': z3.If(stamp > state.obeyed(), stamp, state.obeyed()),
        }

    return Action(f'obey-strict order={order}', guard, updates)


def deliver_loose(order):
    """Return the action: the ignoring engine receives an order."""
    return Action(
        f'obey-loose order={order}',
        lambda state: state.order(order),
        lambda state: {
            ('order', order): False,
            'loose': state.stamp(order),
        },
    )


def _read_intent(host):
    return Action(
        f'read-intent host={host}',
        lambda state: in_term(state, host),
        lambda state: {
            ('read', host): state.intent(),
            ('reader', host): state.change(),
        },
    )


def _write_intent(host, without):
    """Return the action: a host records its intent.

    The write may be sent long after the read.
    """

    def guard(state):
        conditions = [
            state.holds(host),
            state.read(host) <= state.mine(host),
        ]
        if without != 'conditional-intent':
            conditions.append(state.change() == state.reader(host))
        return all_of(conditions)

    def updates(state):
        return {
            'intent': state.mine(host),
            'change': state.change() + 1,
            ('intended', host): True,
            'replaced': z3.Or(
                state.replaced(),
                state.mine(host) < state.intent(),
            ),
        }

    return Action(f'write-intent host={host}', guard, updates)


def all_actions(hosts, orders, without):
    """Return all actions, optionally without one of the guards."""
    actions = [_tick(hosts, without)]
    for host in hosts:
        actions.extend(
            (
                _observe(host),
                _take_over(host, without),
                _renew(host),
                _apply_write(host, without),
                _lose_write(host),
                _confirm(host, without),
                _give_up(host),
                check(host),
                _read_intent(host),
                _write_intent(host, without),
            )
        )
        actions.extend(send_order(host, order, without) for order in orders)
    for order in orders:
        if _is_loose(order):
            actions.append(deliver_loose(order))
            continue
        actions.append(_deliver_strict(order, without))
    return actions
