"""Model of configuration updates and of the versions at each host.

Explanation
===========

One object holds the manifest. Each applier writes once, conditional on the
version that its change was reviewed against. The answer may be lost, the write
may be applied late, and an in-doubt write is read back and sent again. Hosts
receive versions from reads, watches and peers, late, repeatedly and in any
order. Versions are unbounded integers. Variables:

- ``store``: the version of the object;
- ``base a``, ``sent a``: the write of applier a was sent, against this version;
- ``flying a``: a copy of this write may still be applied;
- ``doubt a``: an answer to this write was lost;
- ``applied a``, ``version a``: the write was applied, as this version;
- ``accepted a``, ``refused a``: the answer that the applier got;
- ``valid a``: the applier's document is valid (free in the initial state);
- ``force h``, ``content h``: the version in force at host h, and the applier
  who wrote its document;
- ``reverted h``: host h has gone back to a lower version (history variable).
"""

import itertools

import z3

from spec.logic import all_of, any_of
from spec.model import BOOL, INT, Action, Model

GUARDS = {
    'conditional-update': 'no change with an older base replaces an accepted one',
    'read-back-when-in-doubt': 'an applier that gets a conflict has changed nothing',
    'only-higher-versions': 'no host goes back to a lower version',
    'validate-before-use': 'only valid documents are in force',
    'versions-never-used-again': 'the same version is the same document',
}
_NO_DOCUMENT = -1


def _sorts(appliers, hosts):
    shapes = {
        ('base', INT): appliers,
        ('sent', BOOL): appliers,
        ('flying', BOOL): appliers,
        ('doubt', BOOL): appliers,
        ('applied', BOOL): appliers,
        ('version', INT): appliers,
        ('accepted', BOOL): appliers,
        ('refused', BOOL): appliers,
        ('valid', BOOL): appliers,
        ('force', INT): hosts,
        ('content', INT): hosts,
        ('reverted', BOOL): hosts,
    }
    sorts = {
        (name, number): sort
        for (name, sort), numbers in shapes.items()
        for number in numbers
    }
    sorts['store'] = INT
    return sorts


def _initial(sorts):
    initial = {}
    for key, sort in sorts.items():
        if key[0] == 'valid':
            continue
        initial[key] = False if sort == BOOL else 0
        if key[0] == 'content':
            initial[key] = _NO_DOCUMENT
    return initial


def _awaits_answer(state, applier):
    """Return whether an applier has sent a write and got no answer yet."""
    return z3.And(
        state.sent(applier),
        z3.Not(state.accepted(applier)),
        z3.Not(state.refused(applier)),
    )


def _send(applier):
    return Action(
        f'send applier={applier}',
        lambda state: z3.And(
            z3.Not(state.sent(applier)),
            state.reviewed() >= 0,
            state.reviewed() <= state.store(),
        ),
        lambda state: {
            ('sent', applier): True,
            ('flying', applier): True,
            ('base', applier): state.reviewed(),
        },
    )


def _apply_write(applier, without):
    def guard(state):
        if without == 'conditional-update':
            return state.flying(applier)
        fits = state.store() == state.base(applier)
        return z3.And(state.flying(applier), fits, state.rise() > 0)

    def updates(state):
        version = state.store() + state.rise()
        if without == 'versions-never-used-again':
            version = z3.IntVal(1)
        return {
            'store': version,
            ('applied', applier): True,
            ('version', applier): version,
        }

    return Action(f'land applier={applier}', guard, updates)


def _lose_answer(applier):
    """Return the action: the answer to a write is lost.

    Another copy of the write may still be in flight.
    """
    return Action(
        f'lose-answer applier={applier}',
        lambda state: _awaits_answer(state, applier),
        lambda state: {
            ('doubt', applier): True,
            ('flying', applier): state.keeps(),
        },
    )


def _resend(applier):
    return Action(
        f'resend applier={applier}',
        lambda state: z3.And(
            _awaits_answer(state, applier),
            state.doubt(applier),
            state.store() == state.base(applier),
        ),
        lambda state: {('flying', applier): True},
    )


def _accept(applier):
    """Return the action: an answer or a read-back confirms the write."""
    return Action(
        f'accept applier={applier}',
        lambda state: z3.And(
            _awaits_answer(state, applier), state.applied(applier)
        ),
        lambda state: {('accepted', applier): True},
    )


def _conflict(applier, without):
    """Return the action: an applier gets a conflict and has changed nothing.

    Explanation
    ===========

    The answer to the first copy proves this. A later copy may get a conflict
    because the first copy was applied. Then the object is read back, and its
    history shows whether the applier's write was ever in force.
    """

    def guard(state):
        met = z3.And(
            _awaits_answer(state, applier),
            state.store() != state.base(applier),
        )
        never = z3.Not(state.applied(applier))
        if without == 'read-back-when-in-doubt':
            never = z3.Or(never, state.doubt(applier))
        return z3.And(met, never)

    return Action(
        f'conflict applier={applier}',
        guard,
        lambda state: {
            ('refused', applier): True,
            ('flying', applier): False,
        },
    )


