"""What is ordered of an engine and what it answers.

Explanation
===========

An order is the whole wanted end, not a change: what the engine is to hold.
So an order may be sent again, and one whose answer was lost is settled by
reading the engine's state.
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
        Adapters loaded beside it, sorted.
    """

    version: str
    adapters: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class Order:
    """What an engine is to hold from now on.

    Parameters
    ==========

    ident : str
        Unique, for the logs of both ends.
    fence : int
        Fencing number of the sender.
    models : dict
        Model to :class:`Holding`; all others are unloaded.
    role : {'both', 'prefill', 'decode'}
        What the engine does.
    """

    ident: str
    fence: int
    models: dict[str, Holding]
    role: str = ANY_ROLE


@dataclass(slots=True, frozen=True)
class EngineState:
    """What an engine holds and does now.

    Parameters
    ==========

    incarnation : str
        Changes when the process behind the address changes.
    fence : int
        Highest fencing number taken; 0 before the first.
    models : dict
        Model to :class:`Holding`, ready for calls.
    loading : dict
        The same, not ready yet.
    running : dict
        Model to its calls that run or wait.
    role : str
        As ordered last.
    """

    incarnation: str
    fence: int = 0
    models: dict[str, Holding] = field(default_factory=dict)
    loading: dict[str, Holding] = field(default_factory=dict)
    running: dict[str, int] = field(default_factory=dict)
    role: str = ANY_ROLE


@dataclass(slots=True, frozen=True)
class Applied:
    """The engine took the order."""

    state: EngineState


@dataclass(slots=True, frozen=True)
class Refused:
    """The engine did nothing.

    Parameters
    ==========

    reason : str
        ``'old-fence'``, ``'memory'``, or another.
    fence : int
        The highest fencing number that the engine has taken.
    """

    reason: str
    fence: int = 0


@dataclass(slots=True, frozen=True)
class Lost:
    """No answer: the order may have been taken, or may be later."""

    step: str
    peer: str
    reason: str
