"""Pieces, groups of pieces, and the workers that make them."""

from dataclasses import dataclass, field

from pollenstile.ops.incarnations import incarnation_name

# Share of result memory that is used, because sizes of results are estimates.
# When all of it was used, one call in fifteen had a piece refused for lack of
# memory, which then waited for a further call while the other results of its
# group kept their memory.
_PLANNED_SHARE = 0.9


@dataclass(slots=True, eq=False)
class Group:
    """All pieces that one step of one request needs.

    Parameters
    ==========

    request : str
        The attempt that the caller named.
    service : str
        Service whose upstreams make the pieces.
    step : int
        Number of the step.
    count : int
        Number of pieces.
    key : str
        Input of a step that depends on no other step.
    inputs : tuple of str
        Handles of earlier results; empty for steps with a key.
    result_bytes : int
        Approximate size of one result.
    urgency : int
        0 is the most urgent.
    due : float
        On the clock: the request can meet its target latency if the pieces are
        made by then.
    deadline : float
        On the clock: time after which the pieces are useless.
    near : tuple of str
        Failure domains in which the inputs are held or the results are read;
        empty for no preference.
    is_first : bool
        Whether a refusal discards no results of an earlier step.
    later_crowded : bool
        Whether a later step's queue is longer than usual.
    is_forwarded : bool
        Whether a host that does not own the queue has forwarded the group.
    fingerprint, team : str
        Fingerprint of the request, and the team that sent it.
    is_returning : bool
        Whether the owner has admitted it because its caller returned at its
        promised time.
    """

    request: str
    service: str
    step: int
    count: int
    key: str = ''
    inputs: tuple[str, ...] = ()
    result_bytes: int = 0
    urgency: int = 0
    due: float = 0.0
    deadline: float = 0.0
    near: tuple[str, ...] = ()
    is_first: bool = True
    later_crowded: bool = False
    is_forwarded: bool = False
    fingerprint: str = ''
    team: str = ''
    is_returning: bool = False

    @property
    def ident(self):
        """Request and step."""
        return self.request, self.step


@dataclass(slots=True, eq=False)
class Piece:
    """One piece of work for an upstream.

    Attributes
    ==========

    calls_in_flight : int
        Number of calls under way that hold it.
    sent : int
        Number of calls that held it and may have made it.
    inputs_fetched : bool
        Whether the call under way has fetched its inputs.
    """

    group: Group
    number: int
    calls_in_flight: int = 0
    sent: int = 0
    inputs_fetched: bool = False
    handle: str = ''


@dataclass(slots=True, frozen=True)
class Result:
    """Outcome of one piece in a call.

    Parameters
    ==========

    handle : str
        Name of the result; empty when there is none.
    reason : str
        Why there is no result: ``'late'``, ``'gone'``, ``'room'`` (no result
        memory) or ``'error'``.
    """

    handle: str = ''
    reason: str = ''


@dataclass(slots=True, frozen=True)
class CallLost:
    """A call returned no results.

    Parameters
    ==========

    reason, peer : str
        Cause of the loss, and the worker.
    arrived : bool
        Whether the upstream may have received the call.
    broken : bool
        Whether the upstream closed the connection.
    """

    reason: str
    peer: str
    arrived: bool
    broken: bool = False


@dataclass(slots=True, frozen=True)
class GroupDone:
    """Handles of all pieces, in order.

    Parameters
    ==========

    wait : float
        Seconds of the owner's backlog.
    tight : bool
        Whether the stage is short of memory for results.
    waited : float
        Seconds from the caller's first arrival to this attempt's.
    """

    handles: tuple[str, ...]
    wait: float = 0.0
    tight: bool = False
    waited: float = 0.0


@dataclass(slots=True, frozen=True)
class GroupRefused:
    """A group whose pieces will not be made.

    Parameters
    ==========

    reason : str
        ``'busy'``, ``'late'``, ``'gone'``, ``'failed'``, ``'cancelled'``,
        ``'no workers'``, :data:`~pollenstile.quarantine.HELD_REASON`, or why
        the owner did not answer.
    retry_after : float
        Seconds until a retry is useful.
    wait : float
        Seconds of the owner's backlog.
    waited : float
        Seconds from the caller's first arrival to this attempt's.
    promised : bool
        Whether ``retry_after`` is a promised return time, which gets no further
        jitter.
    """

    reason: str
    retry_after: float = 0.0
    wait: float = 0.0
    waited: float = 0.0
    promised: bool = False


@dataclass(slots=True, eq=False)
class Worker:
    """One upstream of a stage service, in its owner's view.

    Attributes
    ==========

    born : int
        Incarnation: an upstream that restarts under the same identifier holds
        no results.
    held : dict
        Size and expiry time of unreleased results, by handle.
    bytes_in_flight, pieces_in_flight : int
        Result bytes and pieces of calls under way.
    calls : int
        Calls under way.
    speed : float
        Smoothed ratio of actual to expected call time.
    last_ratio : float
        The same ratio of the latest call.
    answered_at : float
        Time of its latest answer.
    rest_until : float
        Time before which the worker is not called, after failures.
    failures : int
        Failures in a row.
    busy_until : float
        Expected end of the call under way.
    foreign : tuple
        Bytes taken by results of another owner, and the time until which this
        estimate is used.
    refusals : int
        Calls in a row that made nothing for lack of memory.
    call_rate : float
        Calls a second that it accepts from all hosts together; 0 if it states
        no limit.
    asked_until : float
        Time until which it has asked this host to send nothing.
    """

    ident: str
    address: str
    domain: str = ''
    born: int = 0
    held: dict = field(default_factory=dict)
    bytes_in_flight: int = 0
    pieces_in_flight: int = 0
    calls: int = 0
    speed: float = 1.0
    last_ratio: float = 1.0
    answered_at: float = 0.0
    rest_until: float = 0.0
    failures: int = 0
    busy_until: float = 0.0
    foreign: tuple = (0, 0.0)
    refusals: int = 0
    call_rate: float = 0.0
    asked_until: float = 0.0

    @property
    def incarnation(self):
        """Return the unique name of its process lifetime."""
        return incarnation_name(self.ident, self.born)

    def held_bytes(self, now):
        """Return bytes of results that still take up memory."""
        for handle, (_, expires_at) in list(self.held.items()):
            if expires_at <= now:
                self.held.pop(handle)
        size, expires_at = self.foreign
        foreign = size if expires_at > now else 0
        return foreign + sum(size for size, _ in self.held.values())

    def planned_bytes(self, limits):
        """Return the result memory that may be used."""
        return int(limits.room_bytes * _PLANNED_SHARE)

    def free_bytes(self, limits, now):
        """Return the memory that is free for results of further calls."""
        taken = self.held_bytes(now) + self.bytes_in_flight
        return self.planned_bytes(limits) - taken
