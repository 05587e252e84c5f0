"""Waits of requests for upstreams that limit their request rates."""

from pollenstile.forward._crashes import incarnation_of
from pollenstile.forward._types import NotRun
from pollenstile.ratelimits import RatedUpstream, events

_MS = 1000

# Reason of refusals when all upstreams limit their rates.
LIMITED_REASON = 'limited'


def rated_upstream(service, view):
    """Return the :class:`RatedUpstream` of an upstream's view."""
    name = incarnation_of(service, view).name
    return RatedUpstream(name, service, view.domain)


def may_send(core, service, view):
    """Return whether the rate of an upstream permits a request now."""
    if not core.rates.stated.by_name:
        return True
    return core.rates.may_send(rated_upstream(service, view))


def note_sent(core, exchange, view):
    """Count a request that is sent to an upstream."""
    if core.rates.stated.by_name:
        upstream = rated_upstream(exchange.service, view)
        core.rates.note_sent(upstream, exchange.ident)


async def await_token(core, exchange, views, preferred, begin_by):
    """Wait until a request may be sent to one of some upstreams.

    Explanation
    ===========

    If the preferred upstream needs a token, the host asks for one, unless it
    has asked shortly before; then the request goes to another upstream. Only
    if all of them need one does the request wait for it, behind those that are
    more urgent, and only as long as it can still be answered in time.

    Parameters
    ==========

    core : ForwardCore
        Components of the host.
    exchange : Exchange
        The request.
    views : function
        Returns the upstreams to which the request may be sent but for their
        rates.
    preferred : function
        Takes the list of them; returns the one that the request would go to.
    begin_by : function
        Takes that one; returns the time on the clock by which the request must
        be sent.

    Returns
    =======

    NotRun or None
        None when the request may be sent, or when there is no upstream at all;
        ``NotRun`` when no token will come in time.
    """
    has_waited = False
    while core.rates.stated.by_name:
        candidates = views()
        if not candidates:
            return None
        view = preferred(candidates)
        if await is_permitted(core, exchange, candidates, view):
            return None
        now = core.clock.seconds()
        wait = token_wait(core, exchange, candidates)
        if now + wait > begin_by(view):
            return refuse(core, exchange, view, wait)
        if not has_waited:
            _log_held_back(core, exchange, view, 'wait', wait)
        has_waited = True
        woken = core.tokens.wait(exchange, begin_by(view) - now)
        # Less urgent ones may not be sent in time any more.
        core.tokens.wake_behind(exchange)
        await woken
    return None


async def is_permitted(core, exchange, views, preferred):
    """Return whether a request may be sent, after asking for a token if due.

    Parameters
    ==========

    views : list of UpstreamView
        Upstreams to which it may be sent but for their rates.
    preferred : UpstreamView
        The one of them that it would go to.
    """
    service = exchange.service
    if may_send(core, service, preferred):
        return True
    upstream = rated_upstream(service, preferred)
    core.rates.note_held_back(upstream, exchange.ident)
    await core.rates.replenished(upstream)
    if may_send(core, service, preferred):
        return True
    if not any(may_send(core, service, view) for view in views):
        return False
    core.rates.note_missed(upstream, exchange.ident)
    _log_held_back(core, exchange, preferred, 'other')
    return True


def token_wait(core, exchange, views):
    """Return the expected seconds until a new request gets a token."""
    ahead = core.tokens.ahead(exchange.service, exchange.urgency, exchange.ends)
    upstreams = [rated_upstream(exchange.service, view) for view in views]
    return (ahead + 1) * core.rates.seconds_until_token(upstreams)


def refuse(core, exchange, view, wait):
    """Return the outcome of a request that gets no token in time, and log it.

    Parameters
    ==========

    view : UpstreamView
        The upstream that it would go to.
    wait : float
        Expected seconds until there is a token.
    """
    upstream = rated_upstream(exchange.service, view)
    core.rates.note_missed(upstream, exchange.ident)
    _log_held_back(core, exchange, view, 'refuse', wait)
    return limited_outcome(exchange, wait)


def limited_outcome(exchange, wait):
    """Return the outcome of a request for which no token comes in time."""
    return NotRun(
        LIMITED_REASON, exchange.service, arrived=False, retry_after=wait
    )


def _log_held_back(core, exchange, view, choice, wait=0.0):
    """Log what a request does that has no token of its upstream."""
    upstream = rated_upstream(exchange.service, view)
    core.log(
        events.RATE_HELD_BACK,
        request=exchange.ident,
        service=exchange.service,
        peer=view.ident,
        rate=core.rates.stated.rate(upstream.name),
        choice=choice,
        wait_ms=int(wait * _MS),
    )
