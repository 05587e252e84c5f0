"""Check recorded runs against the transition relation of the claims log.

Explanation
===========

A recorder describes the actions of hosts and store as :class:`TraceEvent`. The
events are the actions of :mod:`spec.claims_steps` that are visible from
outside. A run is split into one part for each key, with the appends that
concern the key and their positions; a run that conforms to the specification
still does so when everything else is left out. Each part is replayed: the
guard of each action must hold, and so must the properties after it. Internal
steps of a host (reading, settling an append, learning of a holder) are taken
when the next event needs them, if their guards hold. An additional host, the
observer, reads each position at once and represents reports between hosts.
Parts that differ only in names are replayed once.
"""

from dataclasses import dataclass

from spec.claims import claims_model
from spec.claims_state import Sizes
from spec.model import State


@dataclass(slots=True, frozen=True)
class TraceEvent:
    """One action of a recorded run.

    Parameters
    ==========

    action : str
        ``begin``: a host receives a keyed request. ``refuse``: the host ends
        the request as not run, or releases its claim. ``repeat``: the host
        ends the request because another one holds the key. ``dispatch``: the
        host dispatches the non-idempotent call. ``giveback``: the host learns
        that this call did not run. ``open``: the host sends a new batch for
        the first time. ``apply``: the store has applied a batch. ``crash``:
        the host has crashed and lost its memory.
    host : str
        Host that acts; a restarted host keeps its name.
    shard : str
        Shard of the claims log.
    position : int
        Position in the log, if the action has one.
    append : str
        Unique name of a batch that is sent for a position.
    request : str
        Unique name of a request.
    key : str
        Key of the request, for ``begin``.
    claims, frees : tuple of str
        Requests that an append claims for and releases, for ``open``.
    """

    action: str
    host: str = ''
    shard: str = ''
    position: int = 0
    append: str = ''
    request: str = ''
    key: str = ''
    claims: tuple[str, ...] = ()
    frees: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class Deviation:
    """First event of a recorded run that violates the specification.

    Parameters
    ==========

    key : str
        Key of the replayed part of the run.
    number : int
        Index of the event in the full run.
    event : TraceEvent
        Event that violates the specification.
    reason : str
        Guard or property that does not hold.
    """

    key: str
    number: int
    event: TraceEvent
    reason: str


def find_deviations(events):
    """Return the first deviation from the specification for each key.

    Parameters
    ==========

    events : list of TraceEvent
        Events of the run, in the order in which they occurred.

    Returns
    =======

    list of Departure
        Empty if the run conforms to the specification.

    Examples
    ========

    >>> from spec.trace import TraceEvent, find_deviations
    >>> run = [
    ...     TraceEvent('begin', host='h1', request='r1', key='k'),
    ...     TraceEvent('dispatch', host='h1', request='r1'),
    ... ]
    >>> [deviation.reason for deviation in find_deviations(run)]
    ['the guard of dispatch request=0 does not hold']
    """
    numbered = _drop_undone_dispatches(list(enumerate(events)))
    found = []
    verdicts = {}
    for key, part in _split_by_key(numbered).items():
        deviation = _find_deviation(key, part, verdicts)
        if deviation is not None:
            found.append(deviation)
    return found


def _find_deviation(key, part, verdicts):
    normalized = _normalized(part)
    if normalized not in verdicts:
        verdicts[normalized] = _Replay(normalized).first_deviation()
    if verdicts[normalized] is None:
        return None
    index, reason = verdicts[normalized]
    number, event = part[index]
    return Deviation(key, number, event, reason)


def _drop_undone_dispatches(numbered):
    """Leave out dispatched calls that are known not to have run."""
    undone = {}
    kept = []
    for number, event in reversed(numbered):
        before = undone.get(event.request, 0)
        if event.action == 'giveback':
            undone[event.request] = before + 1
            continue
        if event.action == 'dispatch' and before:
            undone[event.request] = before - 1
            continue
        kept.append((number, event))
    kept.reverse()
    return kept


def _split_by_key(numbered):
    """Return the numbered events that concern each key."""
    keys = {}
    for _, event in numbered:
        if event.action == 'begin':
            keys.setdefault(event.key, set()).add(event.request)
    opened = [event for _, event in numbered if event.action == 'open']
    return {
        key: _select_events(
            numbered, requests, _related_appends(opened, requests)
        )
        for key, requests in keys.items()
    }


def _related_appends(opened, requests):
    """Return the appends that concern a key."""
    positions = {
        (event.shard, event.position)
        for event in opened
        if requests.intersection(event.claims + event.frees)
    }
    # Other appends that were sent for these positions concern the key too.
    return {
        event.append
        for event in opened
        if (event.shard, event.position) in positions
    }


def _select_events(numbered, requests, appends):
    part = []
    for number, event in numbered:
        if event.request and event.request not in requests:
            continue
        if event.append and event.append not in appends:
            continue
        part.append((number, event))
    return part


