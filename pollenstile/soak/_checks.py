"""What must hold at the end of a run, over the records of its fakes."""

from collections import Counter

from pollenstile.soak._manifest import DOMAINS, NON_IDEMPOTENT, TOKENS
from pollenstile.standin.engine import token
from pollenstile.upstream import wire

# An outcome may be this late: the last timer of a request runs at its
# deadline, give or take rounding.
_LATE_SECONDS = 0.01
_ONCE = 'book'


def check_all(world):
    """Look for violations of every invariant."""
    runs = _runs_by_request(world)
    for exchange in world.exchanges():
        _check_exchange(world, exchange, runs)
    _check_once(world, runs)
    _check_hosts(world)


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
    _check_count(world, exchange)
    if not exchange.outcomes:
        return
    outcome = exchange.outcomes[0]
    if outcome.tag == 'not-run' and request.ident in runs:
        world.records.violate('not-run-but-ran', request.ident)
    if outcome.tag == 'answered':
        _check_answer(world, exchange, outcome)
    _check_tokens(world, exchange)
    _check_deadline(world, exchange)


def _check_count(world, exchange):
    count = len(exchange.outcomes)
    # A host that died gives no outcome; a living one gives one.
    least = 1 if exchange.host.process.alive else 0
    if not least <= count <= 1:
        ident = exchange.request.ident
        world.records.violate('outcomes', ident, count=count)


def _check_answer(world, exchange, outcome):
    if outcome.output not in _right_outputs(exchange):
        world.records.violate(
            'wrong-answer',
            exchange.request.ident,
            output=outcome.output,
        )


def _right_outputs(exchange):
    if exchange.ask.name in {'draft', 'answer'}:
        return [_text(prompt) for prompt in _prompts(exchange)]
    pool = 'desk' if exchange.ask.name in NON_IDEMPOTENT else 'encoders'
    # A repeat gets the answer of the run that an earlier try has started.
    idents = _idents(exchange.ask) if exchange.ask.key else ()
    return [
        {'by': f'{pool}-{domain}', 'for': ident}
        for domain in DOMAINS
        for ident in (*idents, exchange.request.ident)
    ]


def _idents(ask):
    return [
        one.request.ident for one in ask.exchanges if one.request is not None
    ]


def _prompts(exchange):
    content = exchange.ask.content
    if exchange.ask.name == 'draft':
        return [wire.encode_json({'input': content, 'results': {}})]
    ident = exchange.request.ident
    prompts = []
    for domain in DOMAINS:
        result = {'by': f'encoders-{domain}', 'for': ident}
        document = {'input': content, 'results': {'lookup': result}}
        prompts.append(wire.encode_json(document))
    return prompts


def _text(prompt, length=TOKENS):
    return ''.join(token(prompt, offset) for offset in range(length))


def _check_tokens(world, exchange):
    passed = ''.join(exchange.tokens)
    outcome = exchange.outcomes[0]
    if outcome.tag == 'answered' and exchange.tokens:
        whole = passed == outcome.output
    else:
        texts = [_text(prompt) for prompt in _prompts(exchange)]
        whole = any(text.startswith(passed) for text in texts)
    if not whole:
        world.records.violate('stream', exchange.request.ident, text=passed)


def _check_deadline(world, exchange):
    late = exchange.ended - exchange.request.deadline
    if late <= _LATE_SECONDS:
        return
    # A frozen process can't answer; it must do so when it goes on.
    for moment in exchange.host.process.froze:
        if abs(exchange.ended - moment) <= _LATE_SECONDS:
            return
    world.records.violate('late', exchange.request.ident, seconds=late)


def _check_once(world, runs):
    for ident, steps in runs.items():
        if steps[_ONCE] > 1:
            world.records.violate('ran-twice', ident, count=steps[_ONCE])
    keys = Counter()
    for upstream in world.all_upstreams():
        keys.update(upstream.keys)
    for (key, step), count in keys.items():
        if step == _ONCE and count > 1:
            world.records.violate('key-ran-twice', key, count=count)


def _check_hosts(world):
    newest = world.store.objects.found('config', 'manifest').version
    for host in world.all_hosts():
        if host.versions != sorted(set(host.versions)):
            world.records.violate('version-went-back', host.name)
    for host in world.hosts.values():
        if host.node.in_force.version != newest:
            world.records.violate('version-old', host.name)
        _check_idle(world, host)


def _check_idle(world, host):
    left = {
        'ledger': len(host.core.ledger.open),
        'node': host.node.in_flight,
        'admission': host.core.admission.running,
    }
    for name, state in host.core.tracker.states.items():
        left[name] = state.in_flight
    for name, count in left.items():
        if count:
            world.records.violate('left-open', host.name, what=name)
