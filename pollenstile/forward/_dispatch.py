"""Selection of a request's next upstream from the host's current state."""

from pollenstile.forward._brittle import brittle_wait
from pollenstile.forward._input_release import InputRelease
from pollenstile.forward._ratelimited import (
    TokenWait,
    is_permitted,
    limited_outcome,
    token_wait,
)
from pollenstile.forward._selection import (
    UNPROVEN_CANDIDATES,
    candidates_of_unproven,
    current_load,
    home_engine,
    no_cost,
    own_tokens,
    select_engine,
    select_plain_upstream,
    subject_of,
    usable,
)
from pollenstile.forward._software import NO_UPSTREAM_REASON, usable_for
from pollenstile.forward._types import NotRun
from pollenstile.forward._withdrawn import withdrawn_wait, without_withdrawn
from pollenstile.permission import LEAVING_REASON

# Assumed answer time of a plain upstream without measurements, as a share of
# the route's target latency.
_DEFAULT_ANSWER_SHARE = 0.25
# Cost of sending an unproven request to an upstream that is not one of its
# candidates, as a share of its target latency.
_SPREAD_SHARE = 0.1
# The same for a request that was running when an upstream crashed.
_SUSPECT_SPREAD_SHARE = 1.0
# Part of the time until its target latency is at risk for which a request waits
# for the answer to a copy of it.
_TURN_SHARE = 0.5
# Advised seconds until a retry when all upstreams of a service leave: one that
# replaces them registers within about a heartbeat of its start.
_REPLACEMENT_SECONDS = 1.0


def expected_first_token_seconds(core, exchange):
    """Return the expected seconds to a model engine's first token."""
    return core.first_tokens.seconds(
        exchange.service,
        own_tokens(exchange.prompt),
    )


def expected_answer_seconds(core, exchange, view):
    """Return the expected seconds until an upstream's answer begins."""
    if exchange.prompt:
        return expected_first_token_seconds(core, exchange)
    return view.seconds or _DEFAULT_ANSWER_SHARE * exchange.route.aim


def expected_first_event_seconds(core, exchange):
    """Return the expected seconds until the quickest upstream's answer begins.

    Explanation
    ===========

    Counted from the time at which the stage work of the request is done.
    """
    if exchange.prompt:
        return expected_first_token_seconds(core, exchange)
    return min(
        (
            expected_answer_seconds(core, exchange, view)
            for view in _upstreams_of(core, exchange)
        ),
        default=_DEFAULT_ANSWER_SHARE * exchange.route.aim,
    )


def _upstreams_of(core, exchange):
    """Return those of its service's upstreams that a request may go to.

    Explanation
    ===========

    Software versions write streams that don't fit together, and upstreams don't
    check with which one a stream began.
    """
    return usable_for(core, exchange)


def home_domain(core, exchange):
    """Return the failure domain of the engine that should read the results.

    Explanation
    ===========

    This is the domain of the subject's home engine; empty when the request has
    no subject or the service no usable upstream.
    """
    views = core.domains.reachable(_upstreams_of(core, exchange))
    subject = subject_of(exchange.prompt, len(views))
    if not subject or not views:
        return ''
    return home_engine(views, subject).domain


def select_view(core, exchange, tried, inputs):
    """Return the upstream that a request is sent to next.

    Parameters
    ==========

    core : ForwardCore
        Components of the host.
    exchange : Exchange
        The request.
    tried : list of str
        Identifiers of upstreams that it was sent to before.
    inputs : dict
        Bytes of its stage results by failure domain.

    Returns
    =======

    UpstreamView or NotRun
        ``NotRun`` states why there is no upstream and when to retry.
    """
    views = _usable_views(core, exchange, tried)
    ready = _ready_views(core, exchange, views)
    if not ready:
        return _unavailable_reason(core, exchange, views)
    permitted = [
        view for view in ready if core.rates.may_send(view.incarnation)
    ]
    if not permitted:
        wait = token_wait(core, exchange, ready)
        return limited_outcome(exchange, wait)
    return _select(core, exchange, permitted, inputs)


async def await_permission(core, exchange, tried, inputs):
    """Wait until upstreams permit a request, by what they state.

    Explanation
    ===========

    If the preferred upstream needs a token, the host asks for one, unless it
    has asked shortly before; then the request goes to another upstream. Only
    if all of them need one, or want no requests for a time, does the request
    wait, behind those that are more urgent, and only as long as it can still be
    answered in time.

    Returns
    =======

    NotRun or None
        None when the request may be sent, or when there is no upstream at all;
        ``NotRun`` when it won't be permitted in time.
    """
    has_waited = False
    while not core.permissions.is_idle():
        held_back = await _held_back(core, exchange, tried, inputs)
        if held_back is None:
            return None
        left = _seconds_left(core, exchange, held_back)
        if held_back.wait > left:
            return held_back.refuse(core, exchange)
        if not has_waited:
            held_back.log_wait(core, exchange)
        has_waited = True
        woken = core.tokens.wait(exchange, min(left, held_back.recheck_seconds))
        if held_back.takes_turns:
            # Less urgent ones may not be sent in time any more.
            core.tokens.wake_behind(exchange)
        await woken
    return None


