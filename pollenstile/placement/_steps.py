"""Selects the next step that takes an engine to its wanted holdings."""

from dataclasses import dataclass

from pollenstile.placement._orders import ANY_ROLE, Holding


@dataclass(slots=True, frozen=True)
class Settled:
    """The engine holds the wanted models."""


@dataclass(slots=True, frozen=True)
class Loading:
    """Wait while the engine loads wanted models."""


@dataclass(slots=True, frozen=True)
class Drain:
    """Send the engine no new work for these models."""

    models: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class Draining:
    """Wait until the calls for these models have ended."""

    models: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class Swap:
    """Order the engine to hold these models.

    Parameters
    ==========

    models : dict
        Model to :class:`Holding`.
    loads : dict
        Those of the models that the engine has to load.
    overdue : bool
        Whether the drain reached its time limit with calls in flight.
    """

    models: dict[str, Holding]
    loads: dict[str, Holding]
    overdue: bool = False


@dataclass(slots=True, frozen=True)
class DrainTiming:
    """Durations of a drain in seconds.

    Parameters
    ==========

    notice : float
        Time after which all entry hosts are certain to have seen the drain.
    limit : float
        Time after which calls in flight are no longer waited for.
    """

    notice: float = 2.0
    limit: float = 10.0


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

    A model that has to be unloaded is drained before the order. An order
    causes at most one new load, so that tickets are requested from the weight
    store one by one.

    Parameters
    ==========

    state : EngineState
        State that the engine reported.
    wanted : dict
        Model to :class:`Holding`.
    draining : dict
        Model to the time at which its drain began.
    now : float
        Seconds on the clock that measures drains.
    timing : DrainTiming
        Durations of a drain.

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
    overdue = _drain_overdue(state, leaving, draining, now, timing)
    if overdue is None:
        return Draining(leaving)
    target = _retained_models(state, wanted, leaving)
    loads = next_load(state, wanted)
    target.update(loads)
    if target == {**state.models, **state.loading} and state.role == ANY_ROLE:
        return Loading() if state.loading else Settled()
    return Swap(target, loads, overdue)


def next_load(state, wanted):
    """Return the next model that the engine is to load, with its holding.

    Explanation
    ===========

    The result is empty while the engine loads a wanted model. Adding an
    adapter to a model that is held counts as a load.
    """
    for model, holding in state.loading.items():
        if wanted.get(model) == holding:
            return {}
    for model in sorted(wanted):
        if _needs_load(state.models.get(model), wanted[model]):
            return {model: wanted[model]}
    return {}


def _needs_load(held, wanted):
    if held is None or held.version != wanted.version:
        return True
    return not set(wanted.adapters).issubset(held.adapters)


def _drain_overdue(state, leaving, draining, now, timing):
    """Return None to wait, else whether the swap cuts off calls in flight."""
    overdue = False
    for model in leaving:
        elapsed = now - draining[model]
        if elapsed < timing.notice:
            return None
        if not state.running.get(model):
            continue
        if elapsed < timing.limit:
            return None
        overdue = True
    return overdue


def _retained_models(state, wanted, leaving):
    """Return the models that the engine holds or loads and is to keep."""
    retained = {}
    for model, holding in wanted.items():
        if state.loading.get(model) == holding:
            retained[model] = holding
            continue
        held = state.models.get(model)
        if held is None or model in leaving:
            continue
        retained[model] = held if _needs_load(held, holding) else holding
    return retained


def deferred_drains(states, wanted, draining, max_swaps):
    """Return the engines whose drain has to wait, with the reasons.

    Explanation
    ===========

    The number of engines that swap at the same time is limited, to keep
    capacity. The last engine that serves a model is not drained while another
    engine that can swap first is to hold the model. If engines wait for each
    other in a cycle, the first one by name proceeds.

    Parameters
    ==========

    states : dict
        Engine to :class:`EngineState`.
    wanted : dict
        Engine to its models with their :class:`Holding`.
    draining : dict
        Engine to its models that are being drained.
    max_swaps : int
        Number of engines that may swap at the same time.

    Examples
    ========

    >>> from pollenstile.placement import EngineState, Holding
    >>> a, b = Holding('1'), Holding('1')
    >>> states = {'e1': EngineState('1', models={'a': a})}
    >>> states['e2'] = EngineState('1')
    >>> wanted = {'e1': {'b': b}, 'e2': {'a': a}}
    >>> deferred_drains(states, wanted, {}, max_swaps=1)
    {'e1': 'last server of a'}
    """
    needed = _needed_drains(states, wanted)
    servers = _servers(states, draining)
    sole_servers = {
        name
        for name, leaving in needed.items()
        if any(servers.get(model) == {name} for model in leaving)
    }
    swapping = _swapping(states, draining)
    deferred = {}
    for name, leaving in sorted(needed.items()):
        if draining.get(name):
            continue
        sole = _last_served_model(name, leaving, servers, wanted, sole_servers)
        if sole:
            deferred[name] = f'last server of {sole}'
        elif len(swapping) >= max_swaps:
            deferred[name] = 'enough swaps'
        else:
            swapping.add(name)
            for model in leaving:
                servers[model].discard(name)
    return deferred


def _needed_drains(states, wanted):
    needed = {}
    for name, state in states.items():
        leaving = leaving_models(state, wanted.get(name, {}))
        if leaving:
            needed[name] = leaving
    return needed


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


def _last_served_model(name, leaving, servers, wanted, sole_servers):
    for model in leaving:
        if servers[model] - {name}:
            continue
        for other, models in wanted.items():
            if other != name and model in models and other not in sole_servers:
                return model
    return ''
