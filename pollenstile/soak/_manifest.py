"""Manifest of the small deployment that soaks run."""

from dataclasses import replace

from pollenstile.manifest import (
    Domain,
    Manifest,
    Model,
    Pipeline,
    Policy,
    Pool,
    Stage,
    Team,
    Upstream,
)

DOMAINS = ('north', 'south', 'west')
TEAM = 'callers'
# Pipelines whose last stage has side effects.
NON_IDEMPOTENT = ('book', 'order')
TOKENS = 8
DRAFT_ATTEMPTS = 3

_TEAM_DIGEST = 'ab' * 32
_UPSTREAM_SLOTS = 4
_FIRST_PORT = 9000


def _pool(name, kind, position, **fields):
    upstreams = {}
    for number, domain in enumerate(DOMAINS):
        port = _FIRST_PORT + position * len(DOMAINS) + number
        upstreams[f'{name}-{domain}'] = Upstream(
            domain,
            f'127.0.0.1:{port}',
            _UPSTREAM_SLOTS,
        )
    return Pool(kind, upstreams, **fields)


def _generate(**fields):
    return Stage(
        'generate',
        'engines',
        model='writer',
        expect_ms=150,
        max_tokens=TOKENS,
        **fields,
    )


def _non_idempotent():
    return Stage('book', 'desk', idempotent=False, attempts=1, expect_ms=40)


def _pipelines(attempts):
    encode = Stage('encode', 'encoders', hedge=True, expect_ms=30, attempts=3)
    lookup = Stage('lookup', 'encoders', expect_ms=30)
    teams = [TEAM]
    return {
        'draft': Pipeline(1500, teams, [_generate(attempts=attempts)]),
        'answer': Pipeline(2000, teams, [encode, lookup, _generate()]),
        'find': Pipeline(800, teams, [encode], urgency='urgent'),
        'book': Pipeline(
            1000, teams, [_non_idempotent()], 'urgent', idempotent=False
        ),
        'order': Pipeline(
            2500, teams, [encode, _non_idempotent()], idempotent=False
        ),
    }


def soak_manifest(revision=0, attempts=DRAFT_ATTEMPTS):
    """Return the manifest; the deadline of one pipeline varies by revision.

    Parameters
    ==========

    revision : int
        Number of the configuration.
    attempts : int
        Most attempts of the stage of the pipeline ``draft``.

    Examples
    ========

    >>> from pollenstile.soak._manifest import soak_manifest
    >>> soak_manifest(1).pipelines['draft'].deadline_ms
    1510
    """
    pipelines = _pipelines(attempts)
    draft = pipelines['draft']
    pipelines['draft'] = replace(
        draft,
        deadline_ms=draft.deadline_ms + 10 * (revision % 60),
    )
    return Manifest(
        'soak',
        {domain: Domain('here') for domain in DOMAINS},
        {
            'encoders': _pool('encoders', 'stage', 0),
            'engines': _pool('engines', 'engine', 1, models=['writer']),
            'desk': _pool('desk', 'service', 2),
        },
        pipelines,
        {TEAM: Team([_TEAM_DIGEST])},
        {'writer': Model('1')},
        Policy(silence_ms=300, retry_ratio=0.5),
    )
