"""Checks of names that refer to another part of the manifest."""

from pollenstile.manifest._mistake import Mistake
from pollenstile.manifest._traversal import list_stages, list_upstreams


def duplicate_mistakes(path, names):
    """Return a mistake for each repeated name in a list."""
    mistakes = []
    seen = set()
    for index, name in enumerate(names):
        if name in seen:
            text = f'{name!r} is listed twice'
            mistakes.append(Mistake(f'{path}.{index}', text))
        seen.add(name)
    return mistakes


def _unknown_name(path, kind, name, section):
    return Mistake(path, f'no {kind} is named {name!r}', (section,))


def _stage_pool_mistakes(manifest):
    mistakes = []
    for path, stage in list_stages(manifest):
        if stage.pool in manifest.pools:
            continue
        mistakes.append(
            _unknown_name(f'{path}.pool', 'pool', stage.pool, 'pools')
        )
    return mistakes


def _name_list_mistakes(path, names, kind, known):
    """Return a mistake for each repeated and each unknown name in a list."""
    mistakes = list(duplicate_mistakes(path, names))
    for index, name in enumerate(names):
        if name in known:
            continue
        mistake = _unknown_name(f'{path}.{index}', kind, name, f'{kind}s')
        mistakes.append(mistake)
    return mistakes


def _pipeline_team_mistakes(manifest):
    mistakes = []
    for name, pipeline in manifest.pipelines.items():
        path = f'pipelines.{name}.teams'
        mistakes.extend(
            _name_list_mistakes(path, pipeline.teams, 'team', manifest.teams)
        )
    return mistakes


def _upstream_domain_mistakes(manifest):
    mistakes = []
    for path, upstream in list_upstreams(manifest):
        if upstream.domain in manifest.domains:
            continue
        path = f'{path}.domain'
        mistake = _unknown_name(path, 'domain', upstream.domain, 'domains')
        mistakes.append(mistake)
    return mistakes


def _pool_model_mistakes(manifest):
    mistakes = []
    for name, pool in manifest.pools.items():
        path = f'pools.{name}.models'
        mistakes.extend(
            _name_list_mistakes(path, pool.models, 'model', manifest.models)
        )
    return mistakes


def _adapter_list_mistakes(manifest):
    mistakes = []
    for name, model in manifest.models.items():
        mistakes.extend(
            duplicate_mistakes(f'models.{name}.adapters', model.adapters)
        )
    return mistakes


def reference_mistakes(manifest):
    """Return a mistake for each unknown and each repeated name."""
    return [
        *_stage_pool_mistakes(manifest),
        *_pipeline_team_mistakes(manifest),
        *_upstream_domain_mistakes(manifest),
        *_pool_model_mistakes(manifest),
        *_adapter_list_mistakes(manifest),
    ]
