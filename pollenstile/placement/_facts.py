"""What the manifest says of one failure domain's engines."""

from dataclasses import dataclass

from pollenstile.placement._orders import Holding


@dataclass(slots=True, frozen=True)
class EngineFacts:
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
                engines[name] = EngineFacts(upstream, models)
    return engines


def wanted_holding(manifest, model):
    """Return the version and adapters of a model that are to be served."""
    declared = manifest.models[model]
    return Holding(declared.version, tuple(sorted(declared.adapters)))
