"""Checks of deadlines."""

from pollenstile.manifest._mistake import Mistake
from pollenstile.manifest._order import stage_paths
from pollenstile.manifest._walk import MAX_STAGES, stage_needs


def slowest_chain(stages):
    """Return the milliseconds and places of the slowest chain of stages.

    Explanation
    ===========

    The longest path over needs. Stages stand in the order in which they run,
    so that one pass is enough; needs on later stages are left out here.

    Examples
    ========

    >>> from pollenstile.manifest._model import Stage
    >>> slowest_chain([
    ...     Stage('a', 'x', expect_ms=20),
    ...     Stage('b', 'x', expect_ms=30),
    ...     Stage('c', 'x', expect_ms=40, needs=['a']),
    ... ])
    (60, (0, 2))
    """
    chains = []
    for place, needed in enumerate(stage_needs(stages)):
        before = [chains[one] for one in needed if one < place]
        spent, chain = max(before, default=(0, ()))
        chains.append((spent + stages[place].expect_ms, (*chain, place)))
    return max(chains, default=(0, ()))


def timing_mistakes(manifest):
    """Return a mistake for each deadline that the stages can't meet.

    Explanation
    ===========

    The expected times are usual ones: a deadline below their sum along the
    slowest chain is missed by the usual request, whatever the load.
    """
    mistakes = []
    for name, pipeline in manifest.pipelines.items():
        path = f'pipelines.{name}'
        if len(pipeline.stages) > MAX_STAGES:
            continue
        spent, chain = slowest_chain(pipeline.stages)
        if spent <= pipeline.deadline_ms:
            continue
        names = ' -> '.join(pipeline.stages[one].name for one in chain)
        text = f'{pipeline.deadline_ms} ms, but {names} takes {spent} ms'
        reads = stage_paths(path, pipeline.stages, 'name', 'needs', 'expect_ms')
        mistakes.append(Mistake(f'{path}.deadline_ms', text, reads))
    return mistakes
