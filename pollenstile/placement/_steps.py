"""The next step that takes one engine to its wanted end."""

from dataclasses import dataclass

from pollenstile.placement._orders import ANY_ROLE, Holding


@dataclass(slots=True, frozen=True)
class Settled:
    """The engine holds what is wanted."""


@dataclass(slots=True, frozen=True)
class Loading:
    """The engine loads what is wanted; wait."""


@dataclass(slots=True, frozen=True)
class Drain:
    """Give these models no new work."""

    models: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class Draining:
    """Calls of these models have not ended yet; wait."""

    models: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class Swap:
    """Order this end.

    Parameters
    ==========

    models : dict
        Model to :class:`Holding`.
    loads : dict
        Those of them that the engine has to load.
    overdue : bool
        Whether the bound of the drain is over with calls in flight.
    """

    models: dict[str, Holding]
    loads: dict[str, Holding]
    overdue: bool = False


@dataclass(slots=True, frozen=True)
class DrainTiming:
    """Seconds of a drain.

    Parameters
    ==========

    notice : float
        Until all entry hosts have surely seen that it began.
    bound : float
        Until calls in flight are waited for no longer.
    """

    notice: float = 2.0
    bound: float = 10.0


def leaving_models(state, wanted):
    """Return the models that an engine holds and has to unload."""
    leaving = []
    for model, holding in state.models.items():
        if model not in wanted or wanted[model].version != holding.version:
            leaving.append(model)
    return tuple(sorted(leaving))


def next_step(state, wanted, draining, now, timing):
    """Return the next step of one engine.

    Explanation
    ===========

    A model that has to go is drained before the order. An order asks for at
    most one new load, so that the weight store is asked in small steps.

    Parameters
    ==========

    state : EngineState
        As the engine stated it.
    wanted : dict
        Model to :class:`Holding`.
    draining : dict
        Model to when its drain began.
    now : float
        Seconds on the clock of the drains.
    timing : DrainTiming
        How long to drain.

    Returns
    =======

    Settled, Loading, Drain, Draining or Swap

    Examples
    ========

    >>> from pollenstile.placement import EngineState, Holding
    >>> state = EngineState('1', models={'old': Holding('1')})
    >>> wanted = {'new': Holding('1')}
    >>> next_step(state, wanted, {}, 0.0, DrainTiming())
    Drain(models=('old',))
    >>> step = next_step(state, wanted, {'old': 0.0}, 2.0, DrainTiming())
    >>> tuple(step.models), tuple(step.loads)
    (('new',), ('new',))
    """
    leaving = leaving_models(state, wanted)
    if any(model not in draining for model in leaving):
        return Drain(leaving)
    busy = _busy(state, leaving, draining, now, timing)
    if busy is None:
        return Draining(leaving)
    ends = _kept(state, wanted, leaving)
    loads = due_loads(state, wanted)
    ends.update(loads)
    if ends == {**state.models, **state.loading} and state.role == ANY_ROLE:
        return Loading() if state.loading else Settled()
    return Swap(ends, loads, busy)


def due_loads(state, wanted):
    """Return the model that the engine is to load next, with its holding.

    Explanation
    ===========

    Empty while the engine loads something that is wanted. A further adapter
    of a model that is held counts as a load.
    """
    for model, holding in state.loading.items():
        if wanted.get(model) == holding:
            return {}
    for model in sorted(wanted):
        if _lacks(state.models.get(model), wanted[model]):
            return {model: wanted[model]}
    return {}


def _lacks(held, wanted):
    if held is None or held.version != wanted.version:
        return True
    return not set(wanted.adapters).issubset(held.adapters)


def _busy(state, leaving, draining, now, timing):
    """Return None to wait, else whether calls of a drain are cut."""
    busy = False
    for model in leaving:
        passed = now - draining[model]
        if passed < timing.notice:
            return None
        if not state.running.get(model):
            continue
        if passed < timing.bound:
            return None
        busy = True
    return busy


def _kept(state, wanted, leaving):
    """Return what the engine has or loads already and is to keep."""
    kept = {}
    for model, holding in wanted.items():
        if state.loading.get(model) == holding:
            kept[model] = holding
            continue
        held = state.models.get(model)
        if held is None or model in leaving:
            continue
        kept[model] = held if _lacks(held, holding) else holding
    return kept


def deferred_drains(states, wanted, draining, most):
    """Return the engines whose drain has to wait.

    Explanation
    ===========

    At most some engines swap at one time, so that capacity stays. And the
    last engine that serves a model is not drained while another engine, that
    can go first, is to hold the model. Where engines wait for each other in a
    circle, the first by name goes.

    Parameters
    ==========

    states : dict
        Engine to :class:`EngineState`.
    wanted : dict
        Engine to its models with their :class:`Holding`.
    draining : dict
        Engine to its models that are being drained.
    most : int
        Engines that may swap at one time.

    Examples
    ========

    >>> from pollenstile.placement import EngineState, Holding
    >>> a, b = Holding('1'), Holding('1')
    >>> states = {'e1': EngineState('1', models={'a': a})}
    >>> states['e2'] = EngineState('1')
    >>> wanted = {'e1': {'b': b}, 'e2': {'a': a}}
    >>> deferred_drains(states, wanted, {}, most=1)
    {'e1': 'last server of a'}
    """
    need = _drains_needed(states, wanted)
    servers = _servers(states, draining)
    stuck = {
        name
        for name, leaving in need.items()
        if any(servers.get(model) == {name} for model in leaving)
    }
    swapping = _swapping(states, draining)
    deferred = {}
    for name, leaving in sorted(need.items()):
        if draining.get(name):
            continue
        last = _last_served(name, leaving, servers, wanted, stuck)
        if last:
            deferred[name] = f'last server of {last}'
        elif len(swapping) >= most:
            deferred[name] = 'enough swaps'
        else:
            swapping.add(name)
            for model in leaving:
                servers[model].discard(name)
    return deferred


def _drains_needed(states, wanted):
    need = {}
    for name, state in states.items():
        leaving = leaving_models(state, wanted.get(name, {}))
        if leaving:
            need[name] = leaving
    return need


def _servers(states, draining):
    servers = {}
    for name, state in states.items():
        for model in state.models:
            engines = servers.setdefault(model, set())
            if model not in draining.get(name, ()):
                engines.add(name)
    return servers


def _swapping(states, draining):
    return {
        name
        for name, state in states.items()
        if draining.get(name) or (state.loading and not state.models)
    }


def _last_served(name, leaving, servers, wanted, stuck):
    for model in leaving:
        if servers[model] - {name}:
            continue
        for other, models in wanted.items():
            if other != name and model in models and other not in stuck:
                return model
    return ''
