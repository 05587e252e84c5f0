"""Properties and inductive invariants of the claims log.

See :mod:`spec.claims` for the variables.
"""

import itertools

from spec.claims_state import holders, is_next, is_written, same_key_pairs
from spec.logic import all_of, any_of, conj, disj, implies, neg

ONE_RUN = 'one run for each key'
NOT_RUN = 'not run means not run'


def properties(sizes):
    """Return the properties that must hold in each state."""
    return {
        ONE_RUN: lambda state: all_of(
            neg(conj(state.ran(one), state.ran(two)))
            for one, two in same_key_pairs(sizes)
        ),
        NOT_RUN: lambda state: all_of(
            neg(conj(state.told(request), state.ran(request)))
            for request in sizes.requests
        ),
    }


def _is_positioned(state, sizes, position, append):
    """Return whether an append is used, at one position, after written ones."""
    others = [other for other in sizes.positions if other != position]
    return conj(
        state.used(append),
        *(neg(state.place(append, other)) for other in others),
        *(is_written(state, sizes, earlier) for earlier in range(position)),
    )


def _is_empty(state, sizes, append):
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
    placements = list(itertools.product(sizes.positions, sizes.appends))
    return {
        'one object at a position': lambda state: all_of(
            neg(conj(state.at(position, one), state.at(position, two)))
            for position in sizes.positions
            for one, two in pairs
        ),
        'an object is at the position of its append': lambda state: all_of(
            implies(
                state.at(position, append),
                conj(
                    state.place(append, position),
                    neg(state.flying(append)),
                ),
            )
            for position, append in placements
        ),
        'an append has one position, and all earlier ones are written': (
            lambda state: all_of(
                implies(
                    state.place(append, position),
                    _is_positioned(state, sizes, position, append),
                )
                for position, append in placements
            )
        ),
        'an unused append has no state': lambda state: all_of(
            disj(state.used(append), _is_empty(state, sizes, append))
            for append in sizes.appends
        ),
        'an append has one writer': lambda state: all_of(
            neg(conj(state.writer(append, one), state.writer(append, two)))
            for append in sizes.appends
            for one, two in itertools.combinations(sizes.hosts, 2)
        ),
    }


def _is_valid_pending(state, sizes, host, append):
    others = [other for other in sizes.appends if other != append]
    return conj(
        state.writer(append, host),
        *(neg(state.pending(host, other)) for other in others),
        *(
            implies(
                state.place(append, position), is_next(state, host, position)
            )
            for position in sizes.positions
        ),
    )


def _host_invariants(sizes):
    return {
        'a host has read a written prefix': lambda state: all_of(
            implies(
                state.known(host, position),
                conj(
                    is_written(state, sizes, position),
                    *(state.known(host, other) for other in range(position)),
                ),
            )
            for host in sizes.hosts
            for position in sizes.positions
        ),
        "a pending append is the host's own, at its first unread position": (
            lambda state: all_of(
                implies(
                    state.pending(host, append),
                    _is_valid_pending(state, sizes, host, append),
                )
                for host in sizes.hosts
                for append in sizes.appends
            )
        ),
    }


def _ended_without_run(state, request):
    return conj(
        state.begun(request),
        neg(state.live(request)),
        neg(state.ran(request)),
    )


def _released(state, sizes, request):
    """Return whether a release exists, and whether a non-owner made one."""
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


def _request_facts(state, sizes, request):
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
            ended = _ended_without_run(state, request)
            parts.append(implies(released, ended))
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
                    any_of(_request_facts(state, sizes, request)),
                    state.begun(request),
                ),
                implies(
                    state.told(request), _ended_without_run(state, request)
                ),
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
        'only the owner releases, and only requests that do not run': releases,
        'a request found to hold its key holds it while it may run': held,
    }


def invariants(sizes):
    """Return the inductive invariants that imply the properties."""
    return {
        **_log_invariants(sizes),
        **_host_invariants(sizes),
        **_request_invariants(sizes),
    }
