"""Mutations of the request path: each removes one guard of the code."""

from contextlib import ExitStack, contextmanager

from twisted.internet.defer import succeed

from pollenstile import pipeline
from pollenstile.claims import Claims
from pollenstile.entry import Node
from pollenstile.forward import _parse as forward_parse
from pollenstile.forward import _run as forward_run
from pollenstile.forward import _standby as forward_standby
from pollenstile.fleet import InForce, Watchers
from pollenstile.limits import RetryBudget
from pollenstile.outcomes import Refused
from pollenstile.pipeline import _run, _silence, _stage
from pollenstile.pipeline._assembly import Assembly
from pollenstile.pipeline._attempts import Attempt, Attempts
from pollenstile.pipeline._stage import StageRun
from pollenstile.returns import PieceShare, _times
from pollenstile.routing import UpstreamState
from pollenstile.upstream import Lost


@contextmanager
def patched(owner, name, replacement):
    """Replace an attribute while the block runs."""
    original = getattr(owner, name)
    setattr(owner, name, replacement)
    try:
        yield original
    finally:
        setattr(owner, name, original)


def _return_false(*arguments, **keywords):
    return False


def _return_true(*arguments, **keywords):
    return True


def _do_nothing(*arguments, **keywords):
    """Do nothing."""


def _raise_error(*arguments, **keywords):
    raise ValueError('a fault of the program')


def _full_budget(budget, expected, attempts_left):
    return budget


def _append_any_token(assembly, offset, text):
    assembly.parts.append(text)
    return True


def _accept_late_event(run, attempt, event):
    run.attempts.in_flight[attempt.number] = attempt
    _ORIGINAL_EVENT(run, attempt, event)


def _accept_abandoned_event(run, attempt, event):
    if run.result.called:
        return
    _accept_late_event(run, attempt, event)


_ORIGINAL_EVENT = StageRun.on_event


def _abandon_without_record(attempts, attempt):
    attempts.core.ledger.abandon(attempts.request, attempt.ident)
    if attempt.cancel is not None:
        attempt.cancel()


def _build_call_from_start(attempts, attempt, timeout, assembly):
    return _ORIGINAL_CALL(attempts, attempt, timeout, Assembly())


_ORIGINAL_CALL = Attempts._build_call


def _refuse_as_not_run(request, stage, result, cost, index):
    return Refused(503, result.reason, stage.name, result.peer)


def _offer_any_version(in_force, version, text, source, lineage=None):
    if in_force.snapshot is not None and version < in_force.version:
        in_force.snapshot.version = 0
    return _ORIGINAL_OFFER(in_force, version, text, source, lineage)


_ORIGINAL_OFFER = InForce.offer


def _no_timeout(budget, expected, attempts_left):
    return 1e6


def _no_deadline(run):
    return 1e6


async def _run_again_on_failure(core, request, on_token=_do_nothing):
    outcome = await _ORIGINAL_RUN_REQUEST(core, request, on_token)
    if outcome.tag == 'failed':
        return await _ORIGINAL_RUN_REQUEST(core, request, on_token)
    return outcome


_ORIGINAL_RUN_REQUEST = pipeline.run_request


def _end_silent_attempt(run, attempt):
    run.on_event(attempt, Lost('timeout'))


def _read_nothing(now, due):
    return 0


def _report_idle(node):
    return succeed(None)


async def _run_unclaimed(claims, request, run):
    return await run()


async def _never_poll(watchers, name, poll, now):
    poll.due_at = now + 1e6


def _retry_always(*arguments, **keywords):
    return forward_run.RetryDecision.RETRY


def _no_obstacle(route, state, **known):
    return ''


def _refuse_any_as_not_run(runs):
    return forward_run.Refusal(503, 'timeout', 'send')


def _forward_all_headers(answer, names):
    return [
        (name, value)
        for name, values in answer.requestHeaders.getAllRawHeaders()
        for value in values
    ]


def _fill_first_slot(promised, first, last, count, rate):
    return [PieceShare(first, count)]


# Replaces an attribute so that it always reads as false.
_NEVER_SET = property(_return_false, _do_nothing)

_PATCHES = {
    'one outcome': [(pipeline, 'run_request', _run_again_on_failure)],
    'timeouts': [
        (_stage, 'attempt_timeout', _no_timeout),
        (_silence, 'remaining_seconds', _no_deadline),
    ],
    'waiting for the last request': [(Node, 'when_idle', _report_idle)],
    'claims': [(Claims, 'outcome', _run_unclaimed)],
    'membership': [(Watchers, '_ask', _never_poll)],
    'leaving': [(UpstreamState, 'leaving', _NEVER_SET)],
    'foreign replies': [(StageRun, '_is_foreign', _return_false)],
    'foreign refusals': [(StageRun, '_is_foreign_refusal', _return_false)],
    'late replies': [(StageRun, 'on_event', _accept_late_event)],
    'replies of cut attempts': [
        (StageRun, 'on_event', _accept_abandoned_event)
    ],
    'offsets': [
        (Assembly, 'append_if_next', _append_any_token),
        (Assembly, 'has_gap', _return_false),
    ],
    'short streams': [(_stage, '_is_incomplete', _return_false)],
    'resuming': [(Attempts, '_build_call', _build_call_from_start)],
    'room for a second attempt': [(_stage, 'attempt_timeout', _full_budget)],
    'one run': [
        (_silence, 'may_retry', _return_true),
        (_stage, 'has_enough_time', _return_true),
    ],
    'time for a non-idempotent call': [
        (_stage, 'has_enough_time', _return_true),
    ],
    'time for a hedge': [
        (_stage, name, _return_true)
        for name in ('has_enough_time', 'hedge_avoids_queue')
        if hasattr(_stage, name)
    ],
    'listening to silent attempts': [
        (_silence, '_on_silence', _end_silent_attempt),
    ],
    'silent upstreams': [(UpstreamState, 'silent_calls', _NEVER_SET)],
    'one sample of a silence': [(Attempt, 'was_silent', _NEVER_SET)],
    'reading after a pause': [(_silence, 'reading_time', _read_nothing)],
    'memory of runs': [(Attempts, 'abandon', _abandon_without_record)],
    'truthful refusals': [(_run, '_failure_outcome', _refuse_as_not_run)],
    'sound refusals': [(Attempts, 'give_back', _raise_error)],
    'cancelled losers': [(Attempts, 'drop_all', _do_nothing)],
    'retry budget': [(RetryBudget, 'spent', _return_true)],
    'attempts of the route': [
        (forward_run, 'decide_retry', _retry_always),
        (forward_standby, 'standby_obstacle', _no_obstacle),
    ],
    'truthful timeouts': [
        (forward_run, 'expired_refusal', _refuse_any_as_not_run)
    ],
    'reserved headers': [
        (forward_parse, '_forwarded_headers', _forward_all_headers)
    ],
    'room for new callers': [(_times, 'allocated_pieces', _fill_first_slot)],
    'rising versions': [(InForce, 'offer', _offer_any_version)],
}


@contextmanager
def without(guard):
    """Run a block without the guard of the given name."""
    with ExitStack() as stack:
        for owner, name, replacement in _PATCHES[guard]:
            stack.enter_context(patched(owner, name, replacement))
        yield
