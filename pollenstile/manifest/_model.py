"""The manifest's plain data classes."""

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
    Window,
)

# Strict, so that `slots: true` or `weight: '4'` is a mistake and not a guess.
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
        The region it lies in.
    """

    region: Name
    __pydantic_config__ = _STRICT


@dataclass(slots=True, frozen=True)
class Model:
    """A model that engines load.

    Parameters
    ==========

    version : str
        The version to serve.
    memory_mb : int
        Accelerator memory that the weights take, in megabytes.
    adapters : list of str
        Adapters that may be loaded beside it.
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
        Failure domain it stands in.
    address : str
        IP number and port, ``'127.0.0.1:9000'``.
    slots : int
        Calls it runs side by side.
    fencing : {'checked', 'ignored'}
        Whether it refuses an order with an old fencing number.
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
        Model engines stream; stages and services answer whole.
    upstreams : dict
        Name to :class:`Upstream`.
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
        Unique in its pipeline; errors carry it.
    pool : str
        The pool that serves it.
    model : str
        Model to ask for; engine pools only.
    adapter : str
        Adapter of the model to ask for; none when empty.
    needs : list of str
        Stages whose results it reads; the stage before it when empty.
    idempotent : bool
        Whether a call may be sent again.
    attempts : int
        Calls at most, the first included; 1 when not idempotent.
    hedge : bool
        Whether a straggling call is sent to a second upstream as well;
        idempotent stages only.
    expect_ms : int
        Usual time, in milliseconds, until measured quantiles replace it.
    max_tokens : int
        Tokens at most; engine pools only.
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
        Time from acceptance to the whole answer, in milliseconds.
    teams : list of str
        Teams that may call it.
    stages : list of Stage
        In the order in which they run; a non-idempotent one is the last.
    urgency : {'urgent', 'normal', 'batch'}
        Class that admission orders by.
    idempotent : bool
        Whether a whole request may run twice.
    upstream_dedupes : bool
        Whether the non-idempotent upstream itself drops repeats of a key.
    claim_window_s : int
        How long a key is remembered, in seconds.
    """

    deadline_ms: Milliseconds
    teams: list[Name]
    stages: list[Stage]
    urgency: Urgency = 'normal'
    idempotent: bool = True
    upstream_dedupes: bool = False
    claim_window_s: Window = 86400
    __pydantic_config__ = _STRICT


@dataclass(slots=True, frozen=True)
class Team:
    """A caller.

    Parameters
    ==========

    key_digests : list of str
        SHA-256 of each valid key, 64 lowercase hexadecimal digits.
    weight : float
        Its share of capacity beside other teams.
    """

    key_digests: list[Digest]
    weight: Weight = 1.0
    __pydantic_config__ = _STRICT


@dataclass(slots=True, frozen=True)
class Policy:
    """Limits that hold for every entry host.

    Parameters
    ==========

    max_body_bytes : int
        Largest request body.
    max_queue : int
        Requests that one entry host keeps waiting at most.
    retry_ratio : float
        Retries and hedges allowed for each first attempt.
    silence_ms : int
        Longest gap in a stream or between heartbeats, in milliseconds.
    lame_duck_ms : int
        Time a leaving entry host still listens, in milliseconds.
    """

    max_body_bytes: Count = 262144
    max_queue: Count = 2000
    retry_ratio: Ratio = 0.1
    silence_ms: Milliseconds = 1000
    lame_duck_ms: Milliseconds = 2000
    __pydantic_config__ = _STRICT


@dataclass(slots=True, frozen=True)
class Manifest:
    """Everything that operators declare.

    Parameters
    ==========

    name : str
        Name of the deployment.
    domains : dict
        Name to :class:`Domain`.
    pools : dict
        Name to :class:`Pool`.
    pipelines : dict
        Name to :class:`Pipeline`.
    teams : dict
        Name to :class:`Team`.
    models : dict
        Name to :class:`Model`.
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
