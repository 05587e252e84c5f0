"""Engines of one failure domain as the manifest declares them."""

from dataclasses import dataclass

from pollenstile.placement._orders import Holding


@dataclass(slots=True, frozen=True)
class EngineSpec:
    """One engine as declared.

    Parameters
    ==========

    upstream : Upstream
        Address, memory and fencing.
    models : tuple of str
        Models of its pool, any of which it may hold.
    """

    upstream: object
    models: tuple[str, ...]


def domain_engines(manifest, domain):
    """Return the engines of a failure domain, by name."""
    engines = {}
    for pool in manifest.pools.values():
        if pool.kind != 'engine':
            continue
        models = tuple(sorted(pool.models))
        for name, upstream in pool.upstreams.items():
            if upstream.domain == domain:
                engines[name] = EngineSpec(upstream, models)
    return engines


def declared_holding(manifest, model):
    """Return the version and adapters that the manifest sets for a model."""
    declared = manifest.models[model]
    return Holding(declared.version, tuple(sorted(declared.adapters)))
