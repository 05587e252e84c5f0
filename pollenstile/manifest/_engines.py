"""Checks of models, adapters and the engine pools that hold them."""

import math

from pollenstile.manifest._mistake import Mistake
from pollenstile.manifest._traversal import list_stages


def _held_models(manifest):
    held = set()
    for pool in manifest.pools.values():
        if pool.kind == 'engine':
            held.update(pool.models)
    return held


def _pool_model_mistakes(manifest):
    mistakes = []
    for name, pool in manifest.pools.items():
        path = f'pools.{name}.models'
        reads = (f'pools.{name}.kind',)
        if pool.kind == 'engine' and not pool.models:
            text = 'an engine pool must hold at least one model'
            mistakes.append(Mistake(path, text, reads))
        if pool.kind != 'engine' and pool.models:
            text = f'a {pool.kind} pool must not hold models'
            mistakes.append(Mistake(path, text, reads))
    return mistakes


def _pool_model_paths(manifest):
    paths = ['pools']
    for name in manifest.pools:
        paths.extend([f'pools.{name}.models', f'pools.{name}.kind'])
    return tuple(paths)


def _unheld_model_mistakes(manifest):
    mistakes = []
    reads = _pool_model_paths(manifest)
    held = _held_models(manifest)
    for model in manifest.models:
        if model in held:
            continue
        text = 'no engine pool holds this model'
        mistakes.append(Mistake(f'models.{model}', text, reads))
    return mistakes


def _largest_memory(pool):
    sizes = [upstream.memory_mb for upstream in pool.upstreams.values()]
    return max(sizes, default=math.inf)


def _size_problem(manifest, name, largest):
    model = manifest.models.get(name)
    if model is None or model.memory_mb <= largest:
        return ''
    size = model.memory_mb
    return f'{name!r} takes {size} MB, the largest upstream has {largest} MB'


def _oversized_model_mistakes(manifest):
    mistakes = []
    for name, pool in manifest.pools.items():
        largest = _largest_memory(pool)
        for index, model in enumerate(pool.models):
            text = _size_problem(manifest, model, largest)
            if not text:
                continue
            path = f'pools.{name}.models.{index}'
            memory_path = f'models.{model}.memory_mb'
            mistakes.append(Mistake(path, text, (memory_path,)))
    return mistakes


def _stage_model_problem(manifest, held, stage):
    pool = manifest.pools[stage.pool]
    if pool.kind != 'engine':
        text = f'a stage on a {pool.kind} pool must not name a model'
        return text if stage.model else ''
    if not stage.model:
        return 'a stage on an engine pool must name its model'
    if stage.model not in manifest.models:
        return f'no model is named {stage.model!r}'
    if stage.model in pool.models or stage.model not in held:
        return ''
    return f'pool {stage.pool!r} holds no model {stage.model!r}'


def _stage_model_mistakes(manifest):
    mistakes = []
    held = _held_models(manifest)
    for path, stage in list_stages(manifest):
        if stage.pool not in manifest.pools:
            continue
        text = _stage_model_problem(manifest, held, stage)
        if not text:
            continue
        pool = f'pools.{stage.pool}'
        reads = (f'{path}.pool', f'{pool}.kind', f'{pool}.models', 'models')
        mistakes.append(Mistake(f'{path}.model', text, reads))
    return mistakes


def _adapter_problem(manifest, stage):
    if not stage.adapter:
        return ''
    if not stage.model:
        return 'an adapter requires a model'
    model = manifest.models.get(stage.model)
    if model is None or stage.adapter in model.adapters:
        return ''
    return f'model {stage.model!r} has no adapter {stage.adapter!r}'


def _stage_adapter_mistakes(manifest):
    mistakes = []
    for path, stage in list_stages(manifest):
        text = _adapter_problem(manifest, stage)
        if not text:
            continue
        reads = (f'{path}.model', f'models.{stage.model}.adapters')
        mistakes.append(Mistake(f'{path}.adapter', text, reads))
    return mistakes


def engine_mistakes(manifest):
    """Return a mistake for each model that can't be served as declared.

    Explanation
    ===========

    A model that no engine pool holds is reported once, at the model, and not
    again at each stage that names it.
    """
    return [
        *_pool_model_mistakes(manifest),
        *_unheld_model_mistakes(manifest),
        *_oversized_model_mistakes(manifest),
        *_stage_model_mistakes(manifest),
        *_stage_adapter_mistakes(manifest),
    ]
