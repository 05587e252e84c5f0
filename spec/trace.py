"""Holds recorded runs against the claims' transition relation.

Explanation
===========

A recorder notes what hosts and store do as :class:`TraceEvent`; the actions
are those of :mod:`spec.claims_steps` that can be seen from outside. A run is
cut into one part for each key, with the appends that bear on it and the
positions where they stand: a run of the specification is still one when all
else is left out. Each part is replayed. In every state the action's guard must
hold, and the properties after it. Steps inside a host (reading, settling,
hearing) are taken when the next event needs them, if their guards hold; an
observer that reads each position at once stands for word of mouth. Parts that
differ in names only are replayed once.
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
        ``begin``: a host takes a keyed request. ``refuse``: it ends it as not
        run, or releases its claim. ``repeat``: it ends it because another
        holds the key. ``dispatch``: it hands the non-idempotent call over;
        ``giveback``: it learns that this call did not run. ``open``: it sends
        a new batch for the first time. ``apply``: the store has taken a
        batch. ``crash``: the host is gone, with all it knew.
    host : str
        Which host acts; a host that was restarted keeps its name.
    shard : str
        The claims log.
    place : int
        Position in it, where the action has one.
    append : str
        Unique name of a batch that is tried at a position.
    request : str
        Unique name of a request.
    key : str
        Its key, for ``begin``.
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
class Departure:
    """Where a recorded run departs from the specification.

    Parameters
    ==========

    key : str
        Of the part of the run that was replayed.
    number : int
        The event's place in the whole run.
    event : TraceEvent
        The event.
    reason : str
        What did not hold.
    """

    key: str
    number: int
    event: TraceEvent
    reason: str


def departures(events):
    """Return where a recorded run departs from the specification.

    Parameters
    ==========

    events : list of TraceEvent
        In the order in which they happened.

    Returns
    =======

    list of Departure
        The first one of each key; empty when the run is one of the
        specification.

    Examples
    ========

    >>> from spec.trace import TraceEvent, departures
    >>> run = [
    ...     TraceEvent('begin', host='h1', request='r1', key='k'),
    ...     TraceEvent('dispatch', host='h1', request='r1'),
    ... ]
    >>> [found.reason for found in departures(run)]
    ['the guard of dispatch request=0 does not hold']
    """
    numbered = _without_given_back(list(enumerate(events)))
    found = []
    verdicts = {}
    for key, part in _parts(numbered).items():
        departure = _departure(key, part, verdicts)
        if departure is not None:
            found.append(departure)
    return found


def _departure(key, part, verdicts):
    plain = _plain(part)
    if plain not in verdicts:
        verdicts[plain] = _Replay(plain).first_departure()
    if verdicts[plain] is None:
        return None
    position, reason = verdicts[plain]
    number, event = part[position]
    return Departure(key, number, event, reason)


def _without_given_back(numbered):
    """Leave out calls that were handed over and are known not to have run."""
    given_back = {}
    kept = []
    for number, event in reversed(numbered):
        before = given_back.get(event.request, 0)
        if event.action == 'giveback':
            given_back[event.request] = before + 1
            continue
        if event.action == 'dispatch' and before:
            given_back[event.request] = before - 1
            continue
        kept.append((number, event))
    kept.reverse()
    return kept


def _parts(numbered):
    """Return the events that bear on each key."""
    keys = {}
    for _, event in numbered:
        if event.action == 'begin':
            keys.setdefault(event.key, set()).add(event.request)
    opened = [event for _, event in numbered if event.action == 'open']
    return {
        key: _part(numbered, requests, _appends_of(opened, requests))
        for key, requests in keys.items()
    }


def _appends_of(opened, requests):
    """Return the appends that bear on a key, and where they were tried."""
    spots = {
        (event.shard, event.position)
        for event in opened
        if requests.intersection(event.claims + event.frees)
    }
    # What is put where one of them was to stand bears on the key too.
    return {
        event.append
        for event in opened
        if (event.shard, event.position) in spots
    }


def _part(numbered, requests, appends):
    part = []
    for number, event in numbered:
        if event.request and event.request not in requests:
            continue
        if event.append and event.append not in appends:
            continue
        part.append((number, event))
    return part


def _plain(part):
    """Return a part with numbers for names, in the order of appearance."""
    events = [event for _, event in part]
    hosts = _numbers(event.host for event in events if event.action != 'crash')
    requests = _numbers(event.request for event in events)
    appends = _numbers(event.append for event in events)
    places = sorted({event.position for event in events if event.append})
    plain = []
    for event in events:
        plain.append(
            (
                event.action,
                hosts.get(event.host, -1),
                requests.get(event.request, -1),
                appends.get(event.append, -1),
                places.index(event.position) if event.append else -1,
                tuple(
                    requests[name] for name in event.claims if name in requests
                ),
                tuple(
                    requests[name] for name in event.frees if name in requests
                ),
            )
        )
    return tuple(plain)


def _numbers(names):
    numbers = {}
    for name in names:
        if name:
            numbers.setdefault(name, len(numbers))
    return numbers


class _DepartedError(Exception):
    """The run is none of the specification."""


class _Replay:
    """The state of the specification along one part of a run."""

    __slots__ = (
        'actions',
        'applied',
        'model',
        'opened',
        'plain',
        'sizes',
        'state',
    )

    def __init__(self, plain):
        self.plain = plain
        owners = {event[2]: event[1] for event in plain if event[0] == 'begin'}
        self.sizes = Sizes(
            max([event[1] for event in plain], default=0) + 2,
            max([event[4] for event in plain], default=0) + 1,
            max([event[3] for event in plain], default=0) + 1,
            [(owners[request], 0) for request in sorted(owners)],
        )
        self.model = claims_model(self.sizes)
        self.actions = {action.label: action for action in self.model.actions}
        self.state = State(self.model.initial)
        self.opened = {}
        self.applied = {event[3] for event in plain if event[0] == 'apply'}

    @property
    def observer(self):
        """The host that stands for word of mouth."""
        return self.sizes.hosts[-1]

    def first_departure(self):
        """Return the place and reason of the first departure, or None."""
        for position, event in enumerate(self.plain):
            try:
                self._take(*event)
            except _DepartedError as error:
                return position, str(error)
        return None

    def _take(self, action, host, request, append, position, claims, frees):
        if action == 'crash':
            if host >= 0:
                self._do(f'crash host={host}')
        elif action == 'open':
            self._open(host, append, position, claims, frees)
        elif action == 'apply':
            self._apply(append)
        elif action == 'dispatch':
            self._try(f'find host={self.observer} request={request}')
            self._do(f'dispatch request={request}')
        else:
            self._do(f'{action} request={request}')
        self._check_properties()

    def _open(self, host, append, position, claims, frees):
        if append in self.opened:
            return
        self._end_pending(host, position)
        for earlier in range(position):
            self._try(f'read host={host} place={earlier}')
        for request in claims:
            if self.sizes.owner(request) != host:
                self._try(f'forward request={request} host={host}')
        self.opened[append] = position
        if not claims and not frees:
            # The append says nothing of this key; only its place counts.
            self._put_blank(host, append, position)
            return
        chosen = {('takes', request): True for request in claims}
        chosen.update({('yields', request): True for request in frees})
        self._do(f'open host={host} append={append} place={position}', chosen)
        self._check_listed('claims', append, claims)
        self._check_listed('frees', append, frees)

    def _check_listed(self, name, append, requests):
        for request in requests:
            if not self.state[name, append, request]:
                raise _DepartedError(
                    f'append {append} {name} request {request}, '
                    'whose key is held or which is not queued there',
                )

    def _put_blank(self, host, append, position):
        self.opened[append] = position
        blank = {
            ('used', append): True,
            ('flying', append): True,
            ('pending', host, append): True,
            ('place', append, position): True,
            ('writer', append, host): True,
        }
        self.state.update(blank)

    def _end_pending(self, host, wanted):
        """Let a host learn what became of the append that it waits for.

        Explanation
        ===========

        A host that tries the same position again was told that its write was
        not applied, and has not read what stands there.
        """
        for append, position in self.opened.items():
            if not self.state.pending(host, append):
                continue
            if append not in self.applied:
                self._try(f'drop append={append}')
            spot = f'host={host} append={append} place={position}'
            if position != wanted and self._reads(spot):
                continue
            self._do(f'abandon host={host} append={append}')

    def _reads(self, spot):
        return self._try(f'settle {spot}') or self._try(f'supersede {spot}')

    def _apply(self, append):
        position = self.opened.get(append)
        if position is None:
            raise _DepartedError(f'append {append} was never opened')
        self._do(f'apply append={append} place={position}')
        for written in self.sizes.places:
            self._try(f'read host={self.observer} place={written}')

    def _try(self, label, chosen=()):
        """Take a step if its guard holds; return whether it did."""
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

    def _do(self, label, chosen=()):
        if not self._try(label, chosen):
            raise _DepartedError(f'the guard of {label} does not hold')

    def _check_properties(self):
        for name, holds in self.model.properties.items():
            if not holds(self.state):
                raise _DepartedError(f'{name} fails')
