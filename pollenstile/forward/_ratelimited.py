"""Waits of requests for upstreams that limit their request rates."""

from pollenstile.forward._types import NotRun
from pollenstile.permission import LIMITED_REASON
from pollenstile.ratelimits import RatedUpstream, events

_MS = 1000


def rated_upstream(service, view):
    """Return the :class:`RatedUpstream` of an upstream's view."""
    return RatedUpstream(view.incarnation, service, view.domain)


def note_sent(core, exchange, view):
    """Count a request that is sent to an upstream."""
    upstream = rated_upstream(exchange.service, view)
    core.rates.note_sent(upstream, exchange.ident)


async def is_permitted(core, exchange, views, preferred):
    """Return whether a request may be sent, after asking for a token if due.

    Parameters
    ==========

    views : list of UpstreamView
        Upstreams to which it may be sent but for their rates.
    preferred : UpstreamView
        The one of them that it would go to.
    """
    rates = core.rates
    if rates.may_send(preferred.incarnation):
        return True
    upstream = rated_upstream(exchange.service, preferred)
    rates.note_held_back(upstream, exchange.ident)
    await rates.replenished(upstream)
    if rates.may_send(preferred.incarnation):
        return True
    if not any(rates.may_send(view.incarnation) for view in views):
        return False
    rates.note_missed(upstream, exchange.ident)
    log_held_back(core, exchange, preferred, 'other')
    return True


def token_wait(core, exchange, views):
    """Return the expected seconds until a new request gets a token."""
    ahead = core.tokens.ahead(exchange)
    upstreams = [rated_upstream(exchange.service, view) for view in views]
    return (ahead + 1) * core.rates.seconds_until_token(upstreams)


class TokenWait:
    """A request has no token of any upstream that it could go to.

    Parameters
    ==========

    view : UpstreamView
        The upstream that it would go to.
    wait : float
        Expected seconds until there is a token.
    """

    __slots__ = ('view', 'wait')

    # Each token lets one request go on. Requests that wait beyond their target
    # latency would take the tokens of those that can still meet it.
    takes_turns = True
    # The queue wakes it when a token comes.
    recheck_seconds = float('inf')

    def __init__(self, view, wait):
        self.view = view
        self.wait = wait

    def log_wait(self, core, exchange):
        """Log that a request waits."""
        log_held_back(core, exchange, self.view, 'wait', self.wait)

    def refuse(self, core, exchange):
        """Return the outcome of a request that can't wait, and log it."""
        upstream = rated_upstream(exchange.service, self.view)
        core.rates.note_missed(upstream, exchange.ident)
        log_held_back(core, exchange, self.view, 'refuse', self.wait)
        return limited_outcome(exchange, self.wait)


def limited_outcome(exchange, wait):
    """Return the outcome of a request for which no token comes in time."""
    return NotRun(
        LIMITED_REASON, exchange.service, arrived=False, retry_after=wait
    )


def log_held_back(core, exchange, view, choice, wait=0.0):
    """Log what a request does that has no token of its upstream."""
    core.log(
        events.RATE_HELD_BACK,
        request=exchange.ident,
        service=exchange.service,
        peer=view.ident,
        rate=core.rates.stated.rate(view.incarnation),
        choice=choice,
        wait_ms=int(wait * _MS),
    )
