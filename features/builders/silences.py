"""Runs of whole hosts over upstreams that fall silent, made once each."""

from functools import cache
from itertools import product

from pollenstile.bench._silenceworld import Silence
from pollenstile.bench.silences import FOR_GOOD, play

STREAM = 'resumable, two attempts'
ANSWER = 'idempotent, two attempts'
# Routes whose requests are sent to one upstream.
SINGLE = ('resumable, one attempt', 'stream, not resumable', 'once')
# Silences of upstreams that go on, in seconds.
_SHORT = 1.3
_LONG = 2.5
_SIZE = (9, 4)
_SEED = 1
_MOMENTS = (3.0,)
_FOR_GOOD = Silence(0.3, FOR_GOOD)
_CONNECTIONS = Silence(connections=0.3)


@cache
def _played(route, silence, changes):
    """Return the world of a run, which no scenario may change."""
    return play(_SIZE, route, silence, _SEED, changes=changes, moments=_MOMENTS)


def _standing_still(share):
    return [
        _played(STREAM, Silence(share, seconds), changes)
        for seconds, changes in product((_SHORT, _LONG), (False, True))
    ] + [
        _played(ANSWER, Silence(share, seconds), changes)
        for seconds, changes in ((_SHORT, False), (_LONG, True))
    ]


WORLDS = {
    'all upstreams stand still': lambda: _standing_still(1.0),
    'three fifths of the upstreams stand still': lambda: _standing_still(0.6),
    'all upstreams stand still, and requests are sent once': lambda: [
        _played(route, Silence(1.0, _LONG), True) for route in SINGLE
    ],
    'a part of the upstreams is silent for good': lambda: [
        _played(route, _FOR_GOOD, False) for route in (STREAM, ANSWER)
    ],
    'single connections are silent for good': lambda: [
        _played(route, _CONNECTIONS, False) for route in (STREAM, ANSWER)
    ],
}
