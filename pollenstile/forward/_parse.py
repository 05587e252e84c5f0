"""From a caller's bytes to an exchange, or to the reason why not."""

from pollenstile.forward._admission import admit_request
from pollenstile.forward._types import RouteQuery, Exchange, Refusal
from pollenstile.ops.numbers import whole_number
from pollenstile.routes import Kind, pick_service, urgency_of

_MS = 1000
# Where refusals of this module arise.
_STEP = 'entry'
_BAD_REQUEST = 400
_UNAVAILABLE = 503
# Seconds after which a host that just started has its configuration.
_START_RETRY = 0.5
# Pieces of one step of a request, and parts of a prompt, at most.
_MOST_PIECES = 256
_MOST_PARTS = 64
# Headers that concern one connection only (RFC 9110, section 7.6.1).
_HOP_HEADERS = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
        b'expect',
    ),
)


def parsed_exchange(core, answer):
    """Return an :class:`Exchange`, or a :class:`Refusal`.

    Parameters
    ==========

    core : ForwardCore
        With the route table in force.
    answer : Answer
        The request as the library parsed it.
    """
    table = core.configuration.table
    if table is None or not core.registry.known:
        return Refusal(_UNAVAILABLE, 'starting', _STEP, '', _START_RETRY)
    target = answer.uri
    hosts = answer.requestHeaders.getRawHeaders(b'host', ())
    if len(hosts) != 1 or not target.startswith(b'/'):
        return Refusal(_BAD_REQUEST, 'host or target', _STEP)
    query = RouteQuery(
        hosts[0].decode('latin-1'),
        target.partition(b'?')[0].decode('latin-1'),
        _text(answer, b'authorization'),
    )
    outcome = admit_request(core.configuration, query)
    if isinstance(outcome, Refusal):
        return outcome
    return _exchange(core, answer, query, outcome)


def _exchange(core, answer, query, outcome):
    route = outcome.route
    team = outcome.team
    names = core.names
    now = core.clock.seconds()
    deadline = whole_number(_text(answer, names.deadline))
    left = route.timeout if deadline is None else deadline / _MS
    counts = parsed_counts(_text(answer, names.counts), len(route.steps))
    prompt = parsed_prompt(_text(answer, names.prompt))
    if counts is None or prompt is None:
        return Refusal(_BAD_REQUEST, 'pieces or prompt', _STEP)
    ident = _text(answer, names.attempt)
    if not ident:
        # Without it no answer could be told from another request's.
        return Refusal(_BAD_REQUEST, 'no attempt is named', _STEP)
    return Exchange(
        ident=ident,
        method=answer.method,
        target=answer.uri,
        headers=_forwarded_headers(answer, names),
        body=answer.content.getvalue(),
        route=route,
        table=core.configuration.table,
        query=query,
        team=team.name if team else '',
        urgency=urgency_of(route, team),
        arrived=now,
        aim=now + route.aim,
        ends=now + min(left, route.timeout),
        counts=counts,
        stage_key=_text(answer, names.stage_key),
        prompt=prompt,
        last_event=_last_event(answer, names, route),
        service=pick_service(route, core.rng.random()),
        proof_ms=core.configuration.age_ms(),
        fingerprint=_fingerprint(core, answer, query, team),
    )


def _fingerprint(core, answer, query, team):
    """Return what a request shares with its repeats only.

    Explanation
    ===========

    The team goes in: no team's request may speak against another's. Headers
    don't: a repeat names another attempt, and often other sizes.
    """
    return core.quarantine.fingerprint(
        team.name.encode() if team else b'',
        answer.method,
        query.host.lower().encode(),
        answer.uri,
        answer.content.getvalue(),
    )


def _last_event(answer, names, route):
    if route.kind is not Kind.STREAM:
        return ''
    return _text(answer, names.last_event)


def _forwarded_headers(answer, names):
    """Return the headers that go on to the upstream.

    Explanation
    ===========

    The system sets some headers itself. Taken from a caller, they would let
    it choose its team, or use an engine's memory of another request.
    """
    dropped = {
        *_HOP_HEADERS,
        *names.reserved,
        names.deadline,
        names.expect,
        names.team,
        names.results,
        names.urgency,
        names.last_event,
        b'authorization',
    }
    for line in answer.requestHeaders.getRawHeaders(b'connection', ()):
        dropped.update(token.strip().lower() for token in line.split(b','))
    return [
        (name, value)
        for name, values in answer.requestHeaders.getAllRawHeaders()
        if name.lower() not in dropped
        for value in values
    ]


def parsed_counts(text, steps):
    """Return pieces by step; None when the text is wrong.

    Examples
    ========

    >>> parsed_counts('1,4,6', 3)
    (1, 4, 6)
    >>> parsed_counts('', 2)
    (0, 0)
    >>> parsed_counts('1,x', 2) is None
    True
    """
    if not steps:
        return ()
    if not text:
        return (0,) * steps
    counts = [whole_number(part.strip()) for part in text.split(',')]
    if len(counts) != steps:
        return None
    if any(one is None or one > _MOST_PIECES for one in counts):
        return None
    return tuple(counts)


def parsed_prompt(text):
    """Return identifier and tokens of each part; None when it is wrong.

    Examples
    ========

    >>> parsed_prompt('5c1e:800,91bd:410')
    (('5c1e', 800), ('91bd', 410))
    >>> parsed_prompt('5c1e') is None
    True
    """
    if not text:
        return ()
    parts = []
    for part in text.split(',')[:_MOST_PARTS]:
        ident, _, tokens = part.strip().partition(':')
        size = whole_number(tokens)
        if not ident or size is None:
            return None
        parts.append((ident, size))
    return tuple(parts)


def _text(answer, name):
    content = answer.getHeader(name) or b''
    return content.decode('latin-1')
