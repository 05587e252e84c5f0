"""The steps of the claims' specification; see :mod:`spec.claims`."""

import itertools

import z3

from spec.model import BOOL, Action, any_of

_REQUEST = ('waiting', 'batched', 'claimed', 'told')


class Sizes:
    """How much of everything there is.

    Parameters
    ==========

    hosts, keys, places, appends : int
        Hosts, keys, positions of the log, and appends in all.
    """

    __slots__ = ('appends', 'hosts', 'keys', 'places')

    def __init__(self, hosts, keys, places, appends):
        self.hosts = range(hosts)
        self.keys = range(keys)
        self.places = range(places)
        self.appends = range(appends)


def variables(sizes):
    """Return the sort of each variable."""
    shapes = {
        'at': (sizes.places, sizes.appends),
        'used': (sizes.appends,),
        'place': (sizes.appends, sizes.places),
        'owner': (sizes.appends, sizes.hosts),
        'batch': (sizes.appends, sizes.keys),
        'flying': (sizes.appends,),
        'known': (sizes.hosts, sizes.places),
        'pending': (sizes.hosts, sizes.appends),
        **dict.fromkeys(_REQUEST, (sizes.hosts, sizes.keys)),
        'ran': (sizes.keys,),
        'twice': (sizes.keys,),
        'granted': (sizes.appends,),
        'lied': (sizes.hosts, sizes.keys),
    }
    return {
        (name, *place): BOOL
        for name, ranges in shapes.items()
        for place in itertools.product(*ranges)
    }


def written(state, sizes, place):
    """Return whether a position is written."""
    return any_of(state.at(place, append) for append in sizes.appends)


def listed(state, sizes, place, key):
    """Return whether the object at a position claims a key."""
    return any_of(
        z3.And(state.at(place, append), state.batch(append, key))
        for append in sizes.appends
    )


def claim_found(state, sizes, host, key):
    """Return whether a host has read a claim of a key."""
    return any_of(
        z3.And(state.known(host, place), listed(state, sizes, place, key))
        for place in sizes.places
    )


def is_next(state, host, place):
    """Return whether a position is the first that a host has not read."""
    earlier = [state.known(host, other) for other in range(place)]
    return z3.And(*earlier, z3.Not(state.known(host, place)))


def idle(state, host, key):
    """Return whether a host works on no request with a key."""
    return z3.Not(
        z3.Or(
            state.waiting(host, key),
            state.batched(host, key),
            state.claimed(host, key),
        )
    )


def _submit(host, key):
    return Action(
        f'submit host={host} key={key}',
        lambda state: idle(state, host, key),
        lambda state: {
            ('waiting', host, key): True,
            ('told', host, key): False,
        },
    )


def _refuse(host, key, without):
    def guard(state):
        return z3.Or(state.waiting(host, key), state.batched(host, key))

    def updates(state):
        stays = without == 'leave-batch-when-refused'
        return {
            ('waiting', host, key): False,
            ('batched', host, key): stays and state.batched(host, key),
            ('told', host, key): True,
        }

    return Action(f'refuse host={host} key={key}', guard, updates)


def _repeat(sizes, host, key):
    return Action(
        f'repeat host={host} key={key}',
        lambda state: z3.And(
            state.waiting(host, key),
            claim_found(state, sizes, host, key),
        ),
        lambda state: {('waiting', host, key): False},
    )


def _dispatch(host, key, without):
    def guard(state):
        if without == 'durable-before-dispatch':
            return z3.Or(
                state.claimed(host, key),
                state.batched(host, key),
            )
        return state.claimed(host, key)

    def updates(state):
        return {
            ('claimed', host, key): False,
            ('batched', host, key): False,
            ('ran', key): True,
            ('twice', key): z3.Or(state.twice(key), state.ran(key)),
            ('lied', host, key): z3.Or(
                state.lied(host, key),
                state.told(host, key),
            ),
        }

    return Action(f'dispatch host={host} key={key}', guard, updates)


def _goes(state, sizes, host, key, without):
    """Return whether a waiting key goes into the batch that is opened."""
    if without == 'look-up-before-claim':
        return state.waiting(host, key)
    return z3.And(
        state.waiting(host, key),
        z3.Not(claim_found(state, sizes, host, key)),
    )


def _open(sizes, host, append, place, without):
    def guard(state):
        fits = is_next(state, host, place)
        if without == 'append-after-known-prefix':
            fits = z3.Not(state.known(host, place))
        return z3.And(
            fits,
            z3.Not(state.used(append)),
            *(state.used(other) for other in range(append)),
            *(z3.Not(state.pending(host, own)) for own in sizes.appends),
            any_of(
                _goes(state, sizes, host, key, without) for key in sizes.keys
            ),
        )

    def updates(state):
        changed = {
            ('used', append): True,
            ('flying', append): True,
            ('pending', host, append): True,
            ('place', append, place): True,
            ('owner', append, host): True,
        }
        for key in sizes.keys:
            goes = _goes(state, sizes, host, key, without)
            changed['batch', append, key] = goes
            changed['batched', host, key] = z3.Or(
                state.batched(host, key),
                goes,
            )
            changed['waiting', host, key] = z3.And(
                state.waiting(host, key),
                z3.Not(goes),
            )
        return changed

    return Action(
        f'open host={host} append={append} place={place}',
        guard,
        updates,
    )


