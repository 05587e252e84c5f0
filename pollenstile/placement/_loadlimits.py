"""Limits on model loads, because the weight store is rate-limited.

Explanation
===========

A load needs a ticket from the weight store. Tickets are requested one at
a time. After a refusal no ticket is requested until the retry time is over,
plus a jitter so that failure domains do not retry at the same moment. At most
a few engines load at the same time. A ticket is kept until its load has
completed, so repeating an order does not cost a second ticket.
"""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class LoadTiming:
    """Limits on loads.

    Parameters
    ==========

    max_loading : int
        Engines of the domain that may load at the same time.
    retry_after : float
        Seconds until the next try if the weight store can't be reached.
    max_jitter : float
        Most seconds that are added to each wait.
    """

    max_loading: int = 2
    retry_after: float = 2.0
    max_jitter: float = 0.5


class Loads:
    """Tickets in use, and when the next one may be requested.

    Public state
    ============

    tickets : dict
        Engine to the load (incarnation, model, holding) it has a ticket for.
    not_before : float
        Earliest time of the next ticket request.
    requesting : bool
        Whether a ticket request is in progress.
    """

    __slots__ = ('not_before', 'requesting', 'tickets')

    def __init__(self):
        self.tickets = {}
        self.not_before = 0.0
        self.requesting = False


def ticket_hold_reason(loads, engine, load, now, timing):
    """Return why no ticket may be requested now, or an empty string.

    Examples
    ========

    >>> loads = Loads()
    >>> timing = LoadTiming(max_loading=1)
    >>> ticket_hold_reason(loads, 'e1', ('1', 'm', '3'), 0.0, timing)
    ''
    >>> loads.tickets['e1'] = ('1', 'm', '3')
    >>> ticket_hold_reason(loads, 'e2', ('1', 'm', '3'), 0.0, timing)
    'enough loads'
    """
    others = [name for name in loads.tickets if name != engine]
    if len(others) >= timing.max_loading:
        return 'enough loads'
    if loads.requesting:
        return 'asking'
    if now < loads.not_before:
        return 'weight store'
    return ''


def drop_finished_loads(loads, states, wanted):
    """Drop tickets whose load has completed or is no longer wanted.

    Explanation
    ===========

    An engine that dies during a load is removed from the plan. If its ticket
    were kept, it would block the loads of all other engines for ever.

    Parameters
    ==========

    states : dict
        Engine to :class:`EngineState`, for the engines that answered.
    wanted : dict
        Engine to its models with their :class:`Holding`.
    """
    for engine, load in tuple(loads.tickets.items()):
        _incarnation, model, holding = load
        if wanted.get(engine, {}).get(model) != holding:
            loads.tickets.pop(engine)
            continue
        state = states.get(engine)
        if state is None:
            continue
        if state.models.get(model) == holding:
            loads.tickets.pop(engine)
