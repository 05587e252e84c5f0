"""Actions of the claims log model; see :mod:`spec.claims`."""

import itertools

from spec.claims_state import (
    WAITING,
    holders,
    holds_at,
    is_next,
    is_written,
)
from spec.logic import all_of, any_of, conj, disj, neg
from spec.model import Action


def _has_no_pending_append(state, sizes, host):
    return all_of(
        [neg(state.pending(host, append)) for append in sizes.appends]
    )


def _begin(sizes, request):
    return Action(
        f'begin request={request}',
        lambda state: neg(state.begun(request)),
        lambda state: {
            ('begun', request): True,
            ('live', request): True,
            ('queued', sizes.owner(request), request): True,
        },
    )


def _forward(host, request):
    """Return the action: a forwarded claim arrives, maybe late or repeated."""
    return Action(
        f'forward request={request} host={host}',
        lambda state: conj(
            state.begun(request),
            neg(state.batched(host, request)),
        ),
        lambda state: {('queued', host, request): True},
    )


def _withdraw_claim(host, request):
    return {
        ('queued', host, request): False,
        ('batched', host, request): False,
    }


def _refuse(sizes, request, without):
    """Return the action: an owner refuses a request it has not dispatched."""
    owner = sizes.owner(request)

    def updates(state):
        if without == 'leave-batch-when-refused':
            return {('told', request): True}
        return {
            ('told', request): True,
            ('live', request): False,
            **_withdraw_claim(owner, request),
            ('letgo', owner, request): disj(
                state.batched(owner, request),
                state.releases(),
            ),
        }

    return Action(
        f'refuse request={request}',
        lambda state: state.live(request),
        updates,
    )


def _repeat(sizes, request):
    """Return the action: a request ends since another holds its key.

    The owner, or a host that reports to the owner, has read this in the log.
    """
    owner = sizes.owner(request)
    return Action(
        f'repeat request={request}',
        lambda state: conj(
            state.live(request),
            any_of(
                holds_at(state, sizes, host, other)
                for other in sizes.same_key_requests(request)
                for host in sizes.hosts
            ),
        ),
        lambda state: {
            ('live', request): False,
            **_withdraw_claim(owner, request),
        },
    )


def _find(sizes, host, request):
    """Return the action: a host reports that a request holds its key."""
    return Action(
        f'find host={host} request={request}',
        lambda state: holds_at(state, sizes, host, request),
        lambda state: {('heard', request): True},
    )


def _dispatch(sizes, request, without):
    def guard(state):
        ready = state.heard(request)
        if without == 'durable-before-dispatch':
            ready = state.batched(sizes.owner(request), request)
        return conj(state.live(request), ready)

    return Action(
        f'dispatch request={request}',
        guard,
        lambda state: {('live', request): False, ('ran', request): True},
    )


def _is_claim_selected(state, sizes, host, known, request):
    """Return whether a queued claim goes into the new batch."""
    same_key = [request, *sizes.same_key_requests(request)]
    return conj(
        state.takes(request),
        state.queued(host, request),
        *(neg(known[other]) for other in same_key),
    )


def _is_release_selected(state, host, request):
    return conj(state.yields(request), state.letgo(host, request))


def _open(sizes, host, append, position, without):
    def guard(state):
        known = holders(state, sizes, host)
        fits = is_next(state, host, position)
        if without == 'append-after-known-prefix':
            fits = neg(state.known(host, position))
        return conj(
            fits,
            neg(state.used(append)),
            *(state.used(other) for other in range(append)),
            _has_no_pending_append(state, sizes, host),
            any_of(
                disj(
                    _is_release_selected(state, host, request),
                    _is_claim_selected(state, sizes, host, known, request),
                )
                for request in sizes.requests
            ),
        )

    def updates(state):
        changed = {
            ('used', append): True,
            ('flying', append): True,
            ('pending', host, append): True,
            ('place', append, position): True,
            ('writer', append, host): True,
        }
        known = holders(state, sizes, host)
        for request in sizes.requests:
            selected = _is_claim_selected(state, sizes, host, known, request)
            still_queued = conj(state.queued(host, request), neg(selected))
            changed['claims', append, request] = selected
            released = _is_release_selected(state, host, request)
            still_waiting = conj(state.letgo(host, request), neg(released))
            changed['frees', append, request] = released
            changed['batched', host, request] = selected
            changed['queued', host, request] = still_queued
            changed['letgo', host, request] = still_waiting
        return changed

    return Action(
        f'open host={host} append={append} place={position}',
        guard,
        updates,
    )


def _apply(sizes, append, position, without):
    def guard(state):
        is_in_flight = conj(state.flying(append), state.place(append, position))
        if without == 'create-if-absent':
            return is_in_flight
        return conj(is_in_flight, neg(is_written(state, sizes, position)))

    def updates(state):
        changed = {('at', position, other): False for other in sizes.appends}
        changed['at', position, append] = True
        changed['flying', append] = False
        return changed

    return Action(f'apply append={append} place={position}', guard, updates)


