"""Taking one engine one step further: drains, tickets, intents, orders."""

from dataclasses import replace

from pollenstile.placement import events
from pollenstile.placement._lease import lose
from pollenstile.placement._loads import load_refusal
from pollenstile.placement._orders import Applied, Lost, Order
from pollenstile.placement._records import (
    PLACEMENTS,
    Record,
    intent_of,
    record_name,
    record_of,
)
from pollenstile.placement._steps import (
    Drain,
    Settled,
    Swap,
    due_loads,
    leaving_models,
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
_ATTEMPTS = 3
_NOTHING = (0, Record(0, {}, (), ''))


async def conducted(placer, name, facts, state, wanted, deferred):
    """Take one engine one step further.

    Parameters
    ==========

    placer : Placer
        Whose engine it is.
    name : str
        The engine.
    facts : EngineFacts
        As declared.
    state : EngineState
        As it was just read.
    wanted : dict
        Model to :class:`Holding`.
    deferred : str
        Why a drain has to wait; empty when it has not.
    """
    if placer.clock.seconds() < placer.not_before.get(name, 0.0):
        return
    checked = facts.upstream.fencing == _CHECKED
    if checked and state.fence > placer.fence:
        _step_down(placer, name, state.fence)
        return
    leaving = leaving_models(state, wanted)
    _end_drains(placer, name, leaving)
    if not await _recorded(placer, name, state):
        placer.settled.pop(name, None)
        return
    if _claims_due(placer, facts, state):
        placer.settled.pop(name, None)
        await _claimed(placer, name, facts, state)
        return
    step = next_step(
        state,
        wanted,
        placer.draining.get(name, {}),
        placer.clock.seconds(),
        placer.timing.drain,
    )
    if isinstance(step, Drain):
        await _drained(placer, name, state, wanted, step, deferred)
    elif isinstance(step, Swap):
        await _swapped(placer, name, facts, state, step)
    if not isinstance(step, Settled):
        placer.settled.pop(name, None)


def _end_drains(placer, name, leaving):
    """Forget drains of models that stay after all, or are gone."""
    drains = placer.draining.get(name, {})
    for model in tuple(drains):
        if model not in leaving:
            drains.pop(model)


async def _recorded(placer, name, state):
    """Bring the engine's record up to date; return whether it is.

    Explanation
    ===========

    The record follows what the engine was read to hold, and carries the
    fencing number of the present holder, so that an intent of one before
    meets a conflict.
    """
    known = await _known_record(placer, name)
    if known is None:
        return False
    _version, record = known
    drains = placer.draining.get(name, {})
    serving = [model for model in sorted(state.models) if model not in drains]
    fresh = replace(
        record,
        fence=placer.fence,
        serving=tuple(serving),
        incarnation=state.incarnation,
    )
    if fresh == record:
        return True
    return await _written(placer, name, fresh)


def _claims_due(placer, facts, state):
    return facts.upstream.fencing == _CHECKED and state.fence < placer.fence


async def _claimed(placer, name, facts, state):
    """Let the engine know this holder's fencing number.

    Explanation
    ===========

    A holder before this one may have been paused right before it sent an
    order. The engine would take it, as no higher number has reached it. So
    its first order states what the engine holds anyhow.
    """
    await _ordered(placer, name, facts, {**state.models, **state.loading})


async def _drained(placer, name, state, wanted, step, deferred):
    """Begin a drain, once it is sure that the swap can follow."""
    if deferred:
        placer.tell(events.SWAP_WAITS, name, reason=deferred)
        return
    if not placer.may_drain(state, step.models):
        placer.tell(events.SWAP_WAITS, name, reason='not idle')
        return
    # Without a ticket the engine would stand empty until there is one.
    if not await _ticketed(placer, name, state, due_loads(state, wanted)):
        return
    version, record = placer.records[name]
    serving = [model for model in record.serving if model not in step.models]
    if not await _written(
        placer, name, replace(record, serving=tuple(serving))
    ):
        return
    drains = placer.draining.setdefault(name, {})
    for model in step.models:
        drains.setdefault(model, placer.clock.seconds())
    placer.tell(
        events.DRAIN,
        name,
        models=','.join(step.models),
        version=version,
    )


async def _swapped(placer, name, facts, state, step):
    if not await _ticketed(placer, name, state, step.loads):
        return
    if step.overdue:
        placer.tell(events.DRAIN_OVER, name, level='warning')
    if facts.upstream.fencing != _CHECKED:
        if not await _intended(placer, name, step.models):
            return
    await _ordered(placer, name, facts, step.models)


async def _intended(placer, name, models):
    """Write what will be ordered, before it is; return whether it stands.

    Explanation
    ===========

    The engine takes orders from anyone. A holder that was paused past its
    term meets a conflict here, because its successor has written the record
    with a number of its own, and so gives no order. The write is made even
    where the intent stands there already: it is the check.
    """
    _version, record = placer.records[name]
    intent = intent_of(models)
    fresh = replace(record, fence=placer.fence, intent=intent)
    if not await _written(placer, name, fresh):
        return False
    placer.tell(events.INTENT_WRITTEN, name, models=','.join(intent))
    return True


async def _ordered(placer, name, facts, models):
    ident = f'{placer.keeper.lease.holder}/{next(placer.numbers)}'
    order = Order(ident, placer.fence, models)
    # The host may have been suspended at any await above, past its term. The
    # check and the sending are one step: nothing comes between them that
    # could wait.
    lease = placer.keeper.lease
    if not placer.keeper.holds() or lease.fence != placer.fence:
        placer.tell(events.ORDER_WITHHELD, name, level='warning', order=ident)
        return
    _log_order(placer, events.ORDER_SENT, name, order, models=sorted(models))
    outcome = await placer.orders.send(name, facts.upstream, order)
    if isinstance(outcome, Applied):
        _log_order(placer, events.ORDER_ANSWERED, name, order)
    elif isinstance(outcome, Lost):
        reason = outcome.reason
        _log_order(placer, events.ORDER_LOST, name, order, reason=reason)
    else:
        _refused(placer, name, order, outcome)


def _refused(placer, name, order, refused):
    _log_order(
        placer,
        events.ORDER_REFUSED,
        name,
        order,
        reason=refused.reason,
        highest=refused.fence,
    )
    again = placer.clock.seconds() + placer.timing.refused
    placer.not_before[name] = again
    if refused.fence > order.fence:
        _step_down(placer, name, refused.fence)


def _log_order(placer, event, name, order, **fields):
    placer.told.pop(name, None)
    placer.log(
        event,
        engine=name,
        order=order.ident,
        fence=order.fence,
        **fields,
    )


def _step_down(placer, name, fence):
    """Give no more orders: another holder has a higher number."""
    if placer.keeper.lease.fence >= fence:
        return
    lose(placer.keeper.lease)
    placer.log(
        events.LEASE_LOST,
        level='warning',
        engine=name,
        domain=placer.domain,
        lost=placer.fence,
        higher=fence,
    )


async def _ticketed(placer, name, state, loads):
    """Return whether an engine may load; ask the weight store if need be."""
    for model, holding in loads.items():
        load = (state.incarnation, model, holding)
        if placer.loads.tickets.get(name) != load:
            return await _asked(placer, name, load)
    return True


async def _asked(placer, name, load):
    now = placer.clock.seconds()
    timing = placer.timing.loads
    reason = load_refusal(placer.loads, name, load, now, timing)
    if reason:
        placer.tell(events.LOAD_WAITS, name, model=load[1], reason=reason)
        return False
    loads = placer.loads
    loads.asking = True
    try:
        outcome = await placer.ticket(load[1], load[2].version)
    finally:
        loads.asking = False
    if isinstance(outcome, Ticket):
        loads.tickets[name] = load
        placer.tell(
            events.LOAD_ALLOWED,
            name,
            model=load[1],
            version=load[2].version,
        )
        return True
    again = timing.again
    if isinstance(outcome, Throttled):
        again = outcome.retry_after
    jitter = placer.random.uniform(0, timing.jitter)
    loads.not_before = placer.clock.seconds() + again + jitter
    placer.tell(events.LOAD_WAITS, name, model=load[1], reason='weight store')
    return False


async def _known_record(placer, name):
    """Return version and record as last known, read when not known."""
    known = placer.records.get(name)
    if known is not None:
        return known
    record = record_name(placer.domain, name)
    outcome = await placer.store.get(PLACEMENTS, record)
    if isinstance(outcome, Absent):
        placer.records[name] = _NOTHING
    elif isinstance(outcome, Found):
        found = record_of(outcome.value)
        if found.fence > placer.fence:
            _step_down(placer, name, found.fence)
            return None
        placer.records[name] = (outcome.version, found)
    return placer.records.get(name)


async def _written(placer, name, record):
    """Write a record over the version last known; return whether it stands."""
    version, _before = placer.records[name]
    mark = f'{placer.keeper.lease.holder}/{next(placer.numbers)}'
    outcome = await put_with_readback(
        placer.store,
        PLACEMENTS,
        record_name(placer.domain, name),
        record.value(mark),
        version,
        _MARK,
        placer.keeper.pause,
        _ATTEMPTS,
    )
    if isinstance(outcome, Written):
        placer.records[name] = (outcome.version, record)
        return True
    placer.records.pop(name, None)
    placer.tell(
        events.INTENT_FAILED,
        name,
        level='warning',
        reason=type(outcome).__name__,
    )
    if isinstance(outcome, (Conflict, Superseded)):
        await _known_record(placer, name)
    return False
