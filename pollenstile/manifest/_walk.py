"""Ways through a manifest that several checks take."""

MAX_STAGES = 32


def each_stage(manifest):
    """Return ``(path, stage)`` of every stage."""
    found = []
    for name, pipeline in manifest.pipelines.items():
        for place, stage in enumerate(pipeline.stages):
            path = f'pipelines.{name}.stages.{place}'
            found.append((path, stage))
    return found


def each_upstream(manifest):
    """Return ``(path, upstream)`` of every upstream."""
    found = []
    for pool_name, pool in manifest.pools.items():
        for name, upstream in pool.upstreams.items():
            path = f'pools.{pool_name}.upstreams.{name}'
            found.append((path, upstream))
    return found


def stage_needs(stages):
    """Return for each stage the places of the stages whose results it reads.

    Explanation
    ===========

    A stage that names none reads the one before it. Names of no stage are left
    out, as are needs of the first stage.

    Examples
    ========

    >>> from pollenstile.manifest._model import Stage
    >>> stage_needs([Stage('a', 'x'), Stage('b', 'x'), Stage('c', 'x')])
    [(), (0,), (1,)]
    """
    places = {}
    for place, stage in enumerate(stages):
        places.setdefault(stage.name, place)
    needs = []
    for place, stage in enumerate(stages):
        if stage.needs:
            known = (name for name in stage.needs if name in places)
            needs.append(tuple(dict.fromkeys(places[name] for name in known)))
            continue
        needs.append((place - 1,) if place else ())
    return needs


def chain_between(needs, start, end):
    """Return places from a stage to one that it needs, or an empty list.

    Explanation
    ===========

    Depth first, along needs, direct or not; each stage is visited once.

    Examples
    ========

    >>> chain_between([(), (0,), (1,)], 2, 0)
    [2, 1, 0]
    >>> chain_between([(), (0,), (1,)], 0, 2)
    []
    """
    came_from = {start: None}
    waiting = [start]
    while waiting:
        place = waiting.pop()
        if place == end:
            return _chain(came_from, end)
        for needed in needs[place]:
            if needed in came_from:
                continue
            came_from[needed] = place
            waiting.append(needed)
    return []


def _chain(came_from, place):
    chain = []
    while place is not None:
        chain.append(place)
        place = came_from[place]
    chain.reverse()
    return chain
