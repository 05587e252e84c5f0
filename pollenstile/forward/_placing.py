"""Where a request goes, by what its host knows now."""

from pollenstile.forward._attempt import Reading
from pollenstile.forward._choose import (
    chosen_engine,
    chosen_plain,
    home_engine,
    load_of,
    own_tokens,
    subject_of,
    usable,
)

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
    """Return the upstream that a request is sent to next, or None.

    Parameters
    ==========

    tried : list of str
        Those that it was sent to before.
    inputs : dict
        Bytes of its stage results by failure domain.
    """
    now = core.clock.seconds()
    views = usable(core.registry.usable(exchange.service), now, tried)
    if not exchange.prompt:
        return chosen_plain(views, now, core.domain, core.rng)
    return chosen_engine(
        views,
        now,
        core.domain,
        core.rng,
        exchange.prompt,
        core.first_tokens.token_seconds(exchange.service),
        inputs,
    )


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
