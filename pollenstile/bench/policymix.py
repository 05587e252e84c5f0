"""Define the request mix and the capacity of the example deployments."""

import math
from dataclasses import dataclass, replace

# Times are drawn from a lognormal distribution with this sigma.
_SIGMA = 0.25
_FIRST_TOKEN_SECONDS = 0.2
_TOKEN_GAP_SECONDS = 0.0075
# Tokens per simulated chunk; fewer events than one for each token, equal times.
_CHUNK_TOKENS = 16


@dataclass(slots=True, frozen=True)
class Flow:
    """Requests of one team to one pipeline.

    Parameters
    ==========

    team, pipeline : str
        Names as declared in the manifest.
    share : float
        Weight of this flow relative to other flows.
    """

    team: str
    pipeline: str
    share: float


@dataclass(slots=True, frozen=True)
class Mix:
    """Request mix of a deployment.

    Parameters
    ==========

    flows : tuple of Flow
        The flows of a busy morning.
    small : tuple of str
        Teams whose attainment a flood of another team must not reduce.
    flooder : str
        The team that sends the flood.
    straggler : str
        The engine that becomes slow.
    client_latency : float
        One-way latency between callers and entry hosts, in seconds.
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
    """Return the mean time of a stage in a slot, in seconds."""
    if kind != 'engine':
        return stage.expect_ms / 1000
    return _FIRST_TOKEN_SECONDS + chunks(stage.max_tokens) * chunk_gap()


def chunk_gap():
    """Return the mean time between two chunks, in seconds."""
    return _TOKEN_GAP_SECONDS * _CHUNK_TOKENS


def chunks(tokens):
    """Return the number of chunks that represent a number of tokens."""
    return max(1, math.ceil(tokens / _CHUNK_TOKENS))


def sampled(rng, mean):
    """Return a random time with a given mean."""
    return mean * math.exp(rng.gauss(-_SIGMA * _SIGMA / 2, _SIGMA))


def first_token(rng):
    """Return a random time until the first chunk, in seconds."""
    return sampled(rng, _FIRST_TOKEN_SECONDS)


def demand(manifest, flows):
    """Return the slot seconds of an average request, by pool."""
    total = sum(flow.share for flow in flows)
    needed = {}
    for flow in flows:
        for stage in manifest.pipelines[flow.pipeline].stages:
            kind = manifest.pools[stage.pool].kind
            took = stage_seconds(stage, kind) * flow.share / total
            needed[stage.pool] = needed.get(stage.pool, 0) + took
    return needed


def capacity(manifest, flows):
    """Return the requests per second at which the busiest pool is saturated."""
    rates = []
    for name, needed in demand(manifest, flows).items():
        upstreams = manifest.pools[name].upstreams.values()
        slots = sum(upstream.slots for upstream in upstreams)
        rates.append(slots / needed)
    return min(rates)


def bench_manifest(manifest, *, hedge):
    """Return a manifest for the benchmark.

    Explanation
    ===========

    ``max_tokens`` counts chunks instead of tokens.

    Parameters
    ==========

    hedge : bool
        Whether idempotent stages are hedged.
    """
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
