"""Versions of the configuration: who may change it and who has which.

Explanation
===========

One object holds the manifest. Each applier writes once, conditional on the
version that its change was reviewed against; the answer may be lost, the write
may be applied late, and an in-doubt write is read back and sent again. Hosts
hear of versions from reads, watches and peers, late, again and in any order.
Versions are unbounded integers. Variables:

- ``store``: the object's version;
- ``base a``, ``sent a``, ``flying a``: applier a's write and its copies;
- ``doubt a``: an answer was lost;
- ``applied a``, ``version a``: the write was applied, as this version;
- ``accepted a``, ``refused a``: what the applier was told;
- ``valid a``: whether its document validates (chosen by the first state);
- ``force h``, ``content h``: the version at a host and whose document it is;
- ``reverted h``: a host has gone back (history).
"""

import itertools

import z3

from spec.logic import all_of, any_of
from spec.model import BOOL, INT, Action, Model

GUARDS = {
    'conditional-update': 'an accepted change is replaced knowingly',
    'read-back-when-in-doubt': 'who is told of a conflict has changed nothing',
    'only-higher-versions': 'no host goes back',
    'validate-before-use': 'only valid documents are in force',
    'versions-never-used-again': 'the same version is the same document',
}
_NOBODY = -1


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
            initial[key] = _NOBODY
    return initial


def _quiet(state, applier):
    """Return whether an applier has not been told anything yet."""
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


def _land(applier, without):
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


def _bounce(applier):
    """Return the end of a copy that finds another version, unanswered."""
    return Action(
        f'lose-answer applier={applier}',
        lambda state: _quiet(state, applier),
        lambda state: {
            ('doubt', applier): True,
            ('flying', applier): state.keeps(),
        },
    )


def _resend(applier):
    return Action(
        f'resend applier={applier}',
        lambda state: z3.And(
            _quiet(state, applier),
            state.doubt(applier),
            state.store() == state.base(applier),
        ),
        lambda state: {('flying', applier): True},
    )


def _accept(applier):
    """Return the answer of success, or a read-back that finds the mark."""
    return Action(
        f'accept applier={applier}',
        lambda state: z3.And(_quiet(state, applier), state.applied(applier)),
        lambda state: {('accepted', applier): True},
    )


def _conflict(applier, without):
    """Return the word that another version is there and ours is not.

    Explanation
    ===========

    The first copy's answer says so. A later copy's answer may say it because
    the first copy was applied; then the object is read back, and its history
    tells whether ours ever stood there.
    """

    def guard(state):
        met = z3.And(
            _quiet(state, applier),
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


def _offer(host, applier, without):
    """Return news of a version, however old, reaching a host."""

    def guard(state):
        taken = [state.applied(applier)]
        if without != 'only-higher-versions':
            taken.append(state.version(applier) > state.force(host))
        if without != 'validate-before-use':
            taken.append(state.valid(applier))
        return z3.And(taken)

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
            ('content', host): _NOBODY,
        },
    )


def _actions(appliers, hosts, without):
    actions = [_restart(host) for host in hosts]
    for applier in appliers:
        actions.extend(
            (
                _send(applier),
                _land(applier, without),
                _bounce(applier),
                _resend(applier),
                _accept(applier),
                _conflict(applier, without),
            )
        )
    for host, applier in itertools.product(hosts, appliers):
        actions.append(_offer(host, applier, without))
    return actions


def _properties(appliers, hosts):
    pairs = list(itertools.permutations(appliers, 2))
    return {
        'no host goes back': lambda state: all_of(
            z3.Not(state.reverted(host)) for host in hosts
        ),
        'an accepted change is replaced knowingly': lambda state: all_of(
            z3.Implies(
                z3.And(
                    state.accepted(one),
                    state.applied(two),
                    state.version(two) > state.version(one),
                ),
                state.base(two) >= state.version(one),
            )
            for one, two in pairs
        ),
        'who is told of success has changed it': lambda state: all_of(
            z3.Implies(state.accepted(one), state.applied(one))
            for one in appliers
        ),
        'who is told of a conflict has changed nothing': lambda state: all_of(
            z3.Not(
                z3.And(
                    state.refused(one),
                    z3.Or(state.applied(one), state.flying(one)),
                )
            )
            for one in appliers
        ),
        'of two changes of one version one is accepted': lambda state: all_of(
            z3.Not(
                z3.And(
                    state.accepted(one),
                    state.accepted(two),
                    state.base(one) == state.base(two),
                )
            )
            for one, two in pairs
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
        'versions rise from the base that they name': lambda state: all_of(
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
        'changes stand in one line': lambda state: all_of(
            z3.Implies(
                z3.And(state.applied(one), state.applied(two)),
                z3.Or(
                    state.base(one) >= state.version(two),
                    state.base(two) >= state.version(one),
                ),
            )
            for one, two in pairs
        ),
        'what was sent names a version that was': lambda state: all_of(
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
        'a host has an applied version or none': lambda state: all_of(
            z3.Or(
                z3.And(
                    state.force(host) == 0,
                    state.content(host) == _NOBODY,
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


def stale_after_restart(hosts):
    """Return whether a host was restarted into an older version than others.

    Explanation
    ===========

    This can happen: a host that keeps nothing takes the first valid version
    that it hears of. That it soon hears of the newest is a matter of the
    relay's pace, not of safety.
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
    """Return the model, if asked without one of ``GUARDS``."""
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
