"""What callers of the example deployments ask, and how much is capacity."""

import math
from dataclasses import dataclass, replace

# Sampled times: a lognormal with this sigma around the mean.
_SIGMA = 0.25
_FIRST_TOKEN = 0.2
_TOKEN_GAP = 0.0075
# A chunk of the bench stands for so many tokens: fewer events, same times.
_TOKENS_A_CHUNK = 16


@dataclass(slots=True, frozen=True)
class Flow:
    """Requests of one team to one pipeline.

    Parameters
    ==========

    team, pipeline : str
        As declared.
    share : float
        Of all requests, relative to other flows.
    """

    team: str
    pipeline: str
    share: float


@dataclass(slots=True, frozen=True)
class Mix:
    """A deployment's load.

    Parameters
    ==========

    flows : tuple of Flow
        All that is asked on a busy morning.
    small : tuple of str
        Teams whose attainment a flood must not touch.
    flooder : str
        The team that floods.
    straggler : str
        The engine that turns slow.
    client_latency : float
        Between callers and entry hosts one way, in seconds.
    """

    flows: tuple
    small: tuple
    flooder: str
    straggler: str
    client_latency: float


MIXES = {
    'kowalczyk': Mix(
        (
            Flow('dispatchers', 'draft-ticket', 10),
            Flow('dispatchers', 'file-ticket', 6),
            Flow('dispatchers', 'tag-urgency', 8),
            Flow('crew-leads', 'draft-ticket', 6),
            Flow('crew-leads', 'file-ticket', 3),
            Flow('crew-leads', 'summarise-history', 14),
            Flow('intake-desk', 'draft-ticket', 3),
            Flow('intake-desk', 'tag-urgency', 4),
            Flow('intake-desk', 'answer-portal', 5),
            Flow('associations', 'tag-urgency', 3),
            Flow('associations', 'summarise-history', 6),
            Flow('associations', 'answer-portal', 12),
            Flow('invoicing-office', 'summarise-history', 3),
        ),
        ('intake-desk', 'associations', 'invoicing-office'),
        'crew-leads',
        'drafters-erie-hall-1',
        0.001,
    ),
    'liwanag': Mix(
        (
            Flow('salons', 'start-session', 30),
            Flow('salons', 'log-minutes', 25),
            Flow('front-desks', 'reconcile-day', 10),
            Flow('front-desks', 'answer-member', 12),
            Flow('front-desks', 'tag-complaint', 8),
            Flow('member-app', 'start-session', 8),
            Flow('member-app', 'answer-member', 8),
            Flow('hotline-desk', 'answer-member', 6),
            Flow('hotline-desk', 'tag-complaint', 4),
            Flow('accounting', 'reconcile-day', 3),
        ),
        ('member-app', 'hotline-desk', 'accounting'),
        'front-desks',
        'assistants-manila-a-1',
        0.003,
    ),
}


def stage_seconds(stage, kind):
    """Return a stage's mean time in one slot, in seconds."""
    if kind != 'engine':
        return stage.expect_ms / 1000
    return _FIRST_TOKEN + chunks(stage.max_tokens) * chunk_gap()


def chunk_gap():
    """Return mean seconds between two chunks."""
    return _TOKEN_GAP * _TOKENS_A_CHUNK


def chunks(tokens):
    """Return the chunks that stand for a number of tokens."""
    return max(1, math.ceil(tokens / _TOKENS_A_CHUNK))


def sampled(rng, mean):
    """Return a time around a mean."""
    return mean * math.exp(rng.gauss(-_SIGMA * _SIGMA / 2, _SIGMA))


def first_token(rng):
    """Return seconds until the first chunk."""
    return sampled(rng, _FIRST_TOKEN)


def demand(manifest, flows):
    """Return slot seconds of each pool that an average request takes."""
    total = sum(flow.share for flow in flows)
    needed = {}
    for flow in flows:
        for stage in manifest.pipelines[flow.pipeline].stages:
            kind = manifest.pools[stage.pool].kind
            took = stage_seconds(stage, kind) * flow.share / total
            needed[stage.pool] = needed.get(stage.pool, 0) + took
    return needed


def capacity(manifest, flows):
    """Return requests a second at which the busiest pool has no free slot."""
    rates = []
    for name, needed in demand(manifest, flows).items():
        upstreams = manifest.pools[name].upstreams.values()
        slots = sum(upstream.slots for upstream in upstreams)
        rates.append(slots / needed)
    return min(rates)


def bench_manifest(manifest, *, hedge):
    """Return a manifest in chunks, with hedges at idempotent stages or none."""
    pipelines = {}
    for name, pipeline in manifest.pipelines.items():
        stages = []
        for stage in pipeline.stages:
            stages.append(
                replace(
                    stage,
                    hedge=hedge and stage.idempotent,
                    max_tokens=chunks(stage.max_tokens),
                ),
            )
        pipelines[name] = replace(pipeline, stages=stages)
    return replace(manifest, pipelines=pipelines)