async def await_turn(core, exchange, tried, inputs):
    """Wait until a request may be sent beside copies of it.

    Explanation
    ===========

    A request that no upstream permits in time does not wait: it is refused when
    its permission is asked for again.
    """
    seconds = 0.0
    if core.copies.must_wait(exchange.fingerprint):
        refused = await await_permission(core, exchange, tried, inputs)
        if refused is None:
            seconds = _turn_seconds(core, exchange)
    await core.copies.turn(exchange.fingerprint, seconds)


def _turn_seconds(core, exchange):
    """Return the seconds for which a request may wait for its turn."""
    views = _upstreams_of(core, exchange)
    expected = max(
        (expected_answer_seconds(core, exchange, view) for view in views),
        default=0.0,
    )
    slack = exchange.aim - expected - core.clock.seconds()
    return _TURN_SHARE * slack


async def early_refusal(core, exchange):
    """Return a ``NotRun`` if a request can't be sent in time, or None.

    Explanation
    ===========

    Asked before the stage work of a request, which would be wasted. Without
    stage work the request waits for its permission at once.
    """
    if core.permissions.is_idle() or not any(exchange.counts):
        return None
    held_back = await _held_back(core, exchange, (), {})
    if held_back is None:
        return None
    if held_back.wait <= _seconds_left(core, exchange, held_back):
        return None
    return held_back.refuse(core, exchange)


async def _held_back(core, exchange, tried, inputs):
    """Return what holds a request back; None if nothing, or no upstream.

    Returns
    =======

    TokenWait, SendWait or None
    """
    views = _usable_views(core, exchange, tried)
    if not views:
        return withdrawn_wait(core, exchange, tried)
    ready = _ready_views(core, exchange, views)
    if not ready:
        warm = _warm_views(core, exchange, views)
        return brittle_wait(core, exchange, warm) if warm else None
    view = _select(core, exchange, ready, inputs)
    if await is_permitted(core, exchange, ready, view):
        return None
    return TokenWait(view, token_wait(core, exchange, ready))


def _usable_views(core, exchange, tried):
    """Return the upstreams that want requests and are not unhealthy."""
    now = core.clock.seconds()
    views = without_withdrawn(core, _upstreams_of(core, exchange))
    untried = [view for view in views if view.ident not in tried]
    return usable(core.domains.reachable(untried), now)


def _ready_views(core, exchange, views):
    """Return those of some upstreams that bear a request."""
    service = exchange.service
    return [
        view
        for view in _warm_views(core, exchange, views)
        if core.brittle.may_send(service, view)
    ]


def _warm_views(core, exchange, views):
    """Return those of some upstreams that are warm or bear a request."""
    now = core.clock.seconds()
    rate = cold_rate(exchange)
    return [view for view in views if core.cold.may_send(view, rate, now)]


def _seconds_left(core, exchange, held_back):
    """Return the seconds for which a request may wait to be sent."""
    expected = expected_answer_seconds(core, exchange, held_back.view)
    now = core.clock.seconds()
    latest = exchange.aim - expected
    if latest <= now or not held_back.takes_turns:
        latest = exchange.ends - expected
    if core.departure is not None:
        latest = min(latest, core.departure.latest - expected)
    return latest - now


def _select(core, exchange, views, inputs):
    """Return the best of some upstreams for a request."""
    spread_cost = _spread_cost(core, exchange, views)
    now = core.clock.seconds()
    if not exchange.prompt:
        return select_plain_upstream(
            views,
            now,
            core.domain,
            core.rng,
            exchange.fingerprint,
            spread_cost,
        )
    return select_engine(
        views,
        now,
        core.domain,
        core.rng,
        exchange.prompt,
        core.first_tokens.token_seconds(exchange.service),
        inputs,
        spread_cost=spread_cost,
        time_factor=core.conditions.time_factor(exchange.service),
        transfer_seconds=core.part_sources.transfer_seconds(exchange),
    )


def _spread_cost(core, exchange, views):
    """Return the function that keeps an unproven request to few upstreams.

    Explanation
    ===========

    Other upstreams are chosen where that lets the request begin earlier by a
    good part of its target latency.
    """
    content = _unproven_content(core, exchange)
    if not content:
        return no_cost
    candidates = _idents(_unproven_candidates(core, exchange, views, content))
    is_suspect = core.quarantine.is_suspect(content)
    share = _SUSPECT_SPREAD_SHARE if is_suspect else _SPREAD_SHARE
    seconds = share * exchange.route.aim

    def cost(view):
        return 0.0 if view.ident in candidates else seconds

    return cost


