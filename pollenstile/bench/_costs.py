"""What simulated hosts spend while time passes."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Costs:
    """Costs of a period.

    Parameters
    ==========

    host_bytes : float
        Bytes sent to peers per host.
    calls : int
        Store calls of all hosts.
    """

    host_bytes: float
    calls: int


def measure_costs(fleet, advance):
    """Return the :class:`Costs` of a period.

    Parameters
    ==========

    advance : function
        Advances the virtual clock over the period.
    """
    hubs = [host.daemon.parts.hub for host in fleet.running()]
    before = sum(hub.bytes_sent() for hub in hubs)
    calls = fleet.calls()
    advance()
    sent = sum(hub.bytes_sent() for hub in hubs) - before
    return Costs(sent / len(hubs), fleet.calls() - calls)
