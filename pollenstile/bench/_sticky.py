"""Rules of re-placement that the bench sets beside the plain one.

Explanation
===========

Sticky: engines keep their models unless much is gained. Idle-gated: a busy
model is not drained. Pressed: nothing changes before calls queue.

References
==========

LLMKube, ModelPool: cross-pod sticky model swapping on a shared GPU slot,
pull request by sylvainsf: the resident model stays until another is asked
for, and is never taken down while it is busy.
"""

from pollenstile.placement import compute_placement


def sticky_placement(gain):
    """Return a function like ``compute_placement`` that changes little.

    Explanation
    ===========

    The plain plan is taken over only where it lowers the highest demand for
    each replica by a factor, or where a model has no engine at present.

    Parameters
    ==========

    gain : float
        Factor from which a change is worth its loads.
    """

    def placement(engines, sizes, demand, held):
        plain = compute_placement(engines, sizes, demand, held)
        kept = {}
        for name, facts in engines.items():
            models = held.get(name, ())
            kept[name] = tuple(sorted(set(models) & set(facts.models)))
        before = _highest(kept, plain, demand)
        if before is None or before > gain * _highest(plain, plain, demand):
            return plain
        return kept

    return placement


def when_pressed(share):
    """Return a function that says whether some model's engines are busy.

    Parameters
    ==========

    share : float
        Calls in flight for each slot, over a model's engines, from which a
        change is worth its loads; above 1 calls queue.
    """

    def pressed(engines, states):
        return any(busy >= share for busy in _busyness(engines, states))

    return pressed


def _busyness(engines, states):
    slots = {}
    calls = {}
    for name, state in states.items():
        for model in state.models:
            slots[model] = slots.get(model, 0) + engines[name].upstream.slots
            running = state.running.get(model, 0)
            calls[model] = calls.get(model, 0) + running
    return [calls[model] / slots[model] for model in slots]


def idle_only(state, models):
    """Return whether none of the models has a call at the engine."""
    return not any(state.running.get(model) for model in models)


def _highest(placement, plain, demand):
    """Return the highest demand for a replica, None when a model has none."""
    highest = 0.0
    placed = sorted({model for models in plain.values() for model in models})
    for model in placed:
        replicas = sum(model in models for models in placement.values())
        if not replicas:
            return None
        highest = max(highest, demand.get(model, 0.0) / replicas)
    return highest
