"""Runs one request from admission to its final outcome."""

from functools import partial

from twisted.internet.defer import CancelledError

from pollenstile.limits import expected_time, expected_times
from pollenstile.outcomes import Answered, Failed, Refused, Unknown
from pollenstile.pipeline import events
from pollenstile.pipeline._decisions import stage_budget
from pollenstile.pipeline._departure import ended_outcome, may_begin
from pollenstile.pipeline._stage import StageFailed, StageRun

_UNPROCESSABLE = 422
_UNAVAILABLE = 503


def _ignore_token(text):
    """Discard a token of a stream that is not passed on."""


async def run_request(core, request, on_token=_ignore_token):
    """Run a request and return its final outcome.

    Parameters
    ==========

    core : Core
        Components of the host.
    request : Request
        The authenticated and decoded request.
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
        outcome = await _run_admitted(core, request, on_token)
    except CancelledError:
        outcome = _cancelled_outcome(core, request)
    except Exception:
        # Without this the request would be counted as running forever.
        core.ledger.crash(request)
        raise
    return _record_outcome(core, request, outcome)


def _cancelled_outcome(core, request):
    if core.departure.is_over:
        return ended_outcome(core.host, core.ledger.sent(request))
    # A non-idempotent request may be cancelled while its call runs. With
    # `Failed` the caller would assume that it is safe to retry.
    kind = Failed if request.pipeline.idempotent else Unknown
    return kind('cancelled', 'caller', '')


async def _run_admitted(core, request, on_token):
    refusal = await core.admission.admit(request)
    if refusal is not None:
        return refusal
    try:
        return await _run_claimed(core, request, on_token)
    finally:
        core.admission.request_ended(request)


async def _run_claimed(core, request, on_token):
    if core.claims is None or request.pipeline.idempotent or not request.key:
        return await _run_stages(core, request, on_token)
    run = partial(_run_to_outcome, core, request, on_token)
    return await core.claims(request, run)


async def _run_to_outcome(core, request, on_token):
    # What becomes of the key depends on the outcome, also of a request that
    # was ended.
    try:
        return await _run_stages(core, request, on_token)
    except CancelledError:
        return _cancelled_outcome(core, request)


def _record_outcome(core, request, outcome):
    core.ledger.finish(request, outcome)
    core.count(f'outcome.{outcome.tag}')
    remaining = request.deadline - core.clock.seconds()
    core.log(
        events.FINISHED,
        request=request.ident,
        pipeline=request.name,
        team=request.team,
        outcome=outcome.tag,
        reason=getattr(outcome, 'reason', ''),
        step=getattr(outcome, 'step', ''),
        peer=getattr(outcome, 'peer', ''),
        left_ms=int(remaining * 1000),
    )
    return outcome


def _may_begin(core, request):
    if not core.departure.is_set:
        return True
    needed = sum(expected_times(request, core.tracker))
    return may_begin(core.departure, core.clock.seconds(), needed)


async def _run_stages(core, request, on_token):
    if not _may_begin(core, request):
        return ended_outcome(core.host, core.ledger.sent(request))
    outputs = {}
    cost = {}
    stages = request.pipeline.stages
    output = None
    for index, stage in enumerate(stages):
        is_last = index + 1 == len(stages)
        run = StageRun(
            core,
            request,
            stage,
            _stage_input(request, stages, index, outputs),
            _stage_deadline(core, request, stages[index:]),
            on_token if is_last else _ignore_token,
        )
        result = await run.start()
        core.admission.stage_ended(request, stage)
        cost[stage.name] = result.cost
        if isinstance(result, StageFailed):
            for completed in stages[:index]:
                core.costs.abandon(
                    completed.name, request.team, cost[completed.name]
                )
            return _failure_outcome(request, stage, result, cost, index)
        output = result.output
        outputs[stage.name] = output
    return Answered(output, cost)


def _stage_input(request, stages, index, outputs):
    needs = stages[index].needs
    if not needs and index:
        needs = [stages[index - 1].name]
    return {
        'input': request.content,
        'results': {need: outputs[need] for need in needs},
    }


def _stage_deadline(core, request, stages):
    now = core.clock.seconds()
    own, *later = [
        expected_time(request.name, stage, core.tracker) for stage in stages
    ]
    return now + stage_budget(request.deadline - now, later, own)


def _failure_outcome(request, stage, result, cost, index):
    ran = index > 0 or result.may_have_run
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
