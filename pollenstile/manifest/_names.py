"""Checks that names use the permitted alphabet.

Explanation
===========

Names are used in URLs, metric names, log lines and object names of the
platform. One narrow alphabet is safe in all of them.
"""

import re

from pollenstile.manifest._mistake import Mistake
from pollenstile.manifest._traversal import list_stages
from pollenstile.manifest._types import NAME_PATTERN

_NAME = re.compile(NAME_PATTERN.replace('$', r'\Z'))
_PROBLEM = 'is not a valid name: use 1 to 63 of a-z, 0-9 and -'
_SECTIONS = ('domains', 'models', 'pools', 'pipelines', 'teams')


def _mapping_keys(manifest):
    named = []
    for section in _SECTIONS:
        for name in getattr(manifest, section):
            named.append((f'{section}.{name}', name))
    for pool_name, pool in manifest.pools.items():
        for name in pool.upstreams:
            named.append((f'pools.{pool_name}.upstreams.{name}', name))
    return named


def _name_fields(manifest):
    named = [('name', manifest.name)]
    for domain_name, domain in manifest.domains.items():
        named.append((f'domains.{domain_name}.region', domain.region))
    for model_name, model in manifest.models.items():
        for index, adapter in enumerate(model.adapters):
            named.append((f'models.{model_name}.adapters.{index}', adapter))
    for path, stage in list_stages(manifest):
        named.append((f'{path}.name', stage.name))
    return named


def name_mistakes(manifest):
    """Return a mistake for each name outside the permitted alphabet."""
    mistakes = []
    named = _mapping_keys(manifest) + _name_fields(manifest)
    for path, name in named:
        if _NAME.match(name):
            continue
        mistakes.append(Mistake(path, f'{name!r} {_PROBLEM}'))
    return mistakes
