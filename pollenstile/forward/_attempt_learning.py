"""What a host learns from an attempt while it runs and when it ends."""

from pollenstile.forward._learning import (
    learn_no_progress,
    learn_failure,
    learn_success,
    learn_unavailable,
)
from pollenstile.forward._outcomes import RESULTS_GONE, UpstreamFailure
from pollenstile.forward._request_log import log_no_progress
from pollenstile.forward._selection import (
    home_engine,
    own_tokens,
    subject_of,
)
from pollenstile.forward._types import Lost, NotRun

# Seconds after its first event at which an answer shows that its upstream bears
# the parts of the prompt: one that crashes on a part does so as it begins, and
# the first event may have left it by then.
_PROOF_SECONDS = 0.1


def note_heard(attempt):
    """Record that an attempt's upstream has sent something."""
    attempt.view.heard_at = attempt.core.clock.seconds()
    attempt.view.silent_since = None


def note_no_progress(attempt, reason):
    """Record that an attempt's upstream sends bytes which are no answer."""
    learn_no_progress(attempt.view, attempt.core.clock.seconds())
    log_no_progress(attempt, reason)


def learn_first_event(attempt):
    """Record the time of the first event that an attempt brings its stream."""
    attempt.input_release.release()
    attempt.core.copies.note_begun(attempt.exchange.fingerprint)
    first_seconds = attempt.first_at - attempt.started
    learn_success(attempt.view, first_seconds)
    exchange = attempt.exchange
    if exchange.prompt and not attempt.is_resumed:
        tokens = own_tokens(exchange.prompt)
        _learn_speed(attempt, tokens, first_seconds)
        attempt.core.first_tokens.learn(exchange.service, tokens, first_seconds)
    if exchange.handles:
        attempt.core.fetching.note_fetched(exchange.service)


def _learn_speed(attempt, tokens, first_seconds):
    """Record how fast an engine was, unless it had to read a shared part."""
    core = attempt.core
    exchange = attempt.exchange
    if not core.conditions.applies_to(exchange.service):
        return
    views = core.registry.usable(exchange.service, exchange.software)
    subject = subject_of(exchange.prompt, len(views))
    if subject and (
        not views or home_engine(views, subject) is not attempt.view
    ):
        return
    core.conditions.learn(
        exchange.service,
        attempt.view,
        first_seconds,
        core.first_tokens.seconds(exchange.service, tokens),
    )


def learn_outcome(attempt, outcome):
    """Record how an attempt has ended."""
    now = attempt.core.clock.seconds()
    if outcome is RESULTS_GONE:
        attempt.core.fetching.note_failed_fetch(attempt.exchange.service)
        return
    if isinstance(outcome, NotRun) and outcome.is_unfit:
        return
    if isinstance(outcome, NotRun):
        # An upstream that states when it wants requests again is believed.
        # With a back-off besides, it would be idle after that time.
        if attempt.core.permissions.withdrawn(attempt.view.incarnation) is None:
            learn_unavailable(attempt.view, now, arrived=outcome.arrived)
    elif isinstance(outcome, (Lost, UpstreamFailure)):
        learn_failure(attempt.view)
        if getattr(outcome, 'endless', False):
            attempt.core.silences.endless += 1
            note_no_progress(attempt, outcome.reason)
    elif not attempt.streaming:
        learn_success(attempt.view, now - attempt.started)


def note_going_on(attempt):
    """Record that the upstream lives on after the answer has begun."""
    core = attempt.core
    if core.clock.seconds() - attempt.first_at < _PROOF_SECONDS:
        return
    attempt.has_gone_on = True
    core.quarantine.note_sound_parts(
        attempt.exchange.service, attempt.exchange.parts
    )
