"""Tagged outcomes of a request."""

from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class Answered:
    """The request has a complete answer.

    Parameters
    ==========

    output : object
        Result of the last stage, as JSON values.
    cost : dict
        Cost by stage, in the manifest's unit.
    """

    output: object
    cost: dict = field(default_factory=dict)
    tag = 'answered'


@dataclass(slots=True, frozen=True)
class Refused:
    """The request was refused before any stage was started.

    Parameters
    ==========

    status : int
        HTTP status to return to the caller.
    reason : str
        Short reason for the refusal.
    step, peer : str
        Stage and peer that refused.
    retry_after : float
        Seconds after which the caller may retry; 0 if it should not.
    """

    status: int
    reason: str
    step: str = 'admission'
    peer: str = ''
    retry_after: float = 0.0
    tag = 'not-run'


@dataclass(slots=True, frozen=True)
class Failed:
    """Some stage ran without a complete answer; a retry is safe."""

    reason: str
    step: str
    peer: str
    cost: dict = field(default_factory=dict)
    tag = 'failed'


@dataclass(slots=True, frozen=True)
class Unknown:
    """A non-idempotent stage may have run; its result is unknown.

    Parameters
    ==========

    reason : str
        Short reason.
    step, peer : str
        Stage and peer where the result was lost.
    cost : dict
        Cost by stage, in the manifest's unit.
    retry_after : float
        Seconds after which the result may be known; 0 for never.
    status : int
        HTTP status to return to the caller; 0 for the default one.
    """

    reason: str
    step: str
    peer: str
    cost: dict = field(default_factory=dict)
    retry_after: float = 0.0
    status: int = 0
    tag = 'unknown'