def _normalized(part):
    """Replace names by numbers, in the order of their first appearance."""
    events = [event for _, event in part]
    hosts = _number_names(
        event.host for event in events if event.action != 'crash'
    )
    requests = _number_names(event.request for event in events)
    appends = _number_names(event.append for event in events)
    positions = sorted({event.position for event in events if event.append})
    normalized = []
    for event in events:
        normalized.append(
            (
                event.action,
                hosts.get(event.host, -1),
                requests.get(event.request, -1),
                appends.get(event.append, -1),
                positions.index(event.position) if event.append else -1,
                tuple(
                    requests[name] for name in event.claims if name in requests
                ),
                tuple(
                    requests[name] for name in event.frees if name in requests
                ),
            )
        )
    return tuple(normalized)


def _number_names(names):
    numbers = {}
    for name in names:
        if name:
            numbers.setdefault(name, len(numbers))
    return numbers


class _DeviationError(Exception):
    """The run does not conform to the specification."""


class _Replay:
    """Replay of one part of a run on the model."""

    __slots__ = (
        'actions',
        'applied',
        'model',
        'normalized',
        'opened',
        'sizes',
        'state',
    )

    def __init__(self, normalized):
        self.normalized = normalized
        owners = {
            event[2]: event[1] for event in normalized if event[0] == 'begin'
        }
        self.sizes = Sizes(
            max([event[1] for event in normalized], default=0) + 2,
            max([event[4] for event in normalized], default=0) + 1,
            max([event[3] for event in normalized], default=0) + 1,
            [(owners[request], 0) for request in sorted(owners)],
        )
        self.model = claims_model(self.sizes)
        self.actions = {action.label: action for action in self.model.actions}
        self.state = State(self.model.initial)
        self.opened = {}
        self.applied = {event[3] for event in normalized if event[0] == 'apply'}

    @property
    def observer(self):
        """Additional host that represents reports between hosts."""
        return self.sizes.hosts[-1]

    def first_deviation(self):
        """Return index and reason of the first deviation, or None."""
        for index, event in enumerate(self.normalized):
            try:
                self._replay_event(*event)
            except _DeviationError as error:
                return index, str(error)
        return None

    def _replay_event(
        self, action, host, request, append, position, claims, frees
    ):
        if action == 'crash':
            if host >= 0:
                self._require_step(f'crash host={host}')
        elif action == 'open':
            self._open(host, append, position, claims, frees)
        elif action == 'apply':
            self._apply(append)
        elif action == 'dispatch':
            self._try_step(f'find host={self.observer} request={request}')
            self._require_step(f'dispatch request={request}')
        else:
            self._require_step(f'{action} request={request}')
        self._check_properties()

    def _open(self, host, append, position, claims, frees):
        if append in self.opened:
            return
        self._resolve_pending(host, position)
        for earlier in range(position):
            self._try_step(f'read host={host} place={earlier}')
        for request in claims:
            if self.sizes.owner(request) != host:
                self._try_step(f'forward request={request} host={host}')
        self.opened[append] = position
        if not claims and not frees:
            # The append has no records of this key; only its position matters.
            self._add_empty_append(host, append, position)
            return
        chosen = {('takes', request): True for request in claims}
        chosen.update({('yields', request): True for request in frees})
        self._require_step(
            f'open host={host} append={append} place={position}', chosen
        )
        self._check_listed('claims', append, claims)
        self._check_listed('frees', append, frees)

    def _check_listed(self, name, append, requests):
        for request in requests:
            if not self.state[name, append, request]:
                raise _DeviationError(
                    f'append {append} {name} request {request}, '
                    'whose key is held or which is not queued at the host',
                )

    def _add_empty_append(self, host, append, position):
        self.opened[append] = position
        updates = {
            ('used', append): True,
            ('flying', append): True,
            ('pending', host, append): True,
            ('place', append, position): True,
            ('writer', append, host): True,
        }
        self.state.update(updates)

    def _resolve_pending(self, host, next_position):
        """Settle the pending append of a host.

        Explanation
        ===========

        A host that sends another append for the same position knows that its
        write was not applied, and has not read the object at this position.
        """
        for append, position in self.opened.items():
            if not self.state.pending(host, append):
                continue
            if append not in self.applied:
                self._try_step(f'drop append={append}')
            append_label = f'host={host} append={append} place={position}'
            if position != next_position and self._read_back(append_label):
                continue
            self._require_step(f'abandon host={host} append={append}')

    def _read_back(self, append_label):
        return self._try_step(f'settle {append_label}') or self._try_step(
            f'supersede {append_label}'
        )

    def _apply(self, append):
        position = self.opened.get(append)
        if position is None:
            raise _DeviationError(
                f'append {append} is applied before it is opened'
            )
        self._require_step(f'apply append={append} place={position}')
        for written in self.sizes.positions:
            self._try_step(f'read host={self.observer} place={written}')

    def _try_step(self, label, chosen=()):
        """Take an action if its guard holds; return whether it was taken."""
        free = dict.fromkeys(self.model.free, False)
        free['releases'] = True
        free.update(chosen)
        state = State(self.state)
        state.update(free)
        action = self.actions[label]
        if not action.guard(state):
            return False
        self.state.update(action.updates(state))
        return True

    def _require_step(self, label, chosen=()):
        if not self._try_step(label, chosen):
            raise _DeviationError(f'the guard of {label} does not hold')

    def _check_properties(self):
        for name, holds in self.model.properties.items():
            if not holds(self.state):
                raise _DeviationError(f'{name} fails')
