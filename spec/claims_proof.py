"""What holds of the claims log, and why; see :mod:`spec.claims`."""

import itertools

from spec.claims_state import holders, is_next, keyed_pairs, written
from spec.logic import all_of, any_of, conj, disj, implies, neg

ONE_RUN = 'one run for each key'
NOT_RUN = 'not run means not run'


def properties(sizes):
    """Return what must hold in each state."""
    return {
        ONE_RUN: lambda state: all_of(
            neg(conj(state.ran(one), state.ran(two)))
            for one, two in keyed_pairs(sizes)
        ),
        NOT_RUN: lambda state: all_of(
            neg(conj(state.told(request), state.ran(request)))
            for request in sizes.requests
        ),
    }


def _is_put(state, sizes, place, append):
    """Return whether an append that has a position is in order."""
    others = [other for other in sizes.places if other != place]
    return conj(
        state.used(append),
        *(neg(state.place(append, other)) for other in others),
        *(written(state, sizes, earlier) for earlier in range(place)),
    )


def _is_blank(state, sizes, append):
    return neg(
        disj(
            state.flying(append),
            *(state.pending(host, append) for host in sizes.hosts),
            *(state.writer(append, host) for host in sizes.hosts),
            *(state.claims(append, request) for request in sizes.requests),
            *(state.frees(append, request) for request in sizes.requests),
        )
    )


def _log_invariants(sizes):
    pairs = list(itertools.combinations(sizes.appends, 2))
    spots = list(itertools.product(sizes.places, sizes.appends))
    return {
        'one object at a position': lambda state: all_of(
            neg(conj(state.at(place, one), state.at(place, two)))
            for place in sizes.places
            for one, two in pairs
        ),
        'an object stands where its append put it': lambda state: all_of(
            implies(
                state.at(place, append),
                conj(
                    state.place(append, place),
                    neg(state.flying(append)),
                ),
            )
            for place, append in spots
        ),
        'an append has one position, and those before are written': (
            lambda state: all_of(
                implies(
                    state.place(append, place),
                    _is_put(state, sizes, place, append),
                )
                for place, append in spots
            )
        ),
        'nothing is left of an append that is not used': lambda state: all_of(
            disj(state.used(append), _is_blank(state, sizes, append))
            for append in sizes.appends
        ),
        'an append has one writer': lambda state: all_of(
            neg(conj(state.writer(append, one), state.writer(append, two)))
            for append in sizes.appends
            for one, two in itertools.combinations(sizes.hosts, 2)
        ),
    }


def _is_pending_well(state, sizes, host, append):
    others = [other for other in sizes.appends if other != append]
    return conj(
        state.writer(append, host),
        *(neg(state.pending(host, other)) for other in others),
        *(
            implies(state.place(append, place), is_next(state, host, place))
            for place in sizes.places
        ),
    )


def _host_invariants(sizes):
    return {
        'a host has read a written prefix': lambda state: all_of(
            implies(
                state.known(host, place),
                conj(
                    written(state, sizes, place),
                    *(state.known(host, other) for other in range(place)),
                ),
            )
            for host in sizes.hosts
            for place in sizes.places
        ),
        "a pending append is the host's own, at its first unread position": (
            lambda state: all_of(
                implies(
                    state.pending(host, append),
                    _is_pending_well(state, sizes, host, append),
                )
                for host in sizes.hosts
                for append in sizes.appends
            )
        ),
    }


def _may_not_run(state, request):
    return conj(
        state.begun(request),
        neg(state.live(request)),
        neg(state.ran(request)),
    )


def _released(state, sizes, request):
    """Return whether a release is queued or in an append, and by whom."""
    owner = sizes.owner(request)
    queued = [state.letgo(host, request) for host in sizes.hosts]
    appended = [state.frees(append, request) for append in sizes.appends]
    foreign = [
        state.letgo(host, request) for host in sizes.hosts if host != owner
    ]
    foreign.extend(
        conj(
            state.frees(append, request),
            neg(state.writer(append, owner)),
        )
        for append in sizes.appends
    )
    return disj(*queued, *appended), any_of(foreign)


def _traces_of(state, sizes, request):
    return [
        state.live(request),
        state.heard(request),
        *(state.queued(host, request) for host in sizes.hosts),
        *(state.batched(host, request) for host in sizes.hosts),
        *(state.claims(append, request) for append in sizes.appends),
    ]


def _request_invariants(sizes):
    def releases(state):
        parts = []
        for request in sizes.requests:
            released, foreign = _released(state, sizes, request)
            over = _may_not_run(state, request)
            parts.append(implies(released, over))
            parts.append(neg(foreign))
        return all_of(parts)

    def held(state):
        now = holders(state, sizes)
        return all_of(
            implies(
                conj(
                    state.heard(request),
                    disj(state.live(request), state.ran(request)),
                ),
                now[request],
            )
            for request in sizes.requests
        )

    return {
        'a request is live, then ran or was refused': lambda state: all_of(
            conj(
                implies(
                    any_of(_traces_of(state, sizes, request)),
                    state.begun(request),
                ),
                implies(state.told(request), _may_not_run(state, request)),
                implies(
                    state.ran(request),
                    conj(
                        state.begun(request),
                        state.heard(request),
                        neg(state.live(request)),
                    ),
                ),
            )
            for request in sizes.requests
        ),
        'an owner releases, and only what does not run': releases,
        'what was found to hold a key holds it while it may run': held,
    }


def invariants(sizes):
    """Return what holds in each state and proves the properties."""
    return {
        **_log_invariants(sizes),
        **_host_invariants(sizes),
        **_request_invariants(sizes),
    }
