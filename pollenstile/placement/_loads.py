"""When an engine may load: the weight store is rate-limited.

Explanation
===========

A load needs a ticket of the weight store. Tickets are asked one at a time; a
refusal holds back all loads until its time is over, plus a jitter so that
failure domains do not come back together. At most a few engines load at once.
A ticket is kept until its load is seen done, so an order that is sent again
costs no second one.
"""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class LoadTiming:
    """Limits of loads.

    Parameters
    ==========

    at_once : int
        Engines of the domain that load at one time.
    again : float
        Seconds until the next try when the weight store can't be reached.
    jitter : float
        Most seconds on top of each wait.
    """

    at_once: int = 2
    again: float = 2.0
    jitter: float = 0.5


class Loads:
    """Tickets in use, and when the next may be asked for.

    Public state
    ============

    tickets : dict
        Engine to the load (incarnation, model, holding) it has a ticket for.
    not_before : float
        No ticket is asked before.
    asking : bool
        Whether a ticket is being asked for.
    """

    __slots__ = ('asking', 'not_before', 'tickets')

    def __init__(self):
        self.tickets = {}
        self.not_before = 0.0
        self.asking = False


def load_refusal(loads, engine, load, now, timing):
    """Return why no ticket may be asked for now, or an empty text.

    Examples
    ========

    >>> loads = Loads()
    >>> load_refusal(loads, 'e1', ('1', 'm', '3'), 0.0, LoadTiming(at_once=1))
    ''
    >>> loads.tickets['e1'] = ('1', 'm', '3')
    >>> load_refusal(loads, 'e2', ('1', 'm', '3'), 0.0, LoadTiming(at_once=1))
    'enough loads'
    """
    others = [name for name in loads.tickets if name != engine]
    if len(others) >= timing.at_once:
        return 'enough loads'
    if loads.asking:
        return 'asking'
    if now < loads.not_before:
        return 'weight store'
    return ''


def ended_loads(loads, states, wanted):
    """Drop tickets whose load is done, or not to be done any more.

    Explanation
    ===========

    An engine that dies while it loads leaves the plan, and its ticket would
    hold back the loads of all others for good.

    Parameters
    ==========

    states : dict
        Engine to :class:`EngineState`, of those that answered.
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
