"""Recorded runs of the claims log, built by hand."""

from spec.trace import TraceEvent


def begin(request, host='h1', key='k1'):
    """Return the event of a request that arrives at a host."""
    return TraceEvent('begin', host=host, request=request, key=key)


def open_append(append, host='h1', position=1, claims=(), frees=()):
    """Return the event of a batch that is sent for the first time."""
    return TraceEvent(
        'open',
        host=host,
        shard='7',
        position=position,
        append=append,
        claims=tuple(claims),
        frees=tuple(frees),
    )


def apply_append(append, position=1):
    """Return the event of a batch that the store applies."""
    return TraceEvent('apply', shard='7', position=position, append=append)


def request_event(action, request, host='h1'):
    """Return another event of a request."""
    return TraceEvent(action, host=host, request=request)


def crash(host):
    """Return the event of a host that crashes."""
    return TraceEvent('crash', host=host)


def _claim_steps(request='r1'):
    return [
        begin(request),
        open_append('a1', claims=[request]),
        apply_append('a1'),
    ]


RECORDED_RUNS = {
    'a repeat after a crash': [
        *_claim_steps(),
        request_event('dispatch', 'r1'),
        crash('h1'),
        begin('r2', host='h2'),
        begin('other', host='h2', key='k2'),
        open_append('a2', host='h2', position=2, claims=['other']),
        request_event('repeat', 'r2', host='h2'),
        apply_append('a2', position=2),
        request_event('dispatch', 'other', host='h2'),
    ],
    'a race for a position': [
        begin('r1'),
        begin('r2', host='h2', key='k2'),
        open_append('a1', claims=['r1']),
        open_append('a2', host='h2', claims=['r2']),
        apply_append('a1'),
        request_event('dispatch', 'r1'),
        open_append('a3', host='h2', position=2, claims=['r2']),
        apply_append('a3', position=2),
        request_event('dispatch', 'r2', host='h2'),
    ],
    'a release and a repeat': [
        begin('r1'),
        open_append('a1', host='h2', claims=['r1']),
        apply_append('a1'),
        request_event('refuse', 'r1'),
        open_append('a2', position=2, frees=['r1']),
        apply_append('a2', position=2),
        begin('r2', host='h3'),
        open_append('a3', host='h3', position=3, claims=['r2']),
        apply_append('a3', position=3),
        request_event('dispatch', 'r2', host='h3'),
    ],
    'a call that did not run': [
        *_claim_steps(),
        request_event('dispatch', 'r1'),
        request_event('giveback', 'r1'),
        request_event('dispatch', 'r1'),
    ],
    'dispatch before apply': [
        begin('r1'),
        open_append('a1', claims=['r1']),
        request_event('dispatch', 'r1'),
    ],
    'a skipped position': [
        begin('r1'),
        begin('r2', host='h2'),
        open_append('a1', claims=['r1']),
        open_append('a2', host='h2', position=2, claims=['r2']),
    ],
    'an append in doubt': [
        begin('r1'),
        begin('r2', key='k1'),
        open_append('a1', claims=['r1']),
        open_append('a2', position=1, claims=['r1', 'r2']),
        apply_append('a1'),
    ],
    'an overwritten object': [
        begin('r1'),
        begin('r2', host='h2'),
        open_append('a1', claims=['r1']),
        open_append('a2', host='h2', claims=['r2']),
        apply_append('a1'),
        apply_append('a2'),
    ],
    'a claim of a held key': [
        *_claim_steps(),
        request_event('dispatch', 'r1'),
        begin('r2', host='h2'),
        open_append('a2', host='h2', position=2, claims=['r2']),
    ],
    'dispatch after refusal': [
        begin('r1'),
        open_append('a1', claims=['r1']),
        request_event('refuse', 'r1'),
        apply_append('a1'),
        request_event('dispatch', 'r1'),
    ],
    'a release after the run': [
        *_claim_steps(),
        request_event('dispatch', 'r1'),
        request_event('refuse', 'r1'),
    ],
    'two dispatches': [
        *_claim_steps(),
        request_event('dispatch', 'r1'),
        request_event('dispatch', 'r1'),
    ],
}
