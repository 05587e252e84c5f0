"""Data classes of the manifest."""

from dataclasses import dataclass, field

from pydantic import ConfigDict

from pollenstile.manifest._types import (
    Attempts,
    Cost,
    Count,
    Digest,
    Fencing,
    Milliseconds,
    Name,
    PoolKind,
    Ratio,
    Text,
    Urgency,
    Weight,
    WindowSeconds,
)

# Strict: `slots: true` or `weight: '4'` is rejected instead of converted.
_STRICT = ConfigDict(
    extra='forbid',
    strict=True,
    allow_inf_nan=False,
    str_strip_whitespace=True,
)


@dataclass(slots=True, frozen=True)
class Domain:
    """A failure domain.

    Parameters
    ==========

    region : str
        Region that contains the domain.
    """

    region: Name
    __pydantic_config__ = _STRICT


@dataclass(slots=True, frozen=True)
class Model:
    """A model that engines can load.

    Parameters
    ==========

    version : str
        The version to serve.
    memory_mb : int
        Accelerator memory that the weights occupy, in megabytes.
    adapters : list of str
        Adapters that can be loaded with the model.
    """

    version: Text
    memory_mb: Count = 1
    adapters: list[Name] = field(default_factory=list)
    __pydantic_config__ = _STRICT


@dataclass(slots=True, frozen=True)
class Upstream:
    """One server of a pool.

    Parameters
    ==========

    domain : str
        Failure domain that contains the upstream.
    address : str
        IP address and port, such as ``'127.0.0.1:9000'``.
    slots : int
        Number of calls that it runs concurrently.
    fencing : {'checked', 'ignored'}
        Whether it rejects an order with an outdated fencing number.
    memory_mb : int
        Accelerator memory, in megabytes; engines only.
    """

    domain: Name
    address: Text
    slots: Count = 8
    fencing: Fencing = 'ignored'
    memory_mb: Count = 80000
    __pydantic_config__ = _STRICT


@dataclass(slots=True, frozen=True)
class Pool:
    """Upstreams that serve the same calls.

    Parameters
    ==========

    kind : {'engine', 'stage', 'service'}
        Model engines stream their answers; stages and services return
        complete answers.
    upstreams : dict
        Mapping of names to :class:`Upstream`.
    models : list of str
        Models that the pool's engines hold; engines only.
    cost : float
        Cost of one second of one slot, in the operator's own unit.
    """

    kind: PoolKind
    upstreams: dict[Name, Upstream]
    models: list[Name] = field(default_factory=list)
    cost: Cost = 1.0
    __pydantic_config__ = _STRICT


@dataclass(slots=True, frozen=True)
class Stage:
    """One step of a pipeline.

    Parameters
    ==========

    name : str
        Name, unique in the pipeline; errors contain it.
    pool : str
        Pool that runs the stage.
    model : str
        Model that the call requests; engine pools only.
    adapter : str
        Adapter of the model that the call requests; none if empty.
    needs : list of str
        Stages whose results it reads; the preceding stage if empty.
    idempotent : bool
        Whether a call may be retried.
    attempts : int
        Maximum number of calls, including the first; 1 if not idempotent.
    hedge : bool
        Whether a straggling call is also sent to a second upstream;
        idempotent stages only.
    expect_ms : int
        Usual duration, in milliseconds, used until measured quantiles
        replace it.
    max_tokens : int
        Maximum number of tokens; engine pools only.
    """

    name: Name
    pool: Name
    model: str = ''
    adapter: str = ''
    needs: list[Name] = field(default_factory=list)
    idempotent: bool = True
    attempts: Attempts = 2
    hedge: bool = False
    expect_ms: Milliseconds = 100
    max_tokens: Count = 64
    __pydantic_config__ = _STRICT


@dataclass(slots=True, frozen=True)
class Pipeline:
    """A declared chain of stages.

    Parameters
    ==========

    deadline_ms : int
        Time from acceptance to the complete answer, in milliseconds.
    teams : list of str
        Teams that may call it.
    stages : list of Stage
        Stages in execution order; a non-idempotent stage must be the last.
    urgency : {'urgent', 'normal', 'batch'}
        Class by which admission control orders requests.
    idempotent : bool
        Whether a complete request may run twice.
    upstream_dedupes : bool
        Whether the non-idempotent upstream itself discards repeated keys.
    claim_window_s : int
        Time for which a key is remembered, in seconds.
    """

    deadline_ms: Milliseconds
    teams: list[Name]
    stages: list[Stage]
    urgency: Urgency = 'normal'
    idempotent: bool = True
    upstream_dedupes: bool = False
    claim_window_s: WindowSeconds = 86400
    __pydantic_config__ = _STRICT


@dataclass(slots=True, frozen=True)
class Team:
    """A caller.

    Parameters
    ==========

    key_digests : list of str
        SHA-256 of each valid key, 64 lowercase hexadecimal digits.
    weight : float
        Share of capacity relative to other teams.
    """

    key_digests: list[Digest]
    weight: Weight = 1.0
    __pydantic_config__ = _STRICT


@dataclass(slots=True, frozen=True)
class Policy:
    """Limits that apply to every entry host.

    Parameters
    ==========

    max_body_bytes : int
        Largest request body.
    max_queue : int
        Maximum number of requests that wait at one entry host.
    retry_ratio : float
        Retries and hedges allowed for each first attempt.
    silence_ms : int
        Gap in a stream, in milliseconds, after which another attempt is
        started beside it if one is allowed. The stream itself goes on.
    lame_duck_ms : int
        Time for which a leaving entry host still listens, in milliseconds.
    """

    max_body_bytes: Count = 262144
    max_queue: Count = 2000
    retry_ratio: Ratio = 0.1
    silence_ms: Milliseconds = 1000
    lame_duck_ms: Milliseconds = 2000
    __pydantic_config__ = _STRICT


@dataclass(slots=True, frozen=True)
class Manifest:
    """The complete configuration that operators declare.

    Parameters
    ==========

    name : str
        Name of the deployment.
    domains : dict
        Mapping of names to :class:`Domain`.
    pools : dict
        Mapping of names to :class:`Pool`.
    pipelines : dict
        Mapping of names to :class:`Pipeline`.
    teams : dict
        Mapping of names to :class:`Team`.
    models : dict
        Mapping of names to :class:`Model`.
    policy : Policy
        Limits of every entry host.
    """

    name: Name
    domains: dict[Name, Domain]
    pools: dict[Name, Pool]
    pipelines: dict[Name, Pipeline]
    teams: dict[Name, Team]
    models: dict[Name, Model] = field(default_factory=dict)
    policy: Policy = field(default_factory=Policy)
    __pydantic_config__ = _STRICT
