"""Records of callers and upstreams in a live run."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class RequestRecord:
    """One request of a caller.

    Parameters
    ==========

    ident : str
        Attempt identifier that the request carries.
    kind : str
        Name of the route.
    host : str
        Host that the request was sent to.
    key : str
        Key that the request carries.
    sent_at : float
        Clock time at which it was sent.
    deadline : float
        Deadline relative to ``sent_at``, in seconds.
    content : str
        Content of the request; repeats of a request share it.
    resumes : RequestRecord or None
        The request that brought the first events of a stream which this one
        takes up.
    after : int
        Number of the last event that its caller has; 0 for a new request.

    Attributes
    ==========

    status : int
        Status of the final answer; 0 when the connection ended without one.
    body : bytes
        Received part of the body; only the first bytes of a very long one.
    received_bytes : int
        Length of all that was received of it.
    complete : bool
        Whether the answer was properly terminated.
    gave_up : bool
        Whether its caller closed the connection, for lack of an answer.
    is_first : bool
        Whether it was the first one on its connection.
    is_unread : bool
        Whether its connection found no process of the host, which was not up
        or had been told to stop.
    ended_at : float
        Clock time at which the request ended; 0 while it is in progress.
    """

    ident: str
    kind: str
    host: str
    key: str
    sent_at: float
    deadline: float
    content: str = ''
    resumes: object = None
    after: int = 0
    status: int = 0
    body: bytes = b''
    received_bytes: int = 0
    complete: bool = False
    gave_up: bool = False
    is_first: bool = False
    is_unread: bool = False
    ended_at: float = 0.0


@dataclass(slots=True, frozen=True)
class RunRecord:
    """One run of a request, or of a piece, at an upstream.

    Parameters
    ==========

    work : list of float
        Clock times at which it wrote a part of its answer.
    """

    ident: str
    upstream: str
    at: float
    team: str = ''
    work: list = field(default_factory=list)


@dataclass(slots=True)
class Silence:
    """Time for which an upstream stood still, to go on where it was.

    Explanation
    ===========

    ``ended`` is infinite until it goes on; one that hangs never does.
    """

    upstream: str
    began: float
    ended: float = float('inf')


@dataclass(slots=True, frozen=True)
class Fault:
    """One injected fault, planned change or end of a fault.

    Parameters
    ==========

    subject : str
        Name of the host, the upstream's incarnation, ``'store'`` or
        ``'configuration'``.
    """

    at: float
    subject: str
    text: str


@dataclass(slots=True, frozen=True)
class HostStop:
    """SIGTERM of a host that requests may outlast, and its grace in seconds."""

    host: str
    at: float
    grace: float


@dataclass(slots=True)
class Overload:
    """Time for which a host, by its log, closed a share of new connections.

    Explanation
    ===========

    ``ended`` is infinite until it accepts all again.

    Parameters
    ==========

    closed : int
        Connections that it has closed before their requests were read.
    """

    host: str
    began: float
    ended: float = float('inf')
    closed: int = 0


@dataclass(slots=True)
class Endless:
    """Time for which an upstream answered with bytes that never end.

    Parameters
    ==========

    form : str
        What the bytes are.
    is_alone : bool
        Whether no other upstream of its service did.
    """

    upstream: str
    form: str
    is_alone: bool
    began: float
    ended: float = float('inf')


@dataclass(slots=True)
class EndlessAnswer:
    """One answer with bytes that never end.

    Explanation
    ===========

    ``closed`` is infinite until the host closes its end of the connection, and
    ``ended`` until the upstream is told so, which no silent connection does.
    """

    ident: str
    upstream: str
    form: str
    began: float
    closed: float = float('inf')
    ended: float = float('inf')
    sent_bytes: int = 0


@dataclass(slots=True)
class EndedAnswer:
    """One answer that ends in an unusual way.

    Parameters
    ==========

    ident : str
        The request that was answered.
    upstream : str
        Incarnation that answered.
    kind : str
        How it ends, in ``SCRIPTS``.
    began : float
        Clock time at which it began.
    is_sent : bool
        Whether all of it was sent.
    """

    ident: str
    upstream: str
    kind: str
    began: float
    is_sent: bool = False


@dataclass(slots=True)
class Drain:
    """Drain of a failure domain: times of its start and its end.

    Explanation
    ===========

    The times are those at which the store accepted the writes. ``ended`` is 0
    while the domain is drained.
    """

    domain: str
    began: float
    ended: float = 0.0


@dataclass(slots=True)
class RateLimit:
    """Time for which an upstream stated a request rate in its answers.

    Explanation
    ===========

    ``ended`` is 0 while it does.
    """

    upstream: str
    rate: float
    began: float
    ended: float = 0.0


@dataclass(slots=True, frozen=True)
class Withdrawal:
    """An answer by which an upstream wants no more requests of a host.

    Parameters
    ==========

    ident : str
        The request that was answered.
    upstream : str
        Incarnation that answered.
    at : float
        Clock time of the answer.
    until : float
        Time until which it wants none; infinite if it leaves.
    """

    ident: str
    upstream: str
    at: float
    until: float


@dataclass(slots=True)
class Records:
    """All records of a run.

    Attributes
    ==========

    requests : list of RequestRecord
        Requests in the order in which they were sent.
    runs : list of RunRecord
        Runs in the order in which they arrived.
    left_at : dict
        Time at which the store accepted that an upstream is leaving.
    revoked_at : dict
        Time at which the store accepted a configuration without a key.
    drains : list of Drain
        Drains in the order in which they began.
    rate_limits : list of RateLimit
        Request rates in the order in which upstreams first stated them.
    withdrawals : list of Withdrawal
        Answers by which upstreams want no more requests, in order.
    reached : list of RunRecord
        Requests that reached upstreams, also those that did not run.
    sent : list of RunRecord
        Requests and pieces on their way to upstreams, also those never read.
    lost : set of str
        Identifiers of those whose bytes a connection dropped.
    silences : list of Silence
        Times for which upstreams stood still, in order.
    stops : list of HostStop
        Stops of hosts that requests may outlast, in order.
    overloads : list of Overload
        Times for which hosts closed new connections, in order.
    left : set of str
        Identifiers of the requests whose callers left, by the hosts' logs.
    endless : list of Endless
        Times for which upstreams sent bytes without end, in order.
    endless_answers : list of EndlessAnswer
        Answers with such bytes, in order.
    malformed : list of tuple
        Upstream and form of each answer with a malformed head, in order.
    ended_answers : list of EndedAnswer
        Answers that end in an unusual way, in order.
    spoilt : set of str
        Identifiers of the requests that got one whose end is a fault.
    peaks : dict
        Peak resident memory of the processes of each host, in MB.
    all_ended_at : list of float
        Times at which all hosts ended.
    ready_at : list of float
        Times at which hosts, after each of their starts, could serve.
    upstreams : dict
        Failure domain of each upstream, and end of its cold period.
    faults : list of Fault
        Faults and planned changes, in order.
    crashes : list of tuple
        Time at which a request crashed its upstream, and its content.
    quiet_from, quiet_until : float
        Times between which upstreams leave and ask for rest, while no host is
        killed or suspended.
    calm_from : float
        Time from which on there are no more faults; 0 before.
    ended_at : float
        Time at which the run ended; infinite before.
    broken : list of str
        Violated invariants.
    """

    requests: list = field(default_factory=list)
    runs: list = field(default_factory=list)
    left_at: dict = field(default_factory=dict)
    revoked_at: dict = field(default_factory=dict)
    drains: list = field(default_factory=list)
    rate_limits: list = field(default_factory=list)
    withdrawals: list = field(default_factory=list)
    reached: list = field(default_factory=list)
    sent: list = field(default_factory=list)
    lost: set = field(default_factory=set)
    silences: list = field(default_factory=list)
    stops: list = field(default_factory=list)
    overloads: list = field(default_factory=list)
    left: set = field(default_factory=set)
    endless: list = field(default_factory=list)
    endless_answers: list = field(default_factory=list)
    malformed: list = field(default_factory=list)
    ended_answers: list = field(default_factory=list)
    spoilt: set = field(default_factory=set)
    all_ended_at: list = field(default_factory=list)
    ready_at: list = field(default_factory=list)
    peaks: dict = field(default_factory=dict)
    upstreams: dict = field(default_factory=dict)
    faults: list = field(default_factory=list)
    crashes: list = field(default_factory=list)
    broken: list = field(default_factory=list)
    quiet_from: float = 0.0
    quiet_until: float = 0.0
    calm_from: float = 0.0
    ended_at: float = float('inf')

    def upstreams_by_ident(self):
        """Return sets of the upstreams that each request was sent to."""
        upstreams = {}
        for sent in (*self.runs, *self.sent):
            upstreams.setdefault(sent.ident, set()).add(sent.upstream)
        return upstreams

    def runs_by_ident(self):
        """Return lists of runs by the identifier of their request."""
        runs = {}
        for run in self.runs:
            runs.setdefault(run.ident, []).append(run)
        return runs


def record_fault(world, subject, text):
    """Record a fault that strikes now.

    Parameters
    ==========

    world : World
        The run.
    subject, text : str
        What is struck, and what strikes it; see :class:`Fault`.
    """
    now = world.reactor.seconds()
    world.records.faults.append(Fault(now, subject, text))
