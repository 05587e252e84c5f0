"""Headers of a request to an upstream."""

_MS = 1000
# Engines accept urgencies from 0 to 9; the most urgent request is sent with 3.
_TOP_ENGINE_URGENCY = 3
_LOWEST_ENGINE_URGENCY = 9


def request_headers(core, exchange, view, last_event, source=None):
    """Return names and values of the headers of a request to an upstream.

    Parameters
    ==========

    core : ForwardCore
        Components of the host.
    exchange : Exchange
        The request.
    view : UpstreamView
        The upstream.
    last_event : str
        Event after which a stream continues; empty at its beginning.
    source : PartSource or None
        Engine that keeps the shared parts of the prompt.
    """
    names = core.names
    remaining = exchange.ends - core.clock.seconds()
    headers = [
        *exchange.headers,
        (names.deadline, b'%d' % max(1, int(remaining * _MS))),
        (names.expect, view.ident.encode()),
    ]
    if exchange.team:
        headers.append((names.team, exchange.team.encode()))
    if exchange.handles:
        headers.append((names.results, ','.join(exchange.handles).encode()))
    if last_event:
        headers.append((names.last_event, last_event.encode()))
    if exchange.prompt:
        engine_urgency = min(
            _LOWEST_ENGINE_URGENCY, _TOP_ENGINE_URGENCY + exchange.urgency
        )
        headers.append((names.urgency, b'%d' % engine_urgency))
    if source is not None:
        headers.append((names.part_source, source.view.address.encode()))
    return headers
