"""Traversal of stages, upstreams and stage dependencies."""

MAX_STAGES = 32


def list_stages(manifest):
    """Return a list of ``(path, stage)`` for every stage."""
    entries = []
    for name, pipeline in manifest.pipelines.items():
        for index, stage in enumerate(pipeline.stages):
            path = f'pipelines.{name}.stages.{index}'
            entries.append((path, stage))
    return entries


def list_upstreams(manifest):
    """Return a list of ``(path, upstream)`` for every upstream."""
    entries = []
    for pool_name, pool in manifest.pools.items():
        for name, upstream in pool.upstreams.items():
            path = f'pools.{pool_name}.upstreams.{name}'
            entries.append((path, upstream))
    return entries


def stage_needs(stages):
    """Return the indexes of the stages that each stage reads results of.

    Explanation
    ===========

    A stage without declared needs reads the preceding stage; the first stage
    then reads none. Names of unknown stages are ignored.

    Examples
    ========

    >>> from pollenstile.manifest._model import Stage
    >>> stage_needs([Stage('a', 'x'), Stage('b', 'x'), Stage('c', 'x')])
    [(), (0,), (1,)]
    """
    indexes = {}
    for index, stage in enumerate(stages):
        indexes.setdefault(stage.name, index)
    needs = []
    for index, stage in enumerate(stages):
        if stage.needs:
            known = (name for name in stage.needs if name in indexes)
            needs.append(tuple(dict.fromkeys(indexes[name] for name in known)))
            continue
        needs.append((index - 1,) if index else ())
    return needs


def dependency_path(needs, start, end):
    """Return the indexes along a path of needs, or an empty list.

    Explanation
    ===========

    The path leads from the stage at ``start`` to the one at ``end``, which it
    needs directly or indirectly. The search is depth first and visits each
    stage once.

    Examples
    ========

    >>> dependency_path([(), (0,), (1,)], 2, 0)
    [2, 1, 0]
    >>> dependency_path([(), (0,), (1,)], 0, 2)
    []
    """
    predecessors = {start: None}
    pending = [start]
    while pending:
        index = pending.pop()
        if index == end:
            return _reconstruct_path(predecessors, end)
        for needed in needs[index]:
            if needed in predecessors:
                continue
            predecessors[needed] = index
            pending.append(needed)
    return []


def _reconstruct_path(predecessors, index):
    path = []
    while index is not None:
        path.append(index)
        index = predecessors[index]
    path.reverse()
    return path