def _drop(append):
    return Action(
        f'drop append={append}',
        lambda state: state.flying(append),
        lambda state: {('flying', append): False},
    )


def _read(sizes, host, position):
    return Action(
        f'read host={host} place={position}',
        lambda state: conj(
            is_next(state, host, position),
            is_written(state, sizes, position),
            _has_no_pending_append(state, sizes, host),
        ),
        lambda state: {('known', host, position): True},
    )


def _settle(sizes, host, append, position, without):
    """Return the action: an answer or a read-back confirms an append."""

    def updates(state):
        changed = {
            ('pending', host, append): False,
            ('known', host, position): True,
        }
        for request in sizes.requests:
            batched = state.batched(host, request)
            changed['batched', host, request] = False
            # A host may write its releases again although they are in the log.
            again = conj(state.releases(), state.frees(append, request))
            released = disj(state.letgo(host, request), again)
            changed['letgo', host, request] = released
            if without == 'first-claim-in-the-log-holds':
                heard = disj(state.heard(request), batched)
                changed['heard', request] = heard
        return changed

    return Action(
        f'settle host={host} append={append} place={position}',
        lambda state: conj(
            state.pending(host, append),
            state.place(append, position),
            state.at(position, append),
        ),
        updates,
    )


def _requeue_batch(state, sizes, host, append):
    """Return the updates that put a batch back into the queue of its host."""
    changed = {('pending', host, append): False}
    for request in sizes.requests:
        changed['queued', host, request] = disj(
            state.queued(host, request),
            state.batched(host, request),
        )
        changed['letgo', host, request] = disj(
            state.letgo(host, request),
            state.frees(append, request),
        )
        changed['batched', host, request] = False
    return changed


def _supersede(sizes, host, append, position):
    """Return the action: a host reads another append at its position."""
    return Action(
        f'supersede host={host} append={append} place={position}',
        lambda state: conj(
            state.pending(host, append),
            state.place(append, position),
            is_written(state, sizes, position),
            neg(state.at(position, append)),
        ),
        lambda state: {
            **_requeue_batch(state, sizes, host, append),
            ('known', host, position): True,
        },
    )


def _abandon(sizes, host, append):
    """Return the action: a host gives up an append that can't be applied."""
    return Action(
        f'abandon host={host} append={append}',
        lambda state: conj(
            state.pending(host, append),
            neg(state.flying(append)),
            *(neg(state.at(position, append)) for position in sizes.positions),
        ),
        lambda state: _requeue_batch(state, sizes, host, append),
    )


def _crash(sizes, host):
    def updates(state):
        cleared = [('known', host, position) for position in sizes.positions]
        cleared.extend(('pending', host, append) for append in sizes.appends)
        for request in sizes.requests:
            cleared.extend((name, host, request) for name in WAITING)
            if sizes.owner(request) == host:
                cleared.append(('live', request))
        return dict.fromkeys(cleared, False)

    return Action(
        f'crash host={host}',
        lambda state: True,
        updates,
    )


def _wrong_release(host, request, without):
    """Return the action: a release that the omitted guard would prevent."""

    def guard(state):
        if without == 'release-only-what-has-not-run':
            return state.ran(request)
        return state.batched(host, request)

    return Action(
        f'wrong-release host={host} request={request}',
        guard,
        lambda state: {
            ('letgo', host, request): True,
            ('batched', host, request): False,
        },
    )


def _request_actions(sizes, request, without):
    owner = sizes.owner(request)
    actions = [
        _begin(sizes, request),
        _refuse(sizes, request, without),
        _repeat(sizes, request),
        _dispatch(sizes, request, without),
    ]
    for host in sizes.hosts:
        actions.append(_find(sizes, host, request))
        if host != owner:
            actions.append(_forward(host, request))
        if without == 'release-only-by-the-owner' and host != owner:
            actions.append(_wrong_release(host, request, without))
    if without == 'release-only-what-has-not-run':
        actions.append(_wrong_release(owner, request, without))
    return actions


def all_actions(sizes, without):
    """Return all actions, optionally without one of the guards."""
    actions = [_drop(append) for append in sizes.appends]
    for request in sizes.requests:
        actions.extend(_request_actions(sizes, request, without))
    for append, position in itertools.product(sizes.appends, sizes.positions):
        actions.append(_apply(sizes, append, position, without))
    for host in sizes.hosts:
        actions.append(_crash(sizes, host))
        actions.extend(
            _read(sizes, host, position) for position in sizes.positions
        )
        actions.extend(
            _abandon(sizes, host, append) for append in sizes.appends
        )
    for host, append, position in itertools.product(
        sizes.hosts,
        sizes.appends,
        sizes.positions,
    ):
        actions.append(_open(sizes, host, append, position, without))
        actions.append(_settle(sizes, host, append, position, without))
        actions.append(_supersede(sizes, host, append, position))
    return actions