def _apply(sizes, append, place, without):
    def guard(state):
        flies = z3.And(state.flying(append), state.place(append, place))
        if without == 'create-if-absent':
            return flies
        return z3.And(flies, z3.Not(written(state, sizes, place)))

    def updates(state):
        changed = {('at', place, other): False for other in sizes.appends}
        return {
            **changed,
            ('at', place, append): True,
            ('flying', append): False,
        }

    return Action(f'apply append={append} place={place}', guard, updates)


def _drop(append):
    return Action(
        f'drop append={append}',
        lambda state: state.flying(append),
        lambda state: {('flying', append): False},
    )


def _read(sizes, host, place):
    return Action(
        f'read host={host} place={place}',
        lambda state: z3.And(
            is_next(state, host, place),
            written(state, sizes, place),
            *(z3.Not(state.pending(host, own)) for own in sizes.appends),
        ),
        lambda state: {('known', host, place): True},
    )


def _own(state, sizes, host, append, place, without):
    """Return whether a host takes the object at a position for its append."""
    if without != 'mark-unique-to-append':
        return state.at(place, append)
    return any_of(
        z3.And(state.at(place, other), state.owner(other, host))
        for other in sizes.appends
    )


def _settle(sizes, host, append, place, without):
    def guard(state):
        return z3.And(
            state.pending(host, append),
            state.place(append, place),
            _own(state, sizes, host, append, place, without),
        )

    def updates(state):
        changed = {
            ('pending', host, append): False,
            ('known', host, place): True,
            ('granted', append): True,
        }
        for key in sizes.keys:
            won = z3.And(
                state.batched(host, key),
                state.batch(append, key),
            )
            changed['claimed', host, key] = z3.Or(
                state.claimed(host, key),
                won,
            )
            changed['batched', host, key] = False
        return changed

    return Action(
        f'settle host={host} append={append} place={place}',
        guard,
        updates,
    )


def _returned(sizes, host, state):
    """Return the updates that put a host's batch back among the waiting."""
    changed = {}
    for key in sizes.keys:
        changed['waiting', host, key] = z3.Or(
            state.waiting(host, key),
            state.batched(host, key),
        )
        changed['batched', host, key] = False
    return changed


def _supersede(sizes, host, append, place, without):
    def guard(state):
        return z3.And(
            state.pending(host, append),
            state.place(append, place),
            written(state, sizes, place),
            z3.Not(_own(state, sizes, host, append, place, without)),
        )

    def updates(state):
        return {
            **_returned(sizes, host, state),
            ('pending', host, append): False,
            ('known', host, place): True,
        }

    return Action(
        f'supersede host={host} append={append} place={place}',
        guard,
        updates,
    )


def _abandon(sizes, host, append):
    """Return the end of an append that surely was and will not be applied."""
    return Action(
        f'abandon host={host} append={append}',
        lambda state: z3.And(
            state.pending(host, append),
            z3.Not(state.flying(append)),
            *(z3.Not(state.at(place, append)) for place in sizes.places),
        ),
        lambda state: {
            **_returned(sizes, host, state),
            ('pending', host, append): False,
        },
    )


def _crash(sizes, host):
    def updates(state):
        gone = [('known', host, place) for place in sizes.places]
        gone.extend(('pending', host, append) for append in sizes.appends)
        for key in sizes.keys:
            gone.extend((name, host, key) for name in _REQUEST)
        return dict.fromkeys(gone, False)

    return Action(
        f'crash host={host}', lambda state: z3.BoolVal(val=True), updates
    )


def all_actions(sizes, without):
    """Return every step, without one of the guards."""
    actions = [_drop(append) for append in sizes.appends]
    for host, key in itertools.product(sizes.hosts, sizes.keys):
        actions.extend(
            (
                _submit(host, key),
                _refuse(host, key, without),
                _repeat(sizes, host, key),
                _dispatch(host, key, without),
            )
        )
    for append, place in itertools.product(sizes.appends, sizes.places):
        actions.append(_apply(sizes, append, place, without))
    for host in sizes.hosts:
        actions.append(_crash(sizes, host))
        actions.extend(_read(sizes, host, place) for place in sizes.places)
        actions.extend(
            _abandon(sizes, host, append) for append in sizes.appends
        )
    for arguments in itertools.product(
        sizes.hosts, sizes.appends, sizes.places
    ):
        actions.extend(
            make(sizes, *arguments, without)
            for make in (_open, _settle, _supersede)
        )
    return actions
