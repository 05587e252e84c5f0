"""Transition systems as z3 expressions, and the questions put to z3.

Explanation
===========

A state is a dict from names and tuples, such as ``('at', 0, 1)``, to terms. An
action's guard and updates are functions of a state, so that the same text
serves unrolled steps, the inductive step and the replay of a recorded run.
The search is z3's; this module only writes the questions down.
"""

import functools
from collections import UserDict

import z3

_SEED = 7
BOOL = 'bool'
INT = 'int'
REAL = 'real'
_MAKERS = {BOOL: z3.Bool, INT: z3.Int, REAL: z3.Real}


class State(UserDict):
    """The value of each variable; ``state.at(0, 1)`` is that of ``at 0 1``."""

    def __getattr__(self, name):
        """Return the function that looks up a family of variables."""
        return functools.partial(self._looked_up, name)

    def _looked_up(self, name, *place):
        return self[(name, *place) if place else name]


class Action:
    """A step that the system may take.

    Parameters
    ==========

    label : str
        Name and arguments, as traces print them.
    guard : function
        Takes a state, returns whether the step may be taken.
    updates : function
        Takes a state, returns what is different afterwards.
    """

    __slots__ = ('guard', 'label', 'updates')

    def __init__(self, label, guard, updates):
        self.label = label
        self.guard = guard
        self.updates = updates

    def after(self, state):
        """Return the state after the step."""
        changed = self.updates(state)
        after = State(state)
        after.update((key, as_term(new)) for key, new in changed.items())
        return after


class Model:
    """A protocol, or a part of one.

    Parameters
    ==========

    name : str
        For reports.
    sorts : dict
        ``BOOL``, ``INT`` or ``REAL`` by variable.
    initial : dict
        The first state's value by variable.
    actions : list of Action
        All of them, with their arguments filled in.
    properties : dict
        Functions of a state by name: what must hold in each.
    invariants : dict
        As ``properties``; together they imply them and are inductive.
    free : dict
        Sorts of variables that each step chooses anew.
    """

    __slots__ = (
        'actions',
        'free',
        'initial',
        'invariants',
        'name',
        'properties',
        'sorts',
    )

    def __init__(
        self, name, sorts, initial, actions, properties, invariants, free=None
    ):
        self.name = name
        self.sorts = sorts
        self.initial = initial
        self.actions = actions
        self.properties = properties
        self.invariants = invariants
        self.free = free or {}

    def state(self, step):
        """Return fresh variables for the state before a step."""
        every = {**self.sorts, **self.free}
        return State(
            (key, _MAKERS[sort](f'{_text(key)}@{step}'))
            for key, sort in every.items()
        )


def as_term(literal):
    """Return z3's term for a literal of the language; terms stay."""
    if isinstance(literal, bool):
        return z3.BoolVal(literal)
    if isinstance(literal, int):
        return z3.IntVal(literal)
    return literal


def any_of(parts):
    """Return the disjunction of an iterable."""
    return z3.Or(list(parts))


def all_of(parts):
    """Return the conjunction of an iterable."""
    return z3.And(list(parts))


def _text(key):
    if isinstance(key, tuple):
        return '.'.join(str(part) for part in key)
    return key


def _solver():
    solver = z3.Solver()
    solver.set('random_seed', _SEED)
    return solver


def _choice(step):
    return z3.Int(f'choice@{step}')


def _start(model):
    state = model.state(0)
    return [state[key] == first for key, first in model.initial.items()]


def _step(model, step):
    """Return the constraints between the states before and after a step."""
    before = model.state(step)
    after = model.state(step + 1)
    taken = [z3.Bool(f'taken{number}@{step}') for number in _numbers(model)]
    values = {key: before[key] for key in model.sorts}
    constraints = [z3.PbEq([(one, 1) for one in taken], 1)]
    for action, chosen in zip(model.actions, taken, strict=True):
        constraints.append(z3.Implies(chosen, action.guard(before)))
        for key, new in action.updates(before).items():
            values[key] = z3.If(chosen, new, values[key])
    constraints.extend(after[key] == new for key, new in values.items())
    return constraints


def _numbers(model):
    return range(len(model.actions))


def bounded(model, wanted, depth):
    """Return the shortest run into a wanted state, None for none.

    Parameters
    ==========

    wanted : function
        Takes a state.
    depth : int
        Steps at most.

    Returns
    =======

    list of str or None
        The labels of its actions.
    """
    solver = _solver()
    solver.add(_start(model))
    for step in range(depth + 1):
        solver.push()
        solver.add(wanted(model.state(step)))
        if _is_sat(solver):
            return _labels(model, solver.model(), step)
        solver.pop()
        solver.add(_step(model, step))
    return None


def _is_sat(solver):
    answer = solver.check()
    if answer == z3.unknown:
        raise RuntimeError(solver.reason_unknown())
    return answer == z3.sat


def _labels(model, found, steps):
    labels = []
    for step in range(steps):
        for number, action in enumerate(model.actions):
            if z3.is_true(found.eval(z3.Bool(f'taken{number}@{step}'))):
                labels.append(_label(model, action, found, step))
    return labels


def _label(model, action, found, step):
    """Return an action's label with the values that it chose and changed."""
    before = model.state(step)
    changes = []
    for key, new in action.updates(before).items():
        old = found.eval(before[key], model_completion=True)
        changed = found.eval(as_term(new), model_completion=True)
        if not z3.eq(old, changed):
            changes.append(f'{_text(key)}={changed}')
    return f'{action.label:<34} {" ".join(changes)}'


def violated(model, name):
    """Return a function that says whether a state breaks a property."""
    return lambda state: z3.Not(model.properties[name](state))


def unproved(model):
    """Return what is not proved by induction: empty when all is.

    Explanation
    ===========

    Three kinds of question, each of which z3 must refute: a first state
    outside the invariants, a step that leads out of them, and a state inside
    them that breaks a property. There is no bound on the number of steps.
    """
    gaps = []
    solver = _solver()
    solver.add(_start(model))
    solver.add(z3.Not(_held(model, model.state(0))))
    if _is_sat(solver):
        gaps.append('the first state')
    state = model.state(0)
    held = _held(model, state)
    for action in model.actions:
        solver = _solver()
        solver.add(held, action.guard(state))
        after = action.after(state)
        solver.push()
        solver.add(z3.Not(_held(model, after)))
        if _is_sat(solver):
            gaps.append(f'{action.label}: {_broken(model, solver, after)}')
    for name, holds in model.properties.items():
        solver = _solver()
        solver.add(held, z3.Not(holds(state)))
        if _is_sat(solver):
            gaps.append(f'the property {name}')
    return gaps


def always(model, holds):
    """Return whether something holds in every state inside the invariants."""
    state = model.state(0)
    solver = _solver()
    solver.add(_held(model, state), z3.Not(holds(state)))
    return not _is_sat(solver)


def _held(model, state):
    return all_of(holds(state) for holds in model.invariants.values())


def _broken(model, solver, after):
    found = solver.model()
    return [
        name
        for name, holds in model.invariants.items()
        if not z3.is_true(found.eval(holds(after), model_completion=True))
    ]
