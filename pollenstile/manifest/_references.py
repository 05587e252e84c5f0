"""Checks of names that refer to something declared elsewhere."""

from pollenstile.manifest._mistake import Mistake
from pollenstile.manifest._walk import each_stage, each_upstream


def named_twice(path, names):
    """Return a mistake for each name that stands in a list already."""
    mistakes = []
    seen = set()
    for place, name in enumerate(names):
        if name in seen:
            text = f'{name!r} is named twice'
            mistakes.append(Mistake(f'{path}.{place}', text))
        seen.add(name)
    return mistakes


def _unknown(path, kind, name, section):
    return Mistake(path, f'no {kind} is named {name!r}', (section,))


def _pools(manifest):
    mistakes = []
    for path, stage in each_stage(manifest):
        if stage.pool in manifest.pools:
            continue
        mistakes.append(_unknown(f'{path}.pool', 'pool', stage.pool, 'pools'))
    return mistakes


def _listed(path, names, kind, known):
    """Return mistakes of a list of names: said twice, or not known."""
    mistakes = list(named_twice(path, names))
    for place, name in enumerate(names):
        if name in known:
            continue
        found = _unknown(f'{path}.{place}', kind, name, f'{kind}s')
        mistakes.append(found)
    return mistakes


def _teams(manifest):
    mistakes = []
    for name, pipeline in manifest.pipelines.items():
        path = f'pipelines.{name}.teams'
        mistakes.extend(_listed(path, pipeline.teams, 'team', manifest.teams))
    return mistakes


def _domains(manifest):
    mistakes = []
    for path, upstream in each_upstream(manifest):
        if upstream.domain in manifest.domains:
            continue
        path = f'{path}.domain'
        found = _unknown(path, 'domain', upstream.domain, 'domains')
        mistakes.append(found)
    return mistakes


def _models(manifest):
    mistakes = []
    for name, pool in manifest.pools.items():
        path = f'pools.{name}.models'
        mistakes.extend(_listed(path, pool.models, 'model', manifest.models))
    return mistakes


def _adapters(manifest):
    mistakes = []
    for name, model in manifest.models.items():
        mistakes.extend(named_twice(f'models.{name}.adapters', model.adapters))
    return mistakes


def reference_mistakes(manifest):
    """Return a mistake for each unknown name and each name given twice."""
    return [
        *_pools(manifest),
        *_teams(manifest),
        *_domains(manifest),
        *_models(manifest),
        *_adapters(manifest),
    ]