def _unproven_content(core, exchange):
    """Return what of a request may crash its upstream, or an empty text.

    Explanation
    ===========

    The first prompt part on which no upstream has answered, as the most
    requests share it; else the request itself if it is unproven.
    """
    proofs = core.quarantine.proofs
    for part in exchange.parts:
        if not proofs.has_recent(part, exchange.service):
            return part
    if core.copies.is_proven(exchange.fingerprint):
        return ''
    return exchange.fingerprint


def _unproven_candidates(core, exchange, views, content):
    """Return those of some upstreams to which an unproven request may go.

    Explanation
    ===========

    Others replace the candidates of all hosts only when none of these is left,
    and only as many as may crash until the request is quarantined: if each one
    that fails were replaced at once, copies would spread as far as they crash
    upstreams.
    """
    shared = _idents(_shared_candidates(core, exchange, content))
    left = [view for view in views if view.ident in shared]
    crashes = core.quarantine.evidence.crash_count(content)
    count = max(1, UNPROVEN_CANDIDATES - crashes)
    return left or _candidates(exchange, views, content)[:count]


def _shared_candidates(core, exchange, content):
    """Return the candidates that all hosts with the same registry choose."""
    return _candidates(exchange, _upstreams_of(core, exchange), content)


def _candidates(exchange, views, content):
    subject = subject_of(exchange.prompt, len(views))
    return candidates_of_unproven(views, content, subject)


def _idents(views):
    return {view.ident for view in views}


def candidates_failed_at(core, exchange, tried):
    """Return when the last candidate of an unproven request failed.

    Explanation
    ===========

    They may have crashed while running copies of it.

    Returns
    =======

    float
        Time on the clock; 0 while the request may be sent to a candidate, or if
        connections to none of them have failed.
    """
    content = _unproven_content(core, exchange)
    if not content:
        return 0.0
    shared = _shared_candidates(core, exchange, content)
    idents = _idents(_usable_views(core, exchange, tried))
    if any(view.ident in idents for view in shared):
        return 0.0
    return max((view.unreached_since for view in shared), default=0.0)


def cold_rate(exchange):
    """Return a cold upstream's limit in requests a second; 0 if unlimited."""
    service = exchange.table.services.get(exchange.service)
    return service.cold_rate if service else 0.0


def _unavailable_reason(core, exchange, views):
    """Return a ``NotRun`` that states why no upstream can accept a request."""
    service = exchange.service
    warm = _warm_views(core, exchange, views)
    if warm:
        return brittle_wait(core, exchange, warm).refusal(exchange)
    if views:
        now = core.clock.seconds()
        rate = cold_rate(exchange)
        wait = min(
            core.cold.seconds_until_send(view, rate, now) for view in views
        )
        return NotRun('cold', service, arrived=False, retry_after=wait)
    withdrawn = withdrawn_wait(core, exchange)
    if withdrawn is not None:
        return withdrawn.refusal(exchange)
    if exchange.software is not None:
        return NotRun(NO_UPSTREAM_REASON, service, arrived=False)
    if _are_all_leaving(core.registry, service):
        return NotRun(
            LEAVING_REASON,
            service,
            arrived=False,
            retry_after=_REPLACEMENT_SECONDS,
        )
    reason = 'drained' if core.registry.is_drained(service) else 'no upstream'
    return NotRun(reason, service)


def _are_all_leaving(registry, service):
    """Return whether a service has upstreams, all of which leave."""
    upstreams = [
        upstream
        for upstream in registry.upstreams.values()
        if upstream.service == service
    ]
    return bool(upstreams) and all(map(registry.is_leaving, upstreams))


def input_release_for(core, exchange, results, inputs, view):
    """Return what tells when an upstream has read a request's stage results.

    Parameters
    ==========

    core : ForwardCore
        Components of the host.
    exchange : Exchange
        The request.
    results : StageResults
        Holds the results.
    inputs : dict
        Bytes of the results by failure domain.
    view : UpstreamView
        The upstream that reads them.
    """
    is_full = current_load(view, core.clock.seconds()) >= view.slots
    if results.chain is None or is_full:
        return InputRelease(results.readers, view, results.is_memory_short)
    size = sum(inputs.values())
    rate = results.chain.link_rate()
    fetch_seconds = core.fetching.seconds(exchange.service, size, rate)
    return InputRelease(
        results.readers, view, results.is_memory_short, fetch_seconds
    )
