"""Orders to an engine, its answers and its state.

Explanation
===========

An order states all the models that the engine is to hold, not a change.
Orders are therefore idempotent: an order may be sent again, and after a lost
answer the engine's state shows whether the order was applied.
"""

from dataclasses import dataclass, field

ORDER_PATH = '/v1/placement'
ANY_ROLE = 'both'


@dataclass(slots=True, frozen=True)
class Holding:
    """One model as an engine holds it.

    Parameters
    ==========

    version : str
        Version of the weights.
    adapters : tuple of str
        Adapters loaded with the model, sorted.
    """

    version: str
    adapters: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class Order:
    """Models that an engine is to hold from now on.

    Parameters
    ==========

    ident : str
        Unique name for the logs of sender and engine.
    fence : int
        Fencing number of the sender.
    models : dict
        Model to :class:`Holding`. All other models are unloaded.
    role : {'both', 'prefill', 'decode'}
        Work that the engine is to do.
    """

    ident: str
    fence: int
    models: dict[str, Holding]
    role: str = ANY_ROLE


@dataclass(slots=True, frozen=True)
class EngineState:
    """Models and calls of an engine now.

    Parameters
    ==========

    incarnation : str
        Changes when the process behind the address changes.
    fence : int
        Highest fencing number accepted; 0 before the first order.
    models : dict
        Model to :class:`Holding`, for models that are ready for calls.
    loading : dict
        Model to :class:`Holding`, for models that are not ready yet.
    running : dict
        Model to the number of its calls that run or wait.
    role : str
        Role of the last order.
    """

    incarnation: str
    fence: int = 0
    models: dict[str, Holding] = field(default_factory=dict)
    loading: dict[str, Holding] = field(default_factory=dict)
    running: dict[str, int] = field(default_factory=dict)
    role: str = ANY_ROLE


@dataclass(slots=True, frozen=True)
class Applied:
    """The engine accepted the order."""

    state: EngineState


@dataclass(slots=True, frozen=True)
class Refused:
    """The engine refused the order and changed nothing.

    Parameters
    ==========

    reason : str
        ``'old-fence'``, ``'memory'`` or another reason.
    fence : int
        Highest fencing number that the engine has accepted.
    """

    reason: str
    fence: int = 0


@dataclass(slots=True, frozen=True)
class Lost:
    """There was no answer. The engine may have applied the order or may yet."""

    step: str
    peer: str
    reason: str
