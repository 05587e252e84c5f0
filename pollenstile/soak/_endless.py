"""Engines of a run that send without end what brings nothing."""

_EVERY_SECONDS = 1.5
_MAX_SECONDS = 2.5
# Requests from which on the share that went to another engine counts.
_MIN_REQUESTS = 4
_MIN_ELSEWHERE_SHARE = 0.25


def schedule_endless(world, rng, seconds):
    """Let single engines repeat their last token at random times.

    Explanation
    ===========

    The times have a generator of their own.
    """
    moment = rng.uniform(0.1, _EVERY_SECONDS)
    while moment < seconds:
        length = rng.uniform(0.5, _MAX_SECONDS)
        world.clock.callLater(moment, _begin, world, rng, length)
        moment += length + rng.uniform(0.1, _EVERY_SECONDS)


def _begin(world, rng, seconds):
    engines = sorted(
        name
        for name, upstream in world.upstreams.items()
        if upstream.kind == 'engine'
    )
    upstream = world.upstreams[rng.choice(engines)]
    world.trace.note('endless', upstream=upstream.name, seconds=seconds)
    upstream.faults.endless = True
    world.clock.callLater(seconds, setattr, upstream.faults, 'endless', False)


def check_sent_elsewhere(world):
    """Check that requests of such an engine go to others, which are sound."""
    runs = _engine_runs(world)
    sent = 0
    kept = 0
    for exchange in _repeated_exchanges(world):
        if len(runs[exchange.request.ident]) > 1:
            sent += 1
        elif exchange.outcomes[0].tag != 'answered':
            kept += 1
    total = sent + kept
    if total >= _MIN_REQUESTS and sent < _MIN_ELSEWHERE_SHARE * total:
        world.records.violate(
            'not-sent-elsewhere', 'engines', sent=sent, of=total
        )


def _repeated_exchanges(world):
    """Return the ended exchanges to which an engine repeated a token."""
    repeated = {
        attempt.partition('/')[0]
        for upstream in world.all_upstreams()
        for attempt in upstream.repeated
    }
    return [
        exchange
        for exchange in world.exchanges()
        if exchange.outcomes
        and exchange.request is not None
        and exchange.request.ident in repeated
    ]


def _engine_runs(world):
    """Return the names of the engines that ran each request."""
    runs = {}
    for upstream in world.all_upstreams():
        if upstream.kind != 'engine':
            continue
        for attempt in upstream.runs:
            ident = attempt.partition('/')[0]
            runs.setdefault(ident, set()).add(upstream.name)
    return runs
