"""Checks across a manifest's fields."""

from pollenstile.manifest._mistake import Mistake


def _unknown_pools(manifest):
    mistakes = []
    for name, pipeline in manifest.pipelines.items():
        for place, stage in enumerate(pipeline.stages):
            if stage.pool in manifest.pools:
                continue
            path = f'pipelines.{name}.stages.{place}.pool'
            mistakes.append(Mistake(path, f'no pool is named {stage.pool!r}'))
    return mistakes


def semantic_mistakes(manifest):
    """Return every mistake that shows only across fields.

    Parameters
    ==========

    manifest : Manifest
        Decoded and well typed.

    Returns
    =======

    list of Mistake
        Empty when the manifest can be served.
    """
    return _unknown_pools(manifest)
