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

from spec.logic import all_of

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


def _taken(number, step):
    return z3.Bool(f'taken{number}@{step}')


def _step(model):
    """Return the relation between the states before and after step 0."""
    before = model.state(0)
    after = model.state(1)
    taken = [_taken(number, 0) for number in _numbers(model)]
    values = {key: before[key] for key in model.sorts}
    constraints = [z3.PbEq([(one, 1) for one in taken], 1)]
    for action, chosen in zip(model.actions, taken, strict=True):
        constraints.append(z3.Implies(chosen, action.guard(before)))
        for key, new in action.updates(before).items():
            values[key] = z3.If(chosen, new, values[key])
    constraints.extend(after[key] == new for key, new in values.items())
    return z3.And(constraints)


def _moved(model, term, step):
    """Return what says of a step what a term says of step 0."""
    pairs = []
    for shift in (0, 1):
        ours = model.state(shift)
        theirs = model.state(step + shift)
        pairs.extend((ours[key], theirs[key]) for key in ours)
    pairs.extend(
        (_taken(number, 0), _taken(number, step)) for number in _numbers(model)
    )
    return z3.substitute(term, *pairs)


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
    relation = _step(model)
    goal = wanted(model.state(0))
    for step in range(depth + 1):
        solver.push()
        solver.add(_moved(model, goal, step))
        if _is_sat(solver):
            return _labels(model, solver.model(), step)
        solver.pop()
        solver.add(_moved(model, relation, step))
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
            if z3.is_true(found.eval(_taken(number, step))):
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
    state = model.state(0)
    held = _held(model, state)
    gaps = []
    if _may_be(*_start(model), z3.Not(held)):
        gaps.append('the first state')
    for action in model.actions:
        after = action.after(state)
        changed = [(state[key], after[key]) for key in action.updates(state)]
        left = z3.Not(z3.substitute(held, *changed))
        if _may_be(held, action.guard(state), left):
            gaps.append(action.label)
    for name, holds in model.properties.items():
        if _may_be(held, z3.Not(holds(state))):
            gaps.append(f'the property {name}')
    return gaps


def _may_be(*constraints):
    solver = _solver()
    solver.add(*constraints)
    return _is_sat(solver)


def always(model, holds):
    """Return whether something holds in every state inside the invariants."""
    state = model.state(0)
    return not _may_be(_held(model, state), z3.Not(holds(state)))


def _held(model, state):
    return all_of(holds(state) for holds in model.invariants.values())
