"""Invariants of a hard-load run."""

from collections import Counter

from pollenstile.forward import events as forward_events
from pollenstile.reachability import events as reachability_events
from pollenstile.returns import events as return_events
from pollenstile.routes import Kind
from pollenstile.soak.hardload._tables import STAGES
from pollenstile.stagework._returning import queue_rate

# The bounds that the design page states for promises.
_MAX_PROMISES = 20_000
_SLOT_SECONDS = 0.1
_PROMISED_SHARE = 0.75
_HONOURED_SHARE = 1 / 3
# The event states the pieces of a slot in hundredths.
_PIECES_TOLERANCE = 0.01
_SUM_TOLERANCE = 1e-6
_SECONDS_TOLERANCE = 0.02


def check_event(world, name, event, fields):
    """Check what a host has logged."""
    host = world.fleet.hosts.get(name)
    if host is None or host.gone:
        return
    if event is forward_events.FORWARD_CRASHED:
        world.violate('crashed', name, error=fields['error'][-400:])
    if event is reachability_events.DOMAIN_UNREACHABLE:
        world.count('domains judged')
    if event is return_events.RETURN_PROMISED:
        world.count('promised')
        _check_promise(world, host, fields)


def check_all(world):
    """Check every invariant at the end of a run."""
    runs = {}
    for run in world.upstreams.runs:
        runs.setdefault(run.request, []).append(run.engine)
    for answer in world.answers:
        _check_end(world, answer)
        _check_runs(world, answer, runs.get(answer.ident, []))
        _check_content(world, answer)
    for caller in world.callers:
        _check_single_run(world, caller, runs)
    for host in world.fleet.running():
        for run in host.core.runs:
            world.violate('left-open', run.exchange.ident, host=host.name)
        if host.version != world.version:
            world.violate('version-old', host.name, version=host.version)


def _check_promise(world, host, fields):
    """Check a new promise against the bounds of its queue."""
    owner = host.daemon.parts.owners.by_service[STAGES]
    returns = owner.returns
    request = fields['request']
    bound = _PROMISED_SHARE * queue_rate(owner) * _SLOT_SECONDS
    if fields['slot_pieces'] > bound + _PIECES_TOLERANCE:
        world.violate(
            'promised-too-much',
            request,
            pieces=fields['slot_pieces'],
            bound=round(bound, 3),
        )
    if len(returns.promises) > _MAX_PROMISES:
        world.violate('too-many-promises', request)
    left = _deadline(world, request) - world.now()
    if fields['seconds'] > _HONOURED_SHARE * left + _SECONDS_TOLERANCE:
        world.violate(
            'promised-too-late', request, seconds=fields['seconds'], left=left
        )
    _check_sums(world, returns, request)


def _check_sums(world, returns, request):
    """Check that the pieces of each slot are those of its promises."""
    sums = Counter()
    for promise in returns.promises.values():
        for share in promise.shares:
            sums[share.slot] += share.pieces
    for slot, pieces in returns.pieces.items():
        if abs(pieces - sums[slot]) > _SUM_TOLERANCE:
            world.violate(
                'promises-miscounted', request, pieces=pieces, sum=sums[slot]
            )


def _deadline(world, request):
    return next(
        answer.ends
        for answer in reversed(world.answers)
        if answer.ident == request
    )


def _check_end(world, answer):
    if not answer.end and not answer.host.gone:
        world.violate('outcomes', answer.ident, end='none')


def _check_runs(world, answer, engines):
    """Check that a request runs as often as its answer and route say."""
    if answer.is_refused_unrun() and engines:
        world.violate(
            'not-run-but-ran',
            answer.ident,
            reason=answer.refusal.reason,
            engines=engines,
        )
    if len(set(engines)) > answer.route.attempts:
        world.violate('ran-too-often', answer.ident, engines=engines)


def _check_single_run(world, caller, runs):
    """Check that a non-idempotent request runs once over all its tries."""
    if caller.order.route.kind is not Kind.ONCE:
        return
    engines = [
        engine
        for answer in caller.answers
        for engine in runs.get(answer.ident, [])
    ]
    if len(engines) > 1:
        world.violate('ran-twice', caller.ident, engines=engines)


def _check_content(world, answer):
    """Check that an answer is the request's own, in order, and complete."""
    events = answer.events()
    if any(data != answer.ident for _, data in events):
        world.violate('wrong-answer', answer.ident)
    numbers = [number for number, _ in events]
    first = answer.first_event
    last = first + len(numbers)
    if numbers != list(range(first, last)):
        world.violate('stream', answer.ident, numbers=numbers)
    if answer.end == 'whole' and last <= world.events_per_answer():
        world.violate('short-answer', answer.ident, numbers=numbers)
