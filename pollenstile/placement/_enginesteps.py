"""Takes one engine one step further: drains, tickets, intents, orders."""

from dataclasses import replace

from pollenstile.placement import events
from pollenstile.placement._lease import mark_lost
from pollenstile.placement._loadlimits import ticket_hold_reason
from pollenstile.placement._orders import Applied, Lost, Order
from pollenstile.placement._records import (
    PLACEMENTS,
    Record,
    intent_from_models,
    record_from_value,
    record_name,
)
from pollenstile.placement._steps import (
    Drain,
    Settled,
    Swap,
    leaving_models,
    next_load,
    next_step,
)
from pollenstile.platform import (
    Absent,
    Conflict,
    Found,
    Superseded,
    Throttled,
    Ticket,
    Written,
    field_mark,
    put_with_readback,
)

_CHECKED = 'checked'
_MARK = field_mark('mark')
_MAX_ATTEMPTS = 3
_NO_RECORD = (0, Record(0, {}, (), ''))


async def advance_engine(placer, name, spec, state, wanted, deferral):
    """Take the next step of one engine.

    Parameters
    ==========

    placer : Placer
        Placer of the engine's failure domain.
    name : str
        Name of the engine.
    spec : EngineSpec
        The engine as declared.
    state : EngineState
        State that was just read.
    wanted : dict
        Model to :class:`Holding`.
    deferral : str
        Why a drain has to wait; empty if it may begin.
    """
    if placer.clock.seconds() < placer.not_before.get(name, 0.0):
        return
    checked = spec.upstream.fencing == _CHECKED
    if checked and state.fence > placer.fence:
        _step_down(placer, name, state.fence)
        return
    leaving = leaving_models(state, wanted)
    _end_drains(placer, name, leaving)
    if not await _update_record(placer, name, state):
        placer.settled.pop(name, None)
        return
    if _needs_fence(placer, spec, state):
        placer.settled.pop(name, None)
        await _announce_fence(placer, name, spec, state)
        return
    step = next_step(
        state,
        wanted,
        placer.draining.get(name, {}),
        placer.clock.seconds(),
        placer.timing.drain,
    )
    if isinstance(step, Drain):
        await _begin_drain(placer, name, state, wanted, step, deferral)
    elif isinstance(step, Swap):
        await _swap(placer, name, spec, state, step)
    if not isinstance(step, Settled):
        placer.settled.pop(name, None)


def _end_drains(placer, name, leaving):
    """Drop drains of models that are to stay after all or are unloaded."""
    drains = placer.draining.get(name, {})
    for model in tuple(drains):
        if model not in leaving:
            drains.pop(model)


async def _update_record(placer, name, state):
    """Bring the engine's record up to date; return whether it is.

    Explanation
    ===========

    The record lists the models that the engine was read to hold. It carries
    the fencing number of the present holder, so that a conditional write of
    an intent by an earlier holder meets a conflict.
    """
    known = await _known_record(placer, name)
    if known is None:
        return False
    _version, record = known
    drains = placer.draining.get(name, {})
    serving = [model for model in sorted(state.models) if model not in drains]
    updated = replace(
        record,
        fence=placer.fence,
        serving=tuple(serving),
        incarnation=state.incarnation,
    )
    if updated == record:
        return True
    return await _write_record(placer, name, updated)


def _needs_fence(placer, spec, state):
    return spec.upstream.fencing == _CHECKED and state.fence < placer.fence


async def _announce_fence(placer, name, spec, state):
    """Send the engine this holder's fencing number.

    Explanation
    ===========

    An earlier holder may have been paused just before it sent an order. The
    engine would accept that order, as it has received no higher number. So
    the first order of a new holder states what the engine holds already.
    """
    await _send_order(placer, name, spec, {**state.models, **state.loading})


async def _begin_drain(placer, name, state, wanted, step, deferral):
    """Begin a drain if it is certain that the swap can follow."""
    if deferral:
        placer.log_once(events.SWAP_WAITS, name, reason=deferral)
        return
    if not placer.may_drain(state, step.models):
        placer.log_once(events.SWAP_WAITS, name, reason='not idle')
        return
    # Without a ticket the engine would serve nothing until it gets one.
    if not await _ensure_tickets(placer, name, state, next_load(state, wanted)):
        return
    version, record = placer.records[name]
    serving = [model for model in record.serving if model not in step.models]
    if not await _write_record(
        placer, name, replace(record, serving=tuple(serving))
    ):
        return
    drains = placer.draining.setdefault(name, {})
    for model in step.models:
        drains.setdefault(model, placer.clock.seconds())
    placer.log_once(
        events.DRAIN,
        name,
        models=','.join(step.models),
        version=version,
    )


async def _swap(placer, name, spec, state, step):
    if not await _ensure_tickets(placer, name, state, step.loads):
        return
    if step.overdue:
        placer.log_once(events.DRAIN_OVER, name, level='warning')
    if spec.upstream.fencing != _CHECKED:
        if not await _write_intent(placer, name, step.models):
            return
    await _send_order(placer, name, spec, step.models)


