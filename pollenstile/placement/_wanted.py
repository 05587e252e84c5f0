"""The wanted placement: which engine is to hold which models.

Explanation
===========

First each model gets one engine, the largest first, so that as many models as
memory allows have one. Then the room that is left goes, replica by replica,
to the model with the most demand for each replica it has (the highest
averages method of D'Hondt). Among engines, one that holds the model already
is preferred, then the one with least demand placed on it, then the name: the
result depends on the arguments alone.
"""


class _Plan:
    """Engines being filled."""

    __slots__ = (
        'burden',
        'demand',
        'engines',
        'held',
        'room',
        'sizes',
        'wanted',
    )

    def __init__(self, engines, sizes, demand, held):
        self.engines = engines
        self.sizes = sizes
        self.demand = demand
        self.held = held
        self.room = {
            name: facts.upstream.memory_mb for name, facts in engines.items()
        }
        self.burden = dict.fromkeys(engines, 0.0)
        self.wanted = {name: set() for name in engines}

    def replicas(self, model):
        """Return how many engines are to hold a model."""
        return sum(model in models for models in self.wanted.values())

    def fits(self, name, model):
        """Return whether an engine may take one more model."""
        return (
            model in self.engines[name].models
            and model not in self.wanted[name]
            and self.sizes[model] <= self.room[name]
        )

    def put(self, name, model):
        """Let an engine hold a model."""
        self.wanted[name].add(model)
        self.room[name] -= self.sizes[model]
        share = self.demand.get(model, 0.0) / max(self.replicas(model), 1)
        self.burden[name] += share


def compute_placement(engines, sizes, demand, held):
    """Return the wanted models of each engine.

    Parameters
    ==========

    engines : dict
        Name to :class:`EngineFacts`, of one failure domain.
    sizes : dict
        Model to its memory in megabytes.
    demand : dict
        Model to calls a second; a missing one counts as 0.
    held : dict
        Engine to the models that it holds or loads now.

    Returns
    =======

    dict
        Engine to a sorted tuple of models.

    Examples
    ========

    >>> from pollenstile.manifest import Upstream
    >>> from pollenstile.placement import EngineFacts
    >>> facts = EngineFacts(Upstream('a', ':1', memory_mb=9), ('l', 's'))
    >>> engines = {'e1': facts, 'e2': facts, 'e3': facts}
    >>> wanted_placement(engines, {'l': 8, 's': 8}, {'s': 5, 'l': 1}, {})
    {'e1': ('l',), 'e2': ('s',), 'e3': ('s',)}
    """
    plan = _covered(engines, sizes, demand, held, _sticky_engine)
    if _uncovered(plan):
        packed = _covered(engines, sizes, demand, held, _tightest_engine)
        if len(_uncovered(packed)) < len(_uncovered(plan)):
            plan = packed
    _fill(plan)
    return {name: tuple(sorted(each)) for name, each in plan.wanted.items()}


def unplaced(engines, wanted):
    """Return the models of these engines that none is to hold."""
    models = set()
    for facts in engines.values():
        models.update(facts.models)
    for held in wanted.values():
        models.difference_update(held)
    return sorted(models)


def _covered(engines, sizes, demand, held, engine_for):
    plan = _Plan(engines, sizes, demand, held)
    models = set()
    for facts in engines.values():
        models.update(facts.models)
    by_size = sorted(models, key=lambda each: (-sizes[each], each))
    for model in by_size:
        name = engine_for(plan, model)
        if name is not None:
            plan.put(name, model)
    return plan


def _uncovered(plan):
    return unplaced(plan.engines, plan.wanted)


def _sticky_engine(plan, model):
    """Return an engine that holds a model already, or a light one."""
    candidates = [name for name in plan.engines if plan.fits(name, model)]
    return min(
        candidates,
        key=lambda name: (
            model not in plan.held.get(name, ()),
            len(plan.wanted[name]),
            plan.burden[name],
            name,
        ),
        default=None,
    )


def _tightest_engine(plan, model):
    """Return the engine with the least room that is enough."""
    candidates = [name for name in plan.engines if plan.fits(name, model)]
    return min(
        candidates,
        key=lambda name: (plan.room[name], name),
        default=None,
    )


def _fill(plan):
    models = set(plan.sizes)
    while models:
        model = _neediest(plan, models)
        name = _sticky_engine(plan, model)
        if name is None:
            models.remove(model)
            continue
        plan.put(name, model)


def _neediest(plan, models):
    return min(models, key=lambda each: (-_average(plan, each), each))


def _average(plan, model):
    return plan.demand.get(model, 0.0) / (plan.replicas(model) + 1)
