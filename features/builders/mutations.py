"""Guards of the request path, each to be taken away on its own."""

from contextlib import ExitStack, contextmanager

from twisted.internet.defer import succeed

from pollenstile import pipeline
from pollenstile.claims import Claims
from pollenstile.entry import Node
from pollenstile.fleet import InForce, Watchers
from pollenstile.limits import RetryBudget
from pollenstile.outcomes import Refused
from pollenstile.pipeline import _run, _stage
from pollenstile.pipeline._assembly import Assembly
from pollenstile.pipeline._attempts import Attempts
from pollenstile.pipeline._stage import StageRun
from pollenstile.routing import UpstreamState


@contextmanager
def patched(owner, name, replacement):
    """Replace an attribute for a while."""
    original = getattr(owner, name)
    setattr(owner, name, replacement)
    try:
        yield original
    finally:
        setattr(owner, name, original)


def _never(*arguments, **keywords):
    return False


def _always(*arguments, **keywords):
    return True


def _nothing(*arguments, **keywords):
    """Do nothing."""


def _crashed(*arguments, **keywords):
    raise ValueError('a fault of the program')


def _whole_budget(budget, expected, attempts_left):
    return budget


def _any_token(assembly, offset, text):
    assembly.parts.append(text)
    return True


def _taken_late(run, attempt, event):
    run.attempts.live[attempt.number] = attempt
    _ORIGINAL_EVENT(run, attempt, event)


def _taken_from_cut(run, attempt, event):
    if run.result.called:
        return
    _taken_late(run, attempt, event)


_ORIGINAL_EVENT = StageRun._on_event


def _forgetful_cut(attempts, attempt):
    attempts.core.ledger.cut(attempts.request, attempt.ident)
    if attempt.cancel is not None:
        attempt.cancel()


def _resumed_from_start(attempts, attempt, timeout, assembly):
    return _ORIGINAL_CALL(attempts, attempt, timeout, Assembly())


_ORIGINAL_CALL = Attempts._call


def _said_not_run(request, stage, result, cost, place):
    return Refused(503, result.reason, stage.name, result.peer)


def _newest_offer(in_force, version, text, source):
    if in_force.snapshot is not None and version < in_force.version:
        in_force.snapshot.version = 0
    return _ORIGINAL_OFFER(in_force, version, text, source)


_ORIGINAL_OFFER = InForce.offer


def _no_end(budget, expected, attempts_left):
    return 1e6


async def _outcome_again(core, request, on_token=_nothing):
    outcome = await _ORIGINAL_OUTCOME(core, request, on_token)
    if outcome.tag == 'failed':
        return await _ORIGINAL_OUTCOME(core, request, on_token)
    return outcome


_ORIGINAL_OUTCOME = pipeline.run_request


def _idle_at_once(node):
    return succeed(None)


async def _unclaimed(claims, request, run):
    return await run()


async def _asked_nothing(watchers, name, poll, now):
    poll.due_at = now + 1e6


# State that is never set: the attribute reads as false for good.
_NEVER_SET = property(_never, _nothing)

_PATCHES = {
    'one outcome': [(pipeline, 'outcome_of', _outcome_again)],
    'timeouts': [(_stage, 'attempt_timeout', _no_end)],
    'waiting for the last request': [(Node, 'idle', _idle_at_once)],
    'claims': [(Claims, 'outcome', _unclaimed)],
    'membership': [(Watchers, '_ask', _asked_nothing)],
    'leaving': [(UpstreamState, 'leaving', _NEVER_SET)],
    'foreign replies': [(StageRun, '_is_foreign', _never)],
    'foreign refusals': [(StageRun, '_is_foreign_refusal', _never)],
    'late replies': [(StageRun, '_on_event', _taken_late)],
    'replies of cut attempts': [(StageRun, '_on_event', _taken_from_cut)],
    'offsets': [
        (Assembly, 'accepts', _any_token),
        (Assembly, 'has_gap', _never),
    ],
    'short streams': [(_stage, '_is_short', _never)],
    'resuming': [(Attempts, '_call', _resumed_from_start)],
    'room for a second attempt': [(_stage, 'attempt_timeout', _whole_budget)],
    'one run': [
        (_stage, 'may_retry', _always),
        (_stage, 'worth_sending', _always),
    ],
    'time for a non-idempotent call': [(_stage, 'worth_sending', _always)],
    'time for a hedge': [
        (_stage, name, _always)
        for name in ('worth_sending', 'hedge_helps')
        if hasattr(_stage, name)
    ],
    'memory of runs': [(Attempts, 'cut', _forgetful_cut)],
    'truthful refusals': [(_run, '_failure_outcome', _said_not_run)],
    'sound refusals': [(Attempts, 'give_back', _crashed)],
    'cancelled losers': [(Attempts, 'drop_all', _nothing)],
    'retry budget': [(RetryBudget, 'spent', _always)],
    'rising versions': [(InForce, 'offer', _newest_offer)],
}


@contextmanager
def without(guard):
    """Run a block with a guard taken away."""
    with ExitStack() as stack:
        for owner, name, replacement in _PATCHES[guard]:
            stack.enter_context(patched(owner, name, replacement))
        yield
