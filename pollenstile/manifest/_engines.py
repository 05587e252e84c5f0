"""Checks of models, adapters and the engines that hold them."""

import math

from pollenstile.manifest._mistake import Mistake
from pollenstile.manifest._walk import each_stage


def _held_models(manifest):
    held = set()
    for pool in manifest.pools.values():
        if pool.kind == 'engine':
            held.update(pool.models)
    return held


def _pool_models(manifest):
    mistakes = []
    for name, pool in manifest.pools.items():
        path = f'pools.{name}.models'
        reads = (f'pools.{name}.kind',)
        if pool.kind == 'engine' and not pool.models:
            text = 'an engine pool holds at least one model'
            mistakes.append(Mistake(path, text, reads))
        if pool.kind != 'engine' and pool.models:
            text = f'a {pool.kind} pool holds no models'
            mistakes.append(Mistake(path, text, reads))
    return mistakes


def _pool_paths(manifest):
    paths = ['pools']
    for name in manifest.pools:
        paths.extend([f'pools.{name}.models', f'pools.{name}.kind'])
    return tuple(paths)


def _unheld(manifest):
    mistakes = []
    reads = _pool_paths(manifest)
    held = _held_models(manifest)
    for model in manifest.models:
        if model in held:
            continue
        text = 'no engine pool holds this model'
        mistakes.append(Mistake(f'models.{model}', text, reads))
    return mistakes


def _largest_memory(pool):
    sizes = [one.memory_mb for one in pool.upstreams.values()]
    return max(sizes, default=math.inf)


def _size_text(manifest, name, largest):
    model = manifest.models.get(name)
    if model is None or model.memory_mb <= largest:
        return ''
    size = model.memory_mb
    return f'{name!r} takes {size} MB, the largest upstream has {largest} MB'


def _too_large(manifest):
    mistakes = []
    for name, pool in manifest.pools.items():
        largest = _largest_memory(pool)
        for place, model in enumerate(pool.models):
            text = _size_text(manifest, model, largest)
            if not text:
                continue
            path = f'pools.{name}.models.{place}'
            read = f'models.{model}.memory_mb'
            mistakes.append(Mistake(path, text, (read,)))
    return mistakes


def _model_text(manifest, held, stage):
    pool = manifest.pools[stage.pool]
    if pool.kind != 'engine':
        text = f'a {pool.kind} pool takes no model'
        return text if stage.model else ''
    if not stage.model:
        return 'a stage on an engine pool names its model'
    if stage.model not in manifest.models:
        return f'no model is named {stage.model!r}'
    if stage.model in pool.models or stage.model not in held:
        return ''
    return f'pool {stage.pool!r} holds no model {stage.model!r}'


def _stage_models(manifest):
    mistakes = []
    held = _held_models(manifest)
    for path, stage in each_stage(manifest):
        if stage.pool not in manifest.pools:
            continue
        text = _model_text(manifest, held, stage)
        if not text:
            continue
        pool = f'pools.{stage.pool}'
        reads = (f'{path}.pool', f'{pool}.kind', f'{pool}.models', 'models')
        mistakes.append(Mistake(f'{path}.model', text, reads))
    return mistakes


def _adapter_text(manifest, stage):
    if not stage.adapter:
        return ''
    if not stage.model:
        return 'an adapter goes with a model'
    model = manifest.models.get(stage.model)
    if model is None or stage.adapter in model.adapters:
        return ''
    return f'model {stage.model!r} has no adapter {stage.adapter!r}'


def _stage_adapters(manifest):
    mistakes = []
    for path, stage in each_stage(manifest):
        text = _adapter_text(manifest, stage)
        if not text:
            continue
        reads = (f'{path}.model', f'models.{stage.model}.adapters')
        mistakes.append(Mistake(f'{path}.adapter', text, reads))
    return mistakes


def engine_mistakes(manifest):
    """Return a mistake for each model that can't be served as declared.

    Explanation
    ===========

    A model that is held nowhere gives one mistake, at the model; the stages
    that ask for it give none.
    """
    return [
        *_pool_models(manifest),
        *_unheld(manifest),
        *_too_large(manifest),
        *_stage_models(manifest),
        *_stage_adapters(manifest),
    ]
