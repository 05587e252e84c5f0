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
        See :class:`~pollenstile.forward.SharedRetryBudget`.
    grace_seconds : float
        From the signal to stop until the process is killed.
    apply_seconds : float
        Within this time a change of the configuration is in force.
    leave_seconds : float
        Within this time an upstream that leaves gets nothing more.
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
    apply_seconds: float = 2.0
    leave_seconds: float = 2.0
    drain_seconds: float = 5.0
    capacity: float = 1.0
    peers_seen: tuple | None = None


# Share of the tightest bound on news after which a host reads the store itself:
# the rest is for the pause before that read, and for its answer.
_WORD_SHARE = 0.85


def word_seconds(settings):
    """Return seconds for which a host goes by what its reader knew.

    Examples
    ========

    >>> from pollenstile.forward import HostSettings
    >>> at = ('10.0.0.1', 1)
    >>> word_seconds(HostSettings('h', 'd', at, at, at, apply_seconds=4.0))
    1.7
    """
    return _WORD_SHARE * min(settings.apply_seconds, settings.leave_seconds)
