"""How a request ends: tagged outcomes."""

from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class Answered:
    """The whole answer.

    Parameters
    ==========

    output : object
        The last stage's result, of JSON's types.
    cost : dict
        Cost by stage, in the manifest's unit.
    """

    output: object
    cost: dict = field(default_factory=dict)
    tag = 'answered'


@dataclass(slots=True, frozen=True)
class Refused:
    """Not run: no stage of it was started.

    Parameters
    ==========

    status : int
        HTTP status to tell the caller.
    reason : str
        Why, in a few words.
    step, peer : str
        Where it arose.
    retry_after : float
        Seconds after which asking again makes sense; 0 for never.
    """

    status: int
    reason: str
    step: str = 'admission'
    peer: str = ''
    retry_after: float = 0.0
    tag = 'not-run'


@dataclass(slots=True, frozen=True)
class Failed:
    """Some stage ran, and there is no complete answer; safe to ask again."""

    reason: str
    step: str
    peer: str
    cost: dict = field(default_factory=dict)
    tag = 'failed'


@dataclass(slots=True, frozen=True)
class Unknown:
    """A non-idempotent stage may have run; its answer is not known.

    Parameters
    ==========

    reason : str
        Why, in a few words.
    step, peer : str
        Where it arose.
    cost : dict
        Cost by stage, in the manifest's unit.
    retry_after : float
        Seconds after which the answer may be known; 0 for never.
    status : int
        HTTP status to tell the caller; 0 for the usual one.
    """

    reason: str
    step: str
    peer: str
    cost: dict = field(default_factory=dict)
    retry_after: float = 0.0
    status: int = 0
    tag = 'unknown'
