"""Settings of a forwarding entry host."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class HostSettings:
    """Addresses and time bounds of a host.

    Parameters
    ==========

    host, domain : str
        Names of the host and of its failure domain.
    callers, ready, peers : tuple
        IP address and port on which the host listens for callers, for the load
        balancer's readiness checks, and for peers.
    peers_seen : tuple or None
        Address at which peers reach this host, if it differs from ``peers``.
    metrics : tuple or None
        IP address and port of the metrics endpoint; None disables it.
    revoke_seconds : float
        Time within which a revoked key must stop working.
    repeat_ratio, repeat_slack, repeat_window : float
        See :class:`~pollenstile.forward.SharedRetryBudget`.
    grace_seconds : float
        Time from the signal to stop until the process is killed.
    apply_seconds : float
        Time within which a change of the configuration must be in force.
    leave_seconds : float
        Time after which an upstream that leaves must get no new work.
    drain_seconds : float
        Time after which a drained failure domain must get no new work.
    capacity : float
        Number of cores; larger hosts are preferred for shared work.
    tunnels : tuple or None
        IP address and port at which peers pick up connections to upstreams
        that the host opens for them; None opens none.
    descriptors : int
        Descriptors that the process may open; 0 if unknown.
    return_times : bool
        Whether graded stage queues promise refused callers a time to return.
    engine_speeds : bool
        Whether measured speeds and reported slowdowns decide on engines.
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
    tunnels: tuple | None = None
    descriptors: int = 0
    return_times: bool = False
    engine_speeds: bool = False


# Share of the tightest bound on applying changes after which a host reads the
# store itself. The rest allows for the pause before that read and for its
# answer.
_UPDATE_SHARE = 0.85


def update_seconds(settings):
    """Return the seconds for which a host uses an update of its reader.

    Examples
    ========

    >>> from pollenstile.forward import HostSettings
    >>> at = ('10.0.0.1', 1)
    >>> update_seconds(HostSettings('h', 'd', at, at, at, apply_seconds=4.0))
    1.7
    """
    return _UPDATE_SHARE * min(settings.apply_seconds, settings.leave_seconds)
