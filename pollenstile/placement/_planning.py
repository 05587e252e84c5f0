"""Computes the wanted placement: the models that each engine is to hold.

Explanation
===========

First each model is assigned to one engine, the largest model first, so that
as many models as memory allows have an engine. Then replicas are added one by
one in the memory that is left, each for the model with the most demand per
replica (the highest averages method of D'Hondt). Among engines, one that
holds the model already is preferred, then the one with the fewest models
assigned, then the one with the least demand assigned, then the first by name.
The result depends on the arguments alone.
"""


class _Plan:
    """Assignment of models to engines while it is computed."""

    __slots__ = (
        'assigned_demand',
        'demand',
        'engines',
        'free_memory',
        'held',
        'sizes',
        'wanted',
    )

    def __init__(self, engines, sizes, demand, held):
        self.engines = engines
        self.sizes = sizes
        self.demand = demand
        self.held = held
        self.free_memory = {
            name: spec.upstream.memory_mb for name, spec in engines.items()
        }
        self.assigned_demand = dict.fromkeys(engines, 0.0)
        self.wanted = {name: set() for name in engines}

    def replicas(self, model):
        """Return the number of engines that are to hold a model."""
        return sum(model in models for models in self.wanted.values())

    def fits(self, name, model):
        """Return whether an engine may hold one more model."""
        return (
            model in self.engines[name].models
            and model not in self.wanted[name]
            and self.sizes[model] <= self.free_memory[name]
        )

    def assign(self, name, model):
        """Assign a model to an engine."""
        self.wanted[name].add(model)
        self.free_memory[name] -= self.sizes[model]
        share = self.demand.get(model, 0.0) / max(self.replicas(model), 1)
        self.assigned_demand[name] += share


def compute_placement(engines, sizes, demand, held):
    """Return the wanted models of each engine.

    Parameters
    ==========

    engines : dict
        Name to :class:`EngineSpec`, for one failure domain.
    sizes : dict
        Model to its memory in megabytes.
    demand : dict
        Model to calls per second; a missing model counts as 0.
    held : dict
        Engine to the models that it holds or loads now.

    Returns
    =======

    dict
        Engine to a sorted tuple of models.

    Examples
    ========

    >>> from pollenstile.manifest import Upstream
    >>> from pollenstile.placement import EngineSpec
    >>> spec = EngineSpec(Upstream('a', ':1', memory_mb=9), ('l', 's'))
    >>> engines = {'e1': spec, 'e2': spec, 'e3': spec}
    >>> compute_placement(engines, {'l': 8, 's': 8}, {'s': 5, 'l': 1}, {})
    {'e1': ('l',), 'e2': ('s',), 'e3': ('s',)}
    """
    plan = _place_once(engines, sizes, demand, held, _preferred_engine)
    if _plan_unplaced(plan):
        packed = _place_once(engines, sizes, demand, held, _best_fit_engine)
        if len(_plan_unplaced(packed)) < len(_plan_unplaced(plan)):
            plan = packed
    _add_replicas(plan)
    return {name: tuple(sorted(each)) for name, each in plan.wanted.items()}


def unplaced_models(engines, wanted):
    """Return the models of these engines that no engine is to hold."""
    models = set()
    for spec in engines.values():
        models.update(spec.models)
    for held in wanted.values():
        models.difference_update(held)
    return sorted(models)


def _place_once(engines, sizes, demand, held, select_engine):
    """Return a plan with each model on at most one engine."""
    plan = _Plan(engines, sizes, demand, held)
    models = set()
    for spec in engines.values():
        models.update(spec.models)
    by_size = sorted(models, key=lambda each: (-sizes[each], each))
    for model in by_size:
        name = select_engine(plan, model)
        if name is not None:
            plan.assign(name, model)
    return plan


def _plan_unplaced(plan):
    return unplaced_models(plan.engines, plan.wanted)


def _preferred_engine(plan, model):
    """Return an engine that holds the model, or the least assigned one."""
    candidates = [name for name in plan.engines if plan.fits(name, model)]
    return min(
        candidates,
        key=lambda name: (
            model not in plan.held.get(name, ()),
            len(plan.wanted[name]),
            plan.assigned_demand[name],
            name,
        ),
        default=None,
    )


def _best_fit_engine(plan, model):
    """Return the engine with the least free memory that is sufficient."""
    candidates = [name for name in plan.engines if plan.fits(name, model)]
    return min(
        candidates,
        key=lambda name: (plan.free_memory[name], name),
        default=None,
    )


def _add_replicas(plan):
    models = set(plan.sizes)
    while models:
        model = _highest_average_model(plan, models)
        name = _preferred_engine(plan, model)
        if name is None:
            models.remove(model)
            continue
        plan.assign(name, model)


def _highest_average_model(plan, models):
    return min(
        models, key=lambda each: (-_demand_per_replica(plan, each), each)
    )


def _demand_per_replica(plan, model):
    return plan.demand.get(model, 0.0) / (plan.replicas(model) + 1)
