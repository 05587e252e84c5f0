"""Transition systems as z3 expressions, with bounded and inductive checks.

Explanation
===========

A state maps names and tuples, such as ``('at', 0, 1)``, to terms. The guard and
the updates of an action are functions of a state, so the same definition serves
unrolled steps, the inductive step and the replay of a recorded run. This module
only states the queries; z3 does the search.
"""

import functools
from collections import UserDict

import z3

from spec.logic import all_of

_SEED = 7
BOOL = 'bool'
INT = 'int'
REAL = 'real'
_CONSTRUCTORS = {BOOL: z3.Bool, INT: z3.Int, REAL: z3.Real}


class State(UserDict):
    """Values of the variables; ``state.at(0, 1)`` is the one of ``at 0 1``."""

    def __getattr__(self, name):
        """Return a function that looks up the variables with this name."""
        return functools.partial(self._lookup, name)

    def _lookup(self, name, *indices):
        return self[(name, *indices) if indices else name]


class Action:
    """An action of the transition system.

    Parameters
    ==========

    label : str
        Name and arguments, as printed in traces.
    guard : function
        Takes a state, returns whether the action is enabled.
    updates : function
        Takes a state, returns the changed variables with their new values.
    """

    __slots__ = ('guard', 'label', 'updates')

    def __init__(self, label, guard, updates):
        self.label = label
        self.guard = guard
        self.updates = updates

    def after(self, state):
        """Return the state after the action."""
        changed = self.updates(state)
        after = State(state)
        after.update((key, as_term(new)) for key, new in changed.items())
        return after


class Model:
    """A transition system: a protocol or a part of one.

    Parameters
    ==========

    name : str
        Name used in reports.
    sorts : dict
        ``BOOL``, ``INT`` or ``REAL`` by variable.
    initial : dict
        Value in the initial state by variable.
    actions : list of Action
        All actions, one for each combination of arguments.
    properties : dict
        Predicates by name that must hold in each state.
    invariants : dict
        Predicates by name that are inductive together and imply the
        properties.
    free : dict
        Sorts of the variables that each step chooses freely.
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
            (key, _CONSTRUCTORS[sort](f'{_variable_name(key)}@{step}'))
            for key, sort in every.items()
        )


def as_term(literal):
    """Return the z3 term for a Python literal; return a term unchanged."""
    if isinstance(literal, bool):
        return z3.BoolVal(literal)
    if isinstance(literal, int):
        return z3.IntVal(literal)
    return literal


def _variable_name(key):
    if isinstance(key, tuple):
        return '.'.join(str(part) for part in key)
    return key


def _solver():
    solver = z3.Solver()
    solver.set('random_seed', _SEED)
    return solver


def _choice(step):
    return z3.Int(f'choice@{step}')


def _initial_constraints(model):
    state = model.state(0)
    return [state[key] == first for key, first in model.initial.items()]


def _is_taken(number, step):
    return z3.Bool(f'taken{number}@{step}')


def _transition_relation(model):
    """Return the relation between the states before and after step 0."""
    before = model.state(0)
    after = model.state(1)
    taken = [_is_taken(number, 0) for number in _action_numbers(model)]
    values = {key: before[key] for key in model.sorts}
    constraints = [z3.PbEq([(one, 1) for one in taken], 1)]
    for action, chosen in zip(model.actions, taken, strict=True):
        constraints.append(z3.Implies(chosen, action.guard(before)))
        for key, new in action.updates(before).items():
            values[key] = z3.If(chosen, new, values[key])
    constraints.extend(after[key] == new for key, new in values.items())
    return z3.And(constraints)


def _shift_to_step(model, term, step):
    """Return a term about step 0, rewritten to be about another step."""
    pairs = []
    for shift in (0, 1):
        base_state = model.state(shift)
        shifted_state = model.state(step + shift)
        pairs.extend(
            (base_state[key], shifted_state[key]) for key in base_state
        )
    pairs.extend(
        (_is_taken(number, 0), _is_taken(number, step))
        for number in _action_numbers(model)
    )
    return z3.substitute(term, *pairs)


def _action_numbers(model):
    return range(len(model.actions))


def find_run(model, wanted, depth):
    """Return the shortest run to a wanted state, or None.

    Parameters
    ==========

    wanted : function
        Predicate of a state.
    depth : int
        Maximum number of steps.

    Returns
    =======

    list of str or None
        Labels of the actions of the run.
    """
    solver = _solver()
    solver.add(_initial_constraints(model))
    relation = _transition_relation(model)
    goal = wanted(model.state(0))
    for step in range(depth + 1):
        solver.push()
        solver.add(_shift_to_step(model, goal, step))
        if _is_sat(solver):
            return _labels(model, solver.model(), step)
        solver.pop()
        solver.add(_shift_to_step(model, relation, step))
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
            if z3.is_true(found.eval(_is_taken(number, step))):
                labels.append(_label(model, action, found, step))
    return labels


def _label(model, action, found, step):
    """Return the label of an action with the values that it changed."""
    before = model.state(step)
    changes = []
    for key, new in action.updates(before).items():
        old = found.eval(before[key], model_completion=True)
        changed = found.eval(as_term(new), model_completion=True)
        if not z3.eq(old, changed):
            changes.append(f'{_variable_name(key)}={changed}')
    return f'{action.label:<34} {" ".join(changes)}'


def violated(model, name):
    """Return a predicate: a state violates a property."""
    return lambda state: z3.Not(model.properties[name](state))


def unproved_obligations(model):
    """Return the proof obligations of the induction that fail.

    Explanation
    ===========

    z3 must refute each of three kinds of queries: an initial state that
    violates the invariants, an action that leads from a state inside the
    invariants to one outside, and a state inside the invariants that violates
    a property. There is no bound on the number of steps. The list is empty if
    the properties are proved.
    """
    state = model.state(0)
    invariants_hold = _invariants_hold(model, state)
    gaps = []
    if _is_satisfiable(*_initial_constraints(model), z3.Not(invariants_hold)):
        gaps.append('the initial state')
    for action in model.actions:
        after = action.after(state)
        changed = [(state[key], after[key]) for key in action.updates(state)]
        violated_after = z3.Not(z3.substitute(invariants_hold, *changed))
        if _is_satisfiable(
            invariants_hold, action.guard(state), violated_after
        ):
            gaps.append(action.label)
    for name, holds in model.properties.items():
        if _is_satisfiable(invariants_hold, z3.Not(holds(state))):
            gaps.append(f'the property {name}')
    return gaps


def _is_satisfiable(*constraints):
    solver = _solver()
    solver.add(*constraints)
    return _is_sat(solver)


def always(model, holds):
    """Return whether a predicate holds in all states inside the invariants."""
    state = model.state(0)
    return not _is_satisfiable(
        _invariants_hold(model, state), z3.Not(holds(state))
    )


def _invariants_hold(model, state):
    return all_of(holds(state) for holds in model.invariants.values())
