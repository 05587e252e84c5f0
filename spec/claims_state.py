"""State variables of the claims log model and values derived from them.

See :mod:`spec.claims` for the meaning of the variables.
"""

import itertools

from spec.logic import any_of, conj, disj, if_then_else, neg
from spec.model import BOOL

# Variables of claims and releases in the memory of a host.
WAITING = ('queued', 'batched', 'letgo')


class Sizes:
    """Numbers of hosts, positions, appends and requests of a model.

    Parameters
    ==========

    hosts, positions, appends : int
        Number of hosts, of positions in the log, and of appends.
    requests : list of tuple
        Owner and key of each request.
    """

    __slots__ = ('appends', 'hosts', 'owners_and_keys', 'positions', 'requests')

    def __init__(self, hosts, positions, appends, requests):
        self.hosts = range(hosts)
        self.positions = range(positions)
        self.appends = range(appends)
        self.requests = range(len(requests))
        self.owners_and_keys = requests

    def owner(self, request):
        """Return the owner of a request, the host that would run it."""
        return self.owners_and_keys[request][0]

    def key(self, request):
        """Return the key of a request."""
        return self.owners_and_keys[request][1]

    def same_key_requests(self, request):
        """Return the other requests with the same key."""
        return [
            other
            for other in self.requests
            if other != request and self.key(other) == self.key(request)
        ]


def same_key_pairs(sizes):
    """Return the ordered pairs of requests with the same key."""
    return [
        (one, two)
        for one in sizes.requests
        for two in sizes.same_key_requests(one)
    ]


def variables(sizes):
    """Return the sort of each variable."""
    shapes = {
        'at': (sizes.positions, sizes.appends),
        'used': (sizes.appends,),
        'place': (sizes.appends, sizes.positions),
        'writer': (sizes.appends, sizes.hosts),
        'claims': (sizes.appends, sizes.requests),
        'frees': (sizes.appends, sizes.requests),
        'flying': (sizes.appends,),
        'known': (sizes.hosts, sizes.positions),
        'pending': (sizes.hosts, sizes.appends),
        **dict.fromkeys(WAITING, (sizes.hosts, sizes.requests)),
        'begun': (sizes.requests,),
        'live': (sizes.requests,),
        'heard': (sizes.requests,),
        'ran': (sizes.requests,),
        'told': (sizes.requests,),
    }
    return {
        (name, *indices): BOOL
        for name, ranges in shapes.items()
        for indices in itertools.product(*ranges)
    }


def choices(sizes):
    """Return the sorts of the free variables of each step.

    Explanation
    ===========

    ``releases`` decides whether a release is written that is not required;
    ``takes`` and ``yields`` decide which queued claims and releases go into a
    batch.
    """
    sorts = {'releases': BOOL}
    for request in sizes.requests:
        sorts['takes', request] = BOOL
        sorts['yields', request] = BOOL
    return sorts


def is_written(state, sizes, position):
    """Return whether a position is written."""
    return any_of(state.at(position, append) for append in sizes.appends)


def _is_recorded(state, sizes, position, listed, request):
    return any_of(
        conj(state.at(position, append), listed(append, request))
        for append in sizes.appends
    )


def _holders_after(state, sizes, before, position):
    """Return the requests that hold their keys after a position.

    Explanation
    ===========

    Releases are applied before claims. Of two claims of a key in one object,
    the claim of the lower-numbered request wins, which represents any order.
    """
    still_held = {}
    claimed = {}
    for request in sizes.requests:
        released = _is_recorded(state, sizes, position, state.frees, request)
        still_held[request] = conj(before[request], neg(released))
        claimed[request] = _is_recorded(
            state, sizes, position, state.claims, request
        )
    return {
        request: disj(
            still_held[request],
            conj(
                claimed[request],
                *(
                    neg(still_held[other])
                    for other in sizes.same_key_requests(request)
                ),
                *(
                    neg(claimed[other])
                    for other in sizes.same_key_requests(request)
                    if other < request
                ),
            ),
        )
        for request in sizes.requests
    }


def holders(state, sizes, host=None):
    """Return the requests that hold their keys in the prefix a host has read.

    Parameters
    ==========

    host : int or None
        Host whose read positions count; None for the full log.
    """
    found = dict.fromkeys(sizes.requests, False)
    for position in sizes.positions:
        after = _holders_after(state, sizes, found, position)
        if host is None:
            found = after
            continue
        read = state.known(host, position)
        found = {
            request: if_then_else(read, after[request], found[request])
            for request in sizes.requests
        }
    return found


def holds_at(state, sizes, host, request):
    """Return whether a host has read that a request holds its key."""
    return holders(state, sizes, host)[request]


def is_next(state, host, position):
    """Return whether a position is the first one that a host has not read."""
    earlier = [state.known(host, other) for other in range(position)]
    return conj(*earlier, neg(state.known(host, position)))
