"""Why a host may not send to an upstream."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Block:
    """A statement of an upstream that keeps a host from sending to it.

    Parameters
    ==========

    reason : str
        ``'leaving'``, ``'resting'`` or ``'limited'``.
    until : float or None
        Time on the clock at which it ends; None if that is not known.
    """

    reason: str
    until: float | None = None
