"""Where a request goes, by what its host knows now."""

from pollenstile.forward._selection import (
    select_engine,
    select_plain_upstream,
    home_engine,
    load_of,
    own_tokens,
    subject_of,
    usable,
)
from pollenstile.forward._reading import Reading
from pollenstile.forward._types import NotRun

# Share of a request's aim that a plain service takes while nothing is known.
_UNKNOWN_SHARE = 0.25


def first_token_seconds(core, exchange):
    """Return what a model engine usually takes to a request's first token."""
    return core.first_tokens.seconds(
        exchange.service,
        own_tokens(exchange.prompt),
    )


def usual_seconds(core, exchange, view):
    """Return seconds until an upstream's answer usually begins."""
    if exchange.prompt:
        return first_token_seconds(core, exchange)
    return view.seconds or _UNKNOWN_SHARE * exchange.route.aim


def home_domain(core, exchange):
    """Return the domain of the engine that should read the results."""
    subject = subject_of(exchange.prompt)
    views = core.registry.usable(exchange.service)
    if not subject or not views:
        return ''
    return home_engine(views, subject).domain


def chosen_view(core, exchange, tried, inputs):
    """Return the upstream that a request is sent to next.

    Parameters
    ==========

    tried : list of str
        Those that it was sent to before.
    inputs : dict
        Bytes of its stage results by failure domain.

    Returns
    =======

    EngineView or NotRun
        Why there is none, and when there may be one.
    """
    now = core.clock.seconds()
    views = usable(core.registry.usable(exchange.service), now, tried)
    rate = cold_rate(exchange)
    ready = [view for view in views if core.cold.admits(view, rate, now)]
    if not ready:
        return _none_ready(core, exchange, views, rate)
    if not exchange.prompt:
        return select_plain_upstream(ready, now, core.domain, core.rng)
    return select_engine(
        ready,
        now,
        core.domain,
        core.rng,
        exchange.prompt,
        core.first_tokens.token_seconds(exchange.service),
        inputs,
    )


def cold_rate(exchange):
    """Return the requests a second that a cold upstream bears; 0 for all."""
    service = exchange.table.services.get(exchange.service)
    return service.cold_rate if service else 0.0


def _none_ready(core, exchange, views, rate):
    """Return why a request can be sent nowhere."""
    service = exchange.service
    if views:
        now = core.clock.seconds()
        wait = min(core.cold.opens_in(view, rate, now) for view in views)
        return NotRun('cold', service, arrived=False, retry_after=wait)
    reason = 'drained' if core.registry.is_drained(service) else 'no upstream'
    return NotRun(reason, service)


def reading_of(core, exchange, chain, inputs, view):
    """Return when the results may be released that an upstream reads.

    Parameters
    ==========

    chain : Chain or None
        Holds them; None for a request without stage work.
    inputs : dict
        Their bytes by failure domain.
    """
    if chain is None:
        return Reading(_nothing)
    if load_of(view, core.clock.seconds()) >= view.slots:
        return Reading(chain.release)
    size = sum(inputs.values())
    rate = chain.link_rate()
    fetched_in = core.fetching.seconds(exchange.service, size, rate)
    return Reading(chain.release, fetched_in)


def _nothing():
    """Release nothing."""