def _receive_version(host, applier, without):
    """Return the action: a host receives a version, however old."""

    def guard(state):
        conditions = [state.applied(applier)]
        if without != 'only-higher-versions':
            conditions.append(state.version(applier) > state.force(host))
        if without != 'validate-before-use':
            conditions.append(state.valid(applier))
        return z3.And(conditions)

    def updates(state):
        version = state.version(applier)
        return {
            ('force', host): version,
            ('content', host): z3.IntVal(applier),
            ('reverted', host): z3.Or(
                state.reverted(host),
                version < state.force(host),
            ),
        }

    return Action(f'offer host={host} applier={applier}', guard, updates)


def _restart(host):
    return Action(
        f'restart host={host}',
        lambda state: state.force(host) > 0,
        lambda state: {
            ('force', host): 0,
            ('content', host): _NO_DOCUMENT,
        },
    )


def _actions(appliers, hosts, without):
    actions = [_restart(host) for host in hosts]
    for applier in appliers:
        actions.extend(
            (
                _send(applier),
                _apply_write(applier, without),
                _lose_answer(applier),
                _resend(applier),
                _accept(applier),
                _conflict(applier, without),
            )
        )
    for host, applier in itertools.product(hosts, appliers):
        actions.append(_receive_version(host, applier, without))
    return actions


def _properties(appliers, hosts):
    pairs = list(itertools.permutations(appliers, 2))
    return {
        'no host goes back to a lower version': lambda state: all_of(
            z3.Not(state.reverted(host)) for host in hosts
        ),
        'no change with an older base replaces an accepted one': lambda state: (
            all_of(
                z3.Implies(
                    z3.And(
                        state.accepted(one),
                        state.applied(two),
                        state.version(two) > state.version(one),
                    ),
                    state.base(two) >= state.version(one),
                )
                for one, two in pairs
            )
        ),
        'an applier that gets success has changed the object': lambda state: (
            all_of(
                z3.Implies(state.accepted(one), state.applied(one))
                for one in appliers
            )
        ),
        'an applier that gets a conflict has changed nothing': lambda state: (
            all_of(
                z3.Not(
                    z3.And(
                        state.refused(one),
                        z3.Or(state.applied(one), state.flying(one)),
                    )
                )
                for one in appliers
            )
        ),
        'at most one of the changes with one base is accepted': lambda state: (
            all_of(
                z3.Not(
                    z3.And(
                        state.accepted(one),
                        state.accepted(two),
                        state.base(one) == state.base(two),
                    )
                )
                for one, two in pairs
            )
        ),
        'the same version is the same document': lambda state: all_of(
            z3.Implies(
                z3.And(
                    state.force(one) == state.force(two),
                    state.force(one) > 0,
                ),
                state.content(one) == state.content(two),
            )
            for one, two in itertools.combinations(hosts, 2)
        ),
        'only valid documents are in force': lambda state: all_of(
            z3.Implies(state.content(host) == one, state.valid(one))
            for host in hosts
            for one in appliers
        ),
    }


def _invariants(appliers, hosts):
    pairs = list(itertools.permutations(appliers, 2))
    return {
        'the version of a change is higher than its base': lambda state: all_of(
            z3.Implies(
                state.applied(one),
                z3.And(
                    state.version(one) > state.base(one),
                    state.version(one) <= state.store(),
                    state.base(one) >= 0,
                ),
            )
            for one in appliers
        ),
        'applied changes are in a total order': lambda state: all_of(
            z3.Implies(
                z3.And(state.applied(one), state.applied(two)),
                z3.Or(
                    state.base(one) >= state.version(two),
                    state.base(two) >= state.version(one),
                ),
            )
            for one, two in pairs
        ),
        'a sent write has a base that existed': lambda state: all_of(
            z3.And(
                z3.Implies(
                    state.sent(one),
                    z3.And(
                        state.base(one) >= 0,
                        state.base(one) <= state.store(),
                    ),
                ),
                z3.Implies(
                    z3.Or(
                        state.flying(one),
                        state.applied(one),
                        state.accepted(one),
                        state.refused(one),
                        state.doubt(one),
                    ),
                    state.sent(one),
                ),
            )
            for one in appliers
        ),
        'a host has an applied version or no version': lambda state: all_of(
            z3.Or(
                z3.And(
                    state.force(host) == 0,
                    state.content(host) == _NO_DOCUMENT,
                ),
                any_of(
                    z3.And(
                        state.content(host) == one,
                        state.applied(one),
                        state.version(one) == state.force(host),
                    )
                    for one in appliers
                ),
            )
            for host in hosts
        ),
    }


def older_version_after_restart(hosts):
    """Return a predicate: a restarted host has an older version than another.

    Explanation
    ===========

    This state is reachable: a host keeps no version across a restart and
    applies the first valid version that it receives. How soon it receives the
    newest version depends on the speed of the relay and is not a safety
    property.
    """
    return lambda state: any_of(
        z3.And(
            state.force(one) > 0,
            state.force(one) < state.force(two),
            state.force(two) == state.store(),
        )
        for one, two in itertools.permutations(hosts, 2)
    )


def configuration_model(appliers=3, hosts=2, without=''):
    """Return the model, optionally without one of ``GUARDS``."""
    appliers = range(appliers)
    hosts = range(hosts)
    sorts = _sorts(appliers, hosts)
    properties = _properties(appliers, hosts)
    return Model(
        'configuration',
        sorts,
        _initial(sorts),
        _actions(appliers, hosts, without),
        properties,
        {**_invariants(appliers, hosts), **properties},
        {'reviewed': INT, 'rise': INT, 'keeps': BOOL},
    )
