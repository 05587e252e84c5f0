"""Validates a caller's request and converts it to an ``Exchange``."""

from pollenstile.forward._admission import admit_request, drawn_service
from pollenstile.forward._types import Exchange, Refusal, RouteQuery
from pollenstile.ops.numbers import whole_number
from pollenstile.quarantine import fingerprint, part_fingerprints
from pollenstile.routes import Kind, urgency_of

_MS = 1000
# Step that is named in refusals of this module.
_STEP = 'entry'
_BAD_REQUEST = 400
_UNAVAILABLE = 503
# Retry delay for callers: a host that has just started receives its
# configuration within this time.
_START_RETRY_SECONDS = 0.5
# Maximum number of pieces in one step of a request, and of the prompt parts
# that are read.
_MAX_PIECES = 256
_MAX_PROMPT_PARTS = 64
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


def parse_exchange(core, answer):
    """Return an :class:`Exchange`, or a :class:`Refusal`.

    Parameters
    ==========

    core : ForwardCore
        Provides the route table in force.
    answer : Answer
        The request as parsed by Twisted.
    """
    table = core.configuration.table
    if table is None or not core.registry.known:
        return Refusal(
            _UNAVAILABLE, 'starting', _STEP, '', _START_RETRY_SECONDS
        )
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
    remaining = route.timeout if deadline is None else deadline / _MS
    counts = parse_counts(_text(answer, names.counts), len(route.steps))
    prompt = parse_prompt(_text(answer, names.prompt))
    if counts is None or prompt is None:
        return Refusal(_BAD_REQUEST, 'pieces or prompt', _STEP)
    ident = _text(answer, names.attempt)
    if not ident:
        # The identifier is needed to assign answers to their requests.
        return Refusal(_BAD_REQUEST, 'no attempt is named', _STEP)
    resumes = _stream_header(answer, names.resumes, route)
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
        ends=now + min(remaining, route.timeout),
        counts=counts,
        stage_key=_text(answer, names.stage_key),
        prompt=prompt,
        last_event=_stream_header(answer, names.last_event, route),
        resumes=resumes,
        service=drawn_service(route, resumes or ident),
        proof_ms=core.configuration.age_ms(),
        fingerprint=_fingerprint(core, answer, query, team),
        parts=part_fingerprints(core.quarantine.key, prompt),
    )


def _fingerprint(core, answer, query, team):
    """Return the fingerprint that a request shares only with its repeats.

    Explanation
    ===========

    The team is included, so that requests of one team can't put those of
    another team in quarantine. Headers are excluded, as a repeat contains
    another attempt identifier, and often other sizes.
    """
    return fingerprint(
        core.quarantine.key,
        team.name.encode() if team else b'',
        answer.method,
        query.host.lower().encode(),
        answer.uri,
        answer.content.getvalue(),
    )


def _stream_header(answer, name, route):
    """Return a header that has a meaning for streams only."""
    if route.kind is not Kind.STREAM:
        return ''
    return _text(answer, name)


def _forwarded_headers(answer, names):
    """Return the headers that are forwarded to the upstream.

    Explanation
    ===========

    Headers that the system sets itself are dropped. Otherwise a caller could
    choose its team, or use the cached state of another request at an engine.
    """
    dropped = {
        *_HOP_HEADERS,
        *names.reserved,
        names.deadline,
        names.expect,
        names.team,
        names.results,
        names.urgency,
        names.part_source,
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


def parse_counts(text, steps):
    """Return the piece count of each step; None for an invalid text.

    Examples
    ========

    >>> parse_counts('1,4,6', 3)
    (1, 4, 6)
    >>> parse_counts('', 2)
    (0, 0)
    >>> parse_counts('1,x', 2) is None
    True
    """
    if not steps:
        return ()
    if not text:
        return (0,) * steps
    counts = [whole_number(part.strip()) for part in text.split(',')]
    if len(counts) != steps:
        return None
    if any(count is None or count > _MAX_PIECES for count in counts):
        return None
    return tuple(counts)


def parse_prompt(text):
    """Return identifier and tokens of each part; None for an invalid text.

    Examples
    ========

    >>> parse_prompt('5c1e:800,91bd:410')
    (('5c1e', 800), ('91bd', 410))
    >>> parse_prompt('5c1e') is None
    True
    """
    if not text:
        return ()
    parts = []
    for part in text.split(',')[:_MAX_PROMPT_PARTS]:
        ident, _, tokens = part.strip().partition(':')
        size = whole_number(tokens)
        if not ident or size is None:
            return None
        parts.append((ident, size))
    return tuple(parts)


def _text(answer, name):
    content = answer.getHeader(name) or b''
    return content.decode('latin-1')
