"""What callers and upstreams have seen of a live run."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class RequestRecord:
    """One request of a caller.

    Parameters
    ==========

    ident : str
        The attempt that it names.
    kind : str
        Name of its route.
    host : str
        Where it went.
    key : str
        That it carried.
    sent_at : float
        On the clock; 0 until it is sent whole.
    deadline : float
        Seconds.
    content : str
        What is asked; requests that repeat one another share it.

    Attributes
    ==========

    status : int
        Of its final answer; 0 when its connection ended without one.
    body : bytes
        As far as it came.
    whole : bool
        Whether the answer said of itself that it is whole.
    ended_at : float
        On the clock; 0 while it is under way.
    """

    ident: str
    kind: str
    host: str
    key: str
    sent_at: float
    deadline: float
    content: str = ''
    status: int = 0
    body: bytes = b''
    complete: bool = False
    ended_at: float = 0.0


@dataclass(slots=True, frozen=True)
class RunRecord:
    """One run of a request, or of a piece, at an upstream."""

    ident: str
    upstream: str
    at: float
    team: str = ''


@dataclass(slots=True, frozen=True)
class Fault:
    """One thing that was done.

    Parameters
    ==========

    subject : str
        Name of the host, the upstream's incarnation, ``'store'`` or
        ``'configuration'``.
    """

    at: float
    subject: str
    text: str


@dataclass(slots=True)
class Drain:
    """A failure domain was drained: when the store took it, and its end."""

    domain: str
    began: float
    ended: float = 0.0


@dataclass(slots=True)
class Records:
    """All of a run.

    Attributes
    ==========

    asked : list of Asked
        In the order in which they were sent.
    ran : list of Ran
        In the order in which they arrived.
    left_at : dict
        When the store took an upstream's word that it leaves.
    revoked_at : dict
        When the store took a configuration without a key.
    drains : list of Drain
        In the order in which they began.
    upstreams : dict
        Failure domain of each upstream, and until when it was cold.
    faults : list of Fault
        What was done, in order.
    ended_by : list of tuple
        When a request has ended its upstream, and its content.
    calm_from : float
        From then on there is no fault; 0 before.
    broken : list of str
        What was seen that must not be.
    """

    requests: list = field(default_factory=list)
    runs: list = field(default_factory=list)
    left_at: dict = field(default_factory=dict)
    revoked_at: dict = field(default_factory=dict)
    drains: list = field(default_factory=list)
    upstreams: dict = field(default_factory=dict)
    faults: list = field(default_factory=list)
    crashes: list = field(default_factory=list)
    broken: list = field(default_factory=list)
    calm_from: float = 0.0

    def runs_by_ident(self):
        """Return runs by the request that they belong to."""
        found = {}
        for one in self.runs:
            found.setdefault(one.ident, []).append(one)
        return found
