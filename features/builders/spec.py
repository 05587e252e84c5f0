"""Recorded runs of the claims log, as a soak would write them."""

from spec.trace import TraceEvent


def begin(request, host='h1', key='k1'):
    """Return the event of a request that a host takes."""
    return TraceEvent('begin', host=host, request=request, key=key)


def opened(append, host='h1', position=1, claims=(), frees=()):
    """Return the event of a batch that is sent."""
    return TraceEvent(
        'open',
        host=host,
        shard='7',
        position=position,
        append=append,
        claims=tuple(claims),
        frees=tuple(frees),
    )


def applied(append, position=1):
    """Return the event of a batch that the store takes."""
    return TraceEvent('apply', shard='7', position=position, append=append)


def event(action, request, host='h1'):
    """Return another event of a request."""
    return TraceEvent(action, host=host, request=request)


def crash(host):
    """Return the end of a host."""
    return TraceEvent('crash', host=host)


def _claimed(request='r1'):
    return [begin(request), opened('a1', claims=[request]), applied('a1')]


RUNS = {
    'a repeat after a crash': [
        *_claimed(),
        event('dispatch', 'r1'),
        crash('h1'),
        begin('r2', host='h2'),
        begin('other', host='h2', key='k2'),
        opened('a2', host='h2', position=2, claims=['other']),
        event('repeat', 'r2', host='h2'),
        applied('a2', position=2),
        event('dispatch', 'other', host='h2'),
    ],
    'a lost race': [
        begin('r1'),
        begin('r2', host='h2', key='k2'),
        opened('a1', claims=['r1']),
        opened('a2', host='h2', claims=['r2']),
        applied('a1'),
        event('dispatch', 'r1'),
        opened('a3', host='h2', position=2, claims=['r2']),
        applied('a3', position=2),
        event('dispatch', 'r2', host='h2'),
    ],
    'a release and a repeat': [
        begin('r1'),
        opened('a1', host='h2', claims=['r1']),
        applied('a1'),
        event('refuse', 'r1'),
        opened('a2', position=2, frees=['r1']),
        applied('a2', position=2),
        begin('r2', host='h3'),
        opened('a3', host='h3', position=3, claims=['r2']),
        applied('a3', position=3),
        event('dispatch', 'r2', host='h3'),
    ],
    'a call that was given back': [
        *_claimed(),
        event('dispatch', 'r1'),
        event('giveback', 'r1'),
        event('dispatch', 'r1'),
    ],
    'dispatch before apply': [
        begin('r1'),
        opened('a1', claims=['r1']),
        event('dispatch', 'r1'),
    ],
    'a skipped position': [
        begin('r1'),
        begin('r2', host='h2'),
        opened('a1', claims=['r1']),
        opened('a2', host='h2', position=2, claims=['r2']),
    ],
    'an append left in doubt': [
        begin('r1'),
        begin('r2', key='k1'),
        opened('a1', claims=['r1']),
        opened('a2', position=1, claims=['r1', 'r2']),
        applied('a1'),
    ],
    'a create over an object': [
        begin('r1'),
        begin('r2', host='h2'),
        opened('a1', claims=['r1']),
        opened('a2', host='h2', claims=['r2']),
        applied('a1'),
        applied('a2'),
    ],
    'a second claim': [
        *_claimed(),
        event('dispatch', 'r1'),
        begin('r2', host='h2'),
        opened('a2', host='h2', position=2, claims=['r2']),
    ],
    'dispatch after refusal': [
        begin('r1'),
        opened('a1', claims=['r1']),
        event('refuse', 'r1'),
        applied('a1'),
        event('dispatch', 'r1'),
    ],
    'a release after the run': [
        *_claimed(),
        event('dispatch', 'r1'),
        event('refuse', 'r1'),
    ],
    'two dispatches': [
        *_claimed(),
        event('dispatch', 'r1'),
        event('dispatch', 'r1'),
    ],
}
