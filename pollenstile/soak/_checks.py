"""Invariants that are checked at the end of a run.

Explanation
===========

The checks use the records of the simulated callers, upstreams and store.
"""

from collections import Counter

from pollenstile.soak._endless import check_sent_elsewhere
from pollenstile.soak._manifest import DOMAINS, NON_IDEMPOTENT, TOKENS
from pollenstile.standin.engine import token
from pollenstile.upstream import wire

# Tolerated lateness of an outcome: the last timer of a request runs at its
# deadline, up to rounding.
_DEADLINE_TOLERANCE_SECONDS = 0.01
_NON_IDEMPOTENT_STAGE = 'book'
# Remaining time in which an upstream that stands still may yet go on.
_LEFT_SECONDS = 0.2


def check_all(world):
    """Check every invariant and record the violations."""
    runs = _runs_by_request(world)
    for exchange in world.exchanges():
        _check_exchange(world, exchange, runs)
    _check_single_runs(world, runs)
    _check_hosts(world)
    check_sent_elsewhere(world)


def _runs_by_request(world):
    runs = {}
    for upstream in world.all_upstreams():
        for attempt in upstream.runs:
            ident, step, _ = attempt.split('/')
            runs.setdefault(ident, Counter())[step] += 1
    return runs


def _check_exchange(world, exchange, runs):
    request = exchange.request
    if request is None:
        return
    _check_outcome_count(world, exchange)
    if not exchange.outcomes:
        return
    outcome = exchange.outcomes[0]
    if outcome.tag == 'not-run' and request.ident in runs:
        world.records.violate('not-run-but-ran', request.ident)
    if outcome.tag == 'answered':
        _check_answer(world, exchange, outcome)
    _check_tokens(world, exchange)
    _check_deadline(world, exchange)
    # One that ran nothing itself has the outcome of another with its key.
    if world.records.sound and request.ident in runs:
        _check_not_cut_off(world, exchange, outcome)


def _check_outcome_count(world, exchange):
    count = len(exchange.outcomes)
    # A killed host may give no outcome; a running one gives exactly one.
    least = 1 if exchange.host.process.alive else 0
    if not least <= count <= 1:
        ident = exchange.request.ident
        world.records.violate('outcomes', ident, count=count)


def _check_answer(world, exchange, outcome):
    if outcome.output not in _expected_outputs(exchange):
        world.records.violate(
            'wrong-answer',
            exchange.request.ident,
            output=outcome.output,
        )


def _expected_outputs(exchange):
    if exchange.caller_request.name in {'draft', 'answer'}:
        return [_generated_text(prompt) for prompt in _prompts(exchange)]
    pool = (
        'desk' if exchange.caller_request.name in NON_IDEMPOTENT else 'encoders'
    )
    # A retry with the same key may get the answer of the run that an earlier
    # attempt started.
    idents = (
        _request_idents(exchange.caller_request)
        if exchange.caller_request.key
        else ()
    )
    return [
        {'by': f'{pool}-{domain}', 'for': ident}
        for domain in DOMAINS
        for ident in (*idents, exchange.request.ident)
    ]


def _request_idents(caller_request):
    return [
        exchange.request.ident
        for exchange in caller_request.exchanges
        if exchange.request is not None
    ]


def _prompts(exchange):
    content = exchange.caller_request.content
    if exchange.caller_request.name == 'draft':
        return [wire.encode_json({'input': content, 'results': {}})]
    ident = exchange.request.ident
    prompts = []
    for domain in DOMAINS:
        result = {'by': f'encoders-{domain}', 'for': ident}
        document = {'input': content, 'results': {'lookup': result}}
        prompts.append(wire.encode_json(document))
    return prompts


def _generated_text(prompt, length=TOKENS):
    return ''.join(token(prompt, offset) for offset in range(length))


def _check_tokens(world, exchange):
    streamed_text = ''.join(exchange.tokens)
    outcome = exchange.outcomes[0]
    if outcome.tag == 'answered' and exchange.tokens:
        is_consistent = streamed_text == outcome.output
    else:
        texts = [_generated_text(prompt) for prompt in _prompts(exchange)]
        is_consistent = any(text.startswith(streamed_text) for text in texts)
    if not is_consistent:
        world.records.violate(
            'stream', exchange.request.ident, text=streamed_text
        )


def _check_deadline(world, exchange):
    overrun_seconds = exchange.ended_at - exchange.request.deadline
    if overrun_seconds <= _DEADLINE_TOLERANCE_SECONDS:
        return
    # A frozen process can't answer; it must answer when it is resumed.
    for moment in exchange.host.process.freeze_times:
        if abs(exchange.ended_at - moment) <= _DEADLINE_TOLERANCE_SECONDS:
            return
    world.records.violate(
        'late', exchange.request.ident, seconds=overrun_seconds
    )


def _check_not_cut_off(world, exchange, outcome):
    steps = {stage.name for stage in exchange.request.pipeline.stages}
    # The callers' own ends, and refusals of keys, name other steps.
    if getattr(outcome, 'step', '') not in steps:
        return
    seconds = exchange.request.deadline - exchange.ended_at
    if seconds > _LEFT_SECONDS:
        world.records.violate(
            'cut-off',
            exchange.request.ident,
            tag=outcome.tag,
            reason=outcome.reason,
            step=outcome.step,
            tokens=len(exchange.tokens),
            seconds=round(seconds, 2),
        )


def _check_single_runs(world, runs):
    for ident, steps in runs.items():
        if steps[_NON_IDEMPOTENT_STAGE] > 1:
            world.records.violate(
                'ran-twice', ident, count=steps[_NON_IDEMPOTENT_STAGE]
            )
    keys = Counter()
    for upstream in world.all_upstreams():
        keys.update(upstream.keys)
    for (key, step), count in keys.items():
        if step == _NON_IDEMPOTENT_STAGE and count > 1:
            world.records.violate('key-ran-twice', key, count=count)


def _check_hosts(world):
    found = world.store.objects.found('config', 'manifest')
    newest_version = found.version
    # Objects that are unchanged over a return keep their versions at hosts.
    has_returned = bool(world.store.objects.era)
    for host in world.all_hosts():
        if host.versions != sorted(set(host.versions)):
            world.records.violate('version-went-back', host.name)
        if host.texts != sorted(host.texts):
            world.records.violate('text-went-back', host.name)
    for host in world.hosts.values():
        if not has_returned and host.node.in_force.version != newest_version:
            world.records.violate('version-old', host.name)
        if host.node.in_force.text != found.value['text']:
            world.records.violate('text-old', host.name)
        _check_idle(world, host)


def _check_idle(world, host):
    open_counts = {
        'ledger': len(host.core.ledger.open),
        'node': host.node.in_flight,
        'admission': host.core.admission.running,
    }
    for name, state in host.core.tracker.states.items():
        open_counts[name] = state.in_flight
    for name, count in open_counts.items():
        if count:
            world.records.violate('left-open', host.name, what=name)
