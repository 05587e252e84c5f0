"""What an entry host is told at its start."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class HostSettings:
    """Where a host listens, and the bounds it keeps.

    Parameters
    ==========

    host, domain : str
        Names of host and failure domain.
    callers, ready, peers : tuple
        IP number and port: for callers, the balancer's question, and peers.
    peers_seen : tuple or None
        Where peers reach this host, if not at ``peers``.
    metrics : tuple or None
        IP number and port of the measures; None serves none.
    revoke_seconds : float
        Within this time a key that was taken away stops working.
    repeat_ratio, repeat_slack, repeat_window : float
        See :class:`~pollenstile.forward.RepeatBudget`.
    grace_seconds : float
        From the signal to stop until the process is killed.
    drain_seconds : float
        Within this time a failure domain that was drained gets nothing more.
    capacity : float
        Cores of the host; larger hosts take the shared work first.
    """

    host: str
    domain: str
    callers: tuple
    ready: tuple
    peers: tuple
    metrics: tuple | None = None
    revoke_seconds: float = 5.0
    repeat_ratio: float = 0.1
    repeat_slack: float = 10.0
    repeat_window: float = 10.0
    grace_seconds: float = 8.0
    drain_seconds: float = 5.0
    capacity: float = 1.0
    peers_seen: tuple | None = None