async def _write_intent(placer, name, models):
    """Write the models of the next order; return whether this succeeded.

    Explanation
    ===========

    An engine that ignores fencing accepts orders from any sender. A holder
    that was paused beyond its term meets a conflict here, because its
    successor has written the record with its own fencing number, and so sends
    no order. The intent is written even if the record has it already, because
    the conditional write is the check.
    """
    _version, record = placer.records[name]
    intent = intent_from_models(models)
    updated = replace(record, fence=placer.fence, intent=intent)
    if not await _write_record(placer, name, updated):
        return False
    placer.log_once(events.INTENT_WRITTEN, name, models=','.join(intent))
    return True


async def _send_order(placer, name, spec, models):
    ident = f'{placer.lease_manager.lease.holder}/{next(placer.sequence)}'
    order = Order(ident, placer.fence, models)
    # The host may have been suspended beyond its term at any await above. No
    # await stands between this check and the sending of the order.
    lease = placer.lease_manager.lease
    if not placer.lease_manager.holds() or lease.fence != placer.fence:
        placer.log_once(
            events.ORDER_WITHHELD, name, level='warning', order=ident
        )
        return
    _log_order(placer, events.ORDER_SENT, name, order, models=sorted(models))
    outcome = await placer.orders.send(name, spec.upstream, order)
    if isinstance(outcome, Applied):
        _log_order(placer, events.ORDER_ANSWERED, name, order)
    elif isinstance(outcome, Lost):
        reason = outcome.reason
        _log_order(placer, events.ORDER_LOST, name, order, reason=reason)
    else:
        _handle_refusal(placer, name, order, outcome)


def _handle_refusal(placer, name, order, refused):
    _log_order(
        placer,
        events.ORDER_REFUSED,
        name,
        order,
        reason=refused.reason,
        highest=refused.fence,
    )
    retry_at = placer.clock.seconds() + placer.timing.refusal_delay
    placer.not_before[name] = retry_at
    if refused.fence > order.fence:
        _step_down(placer, name, refused.fence)


def _log_order(placer, event, name, order, **fields):
    placer.last_logged.pop(name, None)
    placer.log(
        event,
        engine=name,
        order=order.ident,
        fence=order.fence,
        **fields,
    )


def _step_down(placer, name, fence):
    """Send no more orders, because another holder has a higher number."""
    if placer.lease_manager.lease.fence >= fence:
        return
    mark_lost(placer.lease_manager.lease)
    placer.log(
        events.LEASE_LOST,
        level='warning',
        engine=name,
        domain=placer.domain,
        lost=placer.fence,
        higher=fence,
    )


async def _ensure_tickets(placer, name, state, loads):
    """Return whether the engine may load; request a ticket if it has none."""
    for model, holding in loads.items():
        load = (state.incarnation, model, holding)
        if placer.loads.tickets.get(name) != load:
            return await _request_ticket(placer, name, load)
    return True


async def _request_ticket(placer, name, load):
    now = placer.clock.seconds()
    timing = placer.timing.loads
    reason = ticket_hold_reason(placer.loads, name, load, now, timing)
    if reason:
        placer.log_once(events.LOAD_WAITS, name, model=load[1], reason=reason)
        return False
    loads = placer.loads
    loads.requesting = True
    try:
        outcome = await placer.ticket(load[1], load[2].version)
    finally:
        loads.requesting = False
    if isinstance(outcome, Ticket):
        loads.tickets[name] = load
        placer.log_once(
            events.LOAD_ALLOWED,
            name,
            model=load[1],
            version=load[2].version,
        )
        return True
    delay = timing.retry_after
    if isinstance(outcome, Throttled):
        delay = outcome.retry_after
    jitter = placer.random.uniform(0, timing.max_jitter)
    loads.not_before = placer.clock.seconds() + delay + jitter
    placer.log_once(
        events.LOAD_WAITS, name, model=load[1], reason='weight store'
    )
    return False


async def _known_record(placer, name):
    """Return version and record as last known; read them if not known."""
    known = placer.records.get(name)
    if known is not None:
        return known
    record = record_name(placer.domain, name)
    outcome = await placer.store.get(PLACEMENTS, record)
    if isinstance(outcome, Absent):
        placer.records[name] = _NO_RECORD
    elif isinstance(outcome, Found):
        found = record_from_value(outcome.value)
        if found.fence > placer.fence:
            _step_down(placer, name, found.fence)
            return None
        placer.records[name] = (outcome.version, found)
    return placer.records.get(name)


async def _write_record(placer, name, record):
    """Write a record if its version is as last known; return whether it is."""
    version, _before = placer.records[name]
    mark = f'{placer.lease_manager.lease.holder}/{next(placer.sequence)}'
    outcome = await put_with_readback(
        placer.store,
        PLACEMENTS,
        record_name(placer.domain, name),
        record.value(mark),
        version,
        _MARK,
        placer.lease_manager.pause,
        _MAX_ATTEMPTS,
    )
    if isinstance(outcome, Written):
        placer.records[name] = (outcome.version, record)
        return True
    placer.records.pop(name, None)
    placer.log_once(
        events.INTENT_FAILED,
        name,
        level='warning',
        reason=type(outcome).__name__,
    )
    if isinstance(outcome, (Conflict, Superseded)):
        await _known_record(placer, name)
    return False
