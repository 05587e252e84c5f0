"""Alternative re-placement rules that the benchmark compares.

Explanation
===========

Sticky: engines keep their models unless a change has a large benefit.
Idle-gated: a model with calls in flight is not drained. Pressed: the placement
does not change until calls queue.

References
==========

LLMKube, ModelPool: cross-pod sticky model swapping on a shared GPU slot,
pull request by sylvainsf: the resident model stays until another model is
requested, and is never unloaded while it is busy.
"""

from pollenstile.placement import compute_placement


def sticky_placement(gain):
    """Return a variant of ``compute_placement`` that avoids changes.

    Explanation
    ===========

    The plain plan is adopted only if it lowers the highest demand per replica
    by more than a factor, or if a model has no engine in the present placement.

    Parameters
    ==========

    gain : float
        The factor above which a change is worth its model loads.
    """

    def placement(engines, sizes, demand, held):
        plain = compute_placement(engines, sizes, demand, held)
        kept = {}
        for name, facts in engines.items():
            models = held.get(name, ())
            kept[name] = tuple(sorted(set(models) & set(facts.models)))
        before = _highest_demand(kept, plain, demand)
        if before is None or before > gain * _highest_demand(
            plain, plain, demand
        ):
            return plain
        return kept

    return placement


def when_pressed(share):
    """Return a function that checks whether the engines of a model are busy.

    Parameters
    ==========

    share : float
        Calls in flight per slot, over the engines of a model, from which a
        change is worth its model loads; above 1 calls queue.
    """

    def pressed(engines, states):
        return any(busy >= share for busy in _utilizations(engines, states))

    return pressed


def _utilizations(engines, states):
    slots = {}
    calls = {}
    for name, state in states.items():
        for model in state.models:
            slots[model] = slots.get(model, 0) + engines[name].upstream.slots
            running = state.running.get(model, 0)
            calls[model] = calls.get(model, 0) + running
    return [calls[model] / slots[model] for model in slots]


def idle_only(state, models):
    """Return whether no model has a call in flight at the engine."""
    return not any(state.running.get(model) for model in models)


def _highest_demand(placement, plain, demand):
    """Return the highest demand per replica; None if a model has no replica."""
    highest = 0.0
    placed = sorted({model for models in plain.values() for model in models})
    for model in placed:
        replicas = sum(model in models for models in placement.values())
        if not replicas:
            return None
        highest = max(highest, demand.get(model, 0.0) / replicas)
    return highest
