"""Pieces, groups of them, and the upstreams that make them."""

from dataclasses import dataclass, field

# Share of the room that is planned with: sizes of results are approximate. With
# all of it, one call in fifteen had a piece refused for want of room, which
# then waited for a further call while its siblings kept their room.
_FILLED_SHARE = 0.9


@dataclass(slots=True, eq=False)
class Group:
    """All pieces that one step of one request needs.

    Parameters
    ==========

    request : str
        The attempt that the caller named.
    service : str
        Whose upstreams make the pieces.
    step : int
        Number of the step.
    count : int
        Pieces.
    key : str
        Input of steps without an earlier one.
    inputs : tuple of str
        Handles of earlier results; empty for steps with a key.
    result_bytes : int
        About the size of one result.
    urgency : int
        0 is the most urgent.
    due : float
        On the clock: made by then, the request can still meet its aim.
    ends : float
        On the clock: made later, it is of no use.
    near : tuple of str
        Failure domains in which the inputs lie or the results are read; empty
        for no preference.
    is_first : bool
        Whether no earlier step's work would be thrown away with it.
    later_crowded : bool
        Whether a later step's queue is longer than usual.
    passed_on : bool
        Whether a host that does not own the queue has passed it on.
    content, team : str
        Fingerprint of the request, and who sent it.
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
    passed_on: bool = False
    content: str = ''
    team: str = ''

    @property
    def ident(self):
        """Request and step."""
        return self.request, self.step


@dataclass(slots=True, eq=False)
class Piece:
    """One piece that an owner host has to have made.

    Attributes
    ==========

    flights : int
        Calls under way that hold it.
    sent : int
        Calls that held it and may have made it.
    read : bool
        Whether its inputs were fetched by the call under way.
    """

    group: Group
    number: int
    flights: int = 0
    sent: int = 0
    read: bool = False
    handle: str = ''


@dataclass(slots=True, frozen=True)
class Result:
    """What became of one piece in a call.

    Parameters
    ==========

    handle : str
        Names the result; empty when there is none.
    reason : str
        ``'late'``, ``'gone'``, ``'room'`` or ``'error'``.
    """

    handle: str = ''
    reason: str = ''


@dataclass(slots=True, frozen=True)
class CallLost:
    """A call brought no results.

    Parameters
    ==========

    reason, peer : str
        Why and where.
    arrived : bool
        Whether the upstream may have got it.
    broken : bool
        Whether the upstream's side broke the connection.
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
        Whether the stage is short of room for results.
    waited : float
        Seconds from the caller's first arrival to this one's.
    """

    handles: tuple[str, ...]
    wait: float = 0.0
    tight: bool = False
    waited: float = 0.0


@dataclass(slots=True, frozen=True)
class GroupRefused:
    """The pieces will not be made.

    Parameters
    ==========

    reason : str
        ``'busy'``, ``'late'``, ``'gone'``, ``'failed'``, ``'no owner'``,
        :data:`~pollenstile.quarantine.HELD_REASON`.
    retry_after : float
        Seconds until asking again makes sense.
    waited : float
        Seconds from the caller's first arrival to this one's.
    """

    reason: str
    retry_after: float = 0.0
    wait: float = 0.0
    waited: float = 0.0


@dataclass(slots=True, eq=False)
class Worker:
    """One upstream of a stage service, as its owner host sees it.

    Attributes
    ==========

    born : int
        Of its incarnation: one that starts again under its identifier holds
        no results.
    held : dict
        Bytes of results that were not released, and when they lapse.
    flying_bytes, flying : int
        Results and pieces of calls under way.
    calls : int
        Calls under way.
    speed : float
        Time of its calls over what was expected, smoothed.
    rest_until : float
        Not called before; after failures.
    failures : int
        In a row.
    busy_until : float
        When its call under way should end.
    foreign : tuple
        Bytes that something else takes up, and until when that is believed.
    refusals : int
        Calls in a row that made nothing for want of room.
    """

    ident: str
    address: str
    domain: str = ''
    born: int = 0
    held: dict = field(default_factory=dict)
    flying_bytes: int = 0
    flying: int = 0
    calls: int = 0
    speed: float = 1.0
    rest_until: float = 0.0
    failures: int = 0
    busy_until: float = 0.0
    foreign: tuple = (0, 0.0)
    refusals: int = 0

    def held_bytes(self, now):
        """Return bytes of results that still take up room."""
        for handle, (_, lapses) in list(self.held.items()):
            if lapses <= now:
                self.held.pop(handle)
        size, lapses = self.foreign
        foreign = size if lapses > now else 0
        return foreign + sum(size for size, _ in self.held.values())

    def planned_bytes(self, limits):
        """Return the room that is planned with."""
        return int(limits.room_bytes * _FILLED_SHARE)

    def free_bytes(self, limits, now):
        """Return room for results of calls that are not under way."""
        taken = self.held_bytes(now) + self.flying_bytes
        return self.planned_bytes(limits) - taken
