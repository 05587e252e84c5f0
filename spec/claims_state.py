"""The state of the claims' specification; see :mod:`spec.claims`."""

import itertools

from spec.logic import any_of, chosen, conj, disj, neg
from spec.model import BOOL

# Where a claim or a release waits at a host.
WAITING = ('queued', 'batched', 'letgo')


class Sizes:
    """How much of everything there is.

    Parameters
    ==========

    hosts, places, appends : int
        Hosts, positions of the log, and appends in all.
    requests : list of tuple
        Owner and key of each.
    """

    __slots__ = ('appends', 'hosts', 'places', 'requests', 'wanted')

    def __init__(self, hosts, places, appends, requests):
        self.hosts = range(hosts)
        self.places = range(places)
        self.appends = range(appends)
        self.requests = range(len(requests))
        self.wanted = requests

    def owner(self, request):
        """Return the host that would run a request."""
        return self.wanted[request][0]

    def key(self, request):
        """Return a request's key."""
        return self.wanted[request][1]

    def rivals(self, request):
        """Return the other requests with a request's key."""
        return [
            other
            for other in self.requests
            if other != request and self.key(other) == self.key(request)
        ]


def keyed_pairs(sizes):
    """Return the ordered pairs of requests with the same key."""
    return [(one, two) for one in sizes.requests for two in sizes.rivals(one)]


def variables(sizes):
    """Return the sort of each variable."""
    shapes = {
        'at': (sizes.places, sizes.appends),
        'used': (sizes.appends,),
        'place': (sizes.appends, sizes.places),
        'writer': (sizes.appends, sizes.hosts),
        'claims': (sizes.appends, sizes.requests),
        'frees': (sizes.appends, sizes.requests),
        'flying': (sizes.appends,),
        'known': (sizes.hosts, sizes.places),
        'pending': (sizes.hosts, sizes.appends),
        **dict.fromkeys(WAITING, (sizes.hosts, sizes.requests)),
        'begun': (sizes.requests,),
        'live': (sizes.requests,),
        'heard': (sizes.requests,),
        'ran': (sizes.requests,),
        'told': (sizes.requests,),
    }
    return {
        (name, *place): BOOL
        for name, ranges in shapes.items()
        for place in itertools.product(*ranges)
    }


def choices(sizes):
    """Return the sorts of what each step chooses.

    Explanation
    ===========

    Whether releases are written where they need not be, and which queued
    claims and releases go into a batch.
    """
    chosen = {'releases': BOOL}
    for request in sizes.requests:
        chosen['takes', request] = BOOL
        chosen['yields', request] = BOOL
    return chosen


def written(state, sizes, place):
    """Return whether a position is written."""
    return any_of(state.at(place, append) for append in sizes.appends)


def _stands(state, sizes, place, listed, request):
    return any_of(
        conj(state.at(place, append), listed(append, request))
        for append in sizes.appends
    )


def _folded(state, sizes, before, place):
    """Return who holds each key after a position, from who held it before.

    Explanation
    ===========

    Releases count before claims. Of two claims of a key in one object the
    lower-numbered request's counts, which stands for any order.
    """
    kept = {}
    claimed = {}
    for request in sizes.requests:
        freed = _stands(state, sizes, place, state.frees, request)
        kept[request] = conj(before[request], neg(freed))
        claimed[request] = _stands(state, sizes, place, state.claims, request)
    return {
        request: disj(
            kept[request],
            conj(
                claimed[request],
                *(neg(kept[rival]) for rival in sizes.rivals(request)),
                *(
                    neg(claimed[rival])
                    for rival in sizes.rivals(request)
                    if rival < request
                ),
            ),
        )
        for request in sizes.requests
    }


def holders(state, sizes, host=None):
    """Return which requests hold their keys, by all that a host has read.

    Parameters
    ==========

    host : int or None
        None for the whole log.
    """
    found = dict.fromkeys(sizes.requests, False)
    for place in sizes.places:
        after = _folded(state, sizes, found, place)
        if host is None:
            found = after
            continue
        read = state.known(host, place)
        found = {
            request: chosen(read, after[request], found[request])
            for request in sizes.requests
        }
    return found


def holds_at(state, sizes, host, request):
    """Return whether a host has read that a request holds its key."""
    return holders(state, sizes, host)[request]


def is_next(state, host, place):
    """Return whether a position is the first that a host has not read."""
    earlier = [state.known(host, other) for other in range(place)]
    return conj(*earlier, neg(state.known(host, place)))
