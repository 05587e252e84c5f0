"""One request from admission to its final outcome."""

from functools import partial

from twisted.internet.defer import CancelledError

from pollenstile.limits import expected_time
from pollenstile.pipeline import events
from pollenstile.pipeline._decisions import stage_budget
from pollenstile.pipeline._stage import StageFailed, StageRun
from pollenstile.outcomes import Answered, Failed, Refused, Unknown

_UNPROCESSABLE = 422
_UNAVAILABLE = 503


def _ignore_token(text):
    """Take a token that nobody waits for."""


async def run_request(core, request, on_token=_ignore_token):
    """Run a request and return its one outcome.

    Parameters
    ==========

    core : Core
        What the host offers.
    request : Request
        Authenticated, and decoded.
    on_token : function
        Takes each token of the last stage's stream, in order.

    Returns
    =======

    Answered, Refused, Failed or Unknown
        The final outcome.
    """
    core.ledger.accept(request)
    core.demand(request)
    try:
        outcome = await _admitted_outcome(core, request, on_token)
    except CancelledError:
        outcome = _cancelled_outcome(request)
    except Exception:
        # Left open, the request would be counted as running for good.
        core.ledger.crash(request)
        raise
    return _finished(core, request, outcome)


def _cancelled_outcome(request):
    # Whoever cancels a non-idempotent request may do so while its call runs.
    # `Failed` would tell a caller that asking again is safe.
    kind = Failed if request.pipeline.idempotent else Unknown
    return kind('cancelled', 'caller', '')


async def _admitted_outcome(core, request, on_token):
    refusal = await core.admission.admit(request)
    if refusal is not None:
        return refusal
    try:
        return await _claimed_outcome(core, request, on_token)
    finally:
        core.admission.request_ended(request)


async def _claimed_outcome(core, request, on_token):
    if core.claims is None or request.pipeline.idempotent or not request.key:
        return await _stages_outcome(core, request, on_token)
    run = partial(_stages_outcome, core, request, on_token)
    return await core.claims(request, run)


def _finished(core, request, outcome):
    core.ledger.finish(request, outcome)
    core.count(f'outcome.{outcome.tag}')
    left = request.deadline - core.clock.seconds()
    core.log(
        events.FINISHED,
        request=request.ident,
        pipeline=request.name,
        team=request.team,
        outcome=outcome.tag,
        reason=getattr(outcome, 'reason', ''),
        step=getattr(outcome, 'step', ''),
        peer=getattr(outcome, 'peer', ''),
        left_ms=int(left * 1000),
    )
    return outcome


async def _stages_outcome(core, request, on_token):
    outputs = {}
    cost = {}
    stages = request.pipeline.stages
    output = None
    for place, stage in enumerate(stages):
        is_last = place + 1 == len(stages)
        run = StageRun(
            core,
            request,
            stage,
            _stage_input(request, stages, place, outputs),
            _stage_end(core, request, stages[place:]),
            on_token if is_last else _ignore_token,
        )
        result = await run.start()
        core.admission.stage_ended(request, stage)
        cost[stage.name] = result.cost
        if isinstance(result, StageFailed):
            for done in stages[:place]:
                core.costs.abandon(done.name, request.team, cost[done.name])
            return _failure_outcome(request, stage, result, cost, place)
        output = result.output
        outputs[stage.name] = output
    return Answered(output, cost)


def _stage_input(request, stages, place, outputs):
    needs = stages[place].needs
    if not needs and place:
        needs = [stages[place - 1].name]
    return {
        'input': request.content,
        'results': {need: outputs[need] for need in needs},
    }


def _stage_end(core, request, left):
    now = core.clock.seconds()
    own, *later = [
        expected_time(request.name, stage, core.tracker) for stage in left
    ]
    return now + stage_budget(request.deadline - now, later, own)


def _failure_outcome(request, stage, result, cost, place):
    ran = place > 0 or result.may_have_run
    if result.may_have_run and not stage.idempotent:
        return Unknown(result.reason, stage.name, result.peer, cost)
    if ran:
        return Failed(result.reason, stage.name, result.peer, cost)
    status = _UNPROCESSABLE if result.rejected else _UNAVAILABLE
    return Refused(
        status,
        result.reason,
        stage.name,
        result.peer,
        0 if result.rejected else max(1, result.retry_after),
    )
