"""Crash evidence from the outcomes of attempts, for the quarantine."""

from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import deferLater

from pollenstile.forward._outcomes import Delivered, UpstreamFailure
from pollenstile.forward._crashes import incarnation_of
from pollenstile.forward._dispatch import candidates_failed_at
from pollenstile.forward._types import Lost, Refusal
from pollenstile.quarantine import HELD_REASON, Suspect

_BAD_GATEWAY = 502
# Seconds in which reports of a crash reach all hosts.
_REPORT_SECONDS = 0.15


def quarantine_refusal(core, exchange):
    """Return the refusal of a quarantined request, or None.

    Explanation
    ===========

    The same request, or one with the same prompt part, has run before. Status
    429 or 503, or advice on when to retry, would make its caller send it again,
    so the refusal has neither.
    """
    if not core.quarantine.verdicts.first_held(exchange.fingerprints):
        return None
    return Refusal(_BAD_GATEWAY, HELD_REASON, 'entry')


def record_outcome(core, exchange, attempt, outcome):
    """Record an attempt's outcome; return a Deferred that a retry awaits.

    Returns
    =======

    Deferred
        Fires at once for most requests. If the connection broke before the
        answer began, or the request was in flight at another upstream when that
        crashed, it fires after this upstream was checked for a crash, and after
        a crash once other hosts can have reported theirs.
    """
    quarantine = core.quarantine
    fingerprint = exchange.fingerprint
    if isinstance(outcome, (Delivered, UpstreamFailure)):
        quarantine.note_completed(fingerprint)
        if isinstance(outcome, Delivered):
            quarantine.note_sound_parts(exchange.service, exchange.parts)
        return succeed(None)
    if not isinstance(outcome, Lost) or not outcome.broken:
        return succeed(None)
    core.doubts.note_broken(attempt.view.incarnation)
    was_suspect = quarantine.is_suspect(fingerprint)
    examined = core.crashes.note_broken(
        incarnation_of(exchange.service, attempt.view),
        Suspect(
            fingerprint, exchange.team, attempt.ran_seconds(), exchange.parts
        ),
    )
    if was_suspect:
        return examined
    if attempt.first_at:
        return succeed(None)
    return Deferred.fromCoroutine(_reports_of(core, examined))


async def await_reports(core, exchange, tried):
    """Wait for reports of crashes before more upstreams are put at risk.

    Parameters
    ==========

    tried : list of str
        Identifiers of upstreams that the request was sent to before.
    """
    failed_at = candidates_failed_at(core, exchange, tried)
    wait = failed_at + _REPORT_SECONDS - core.clock.seconds()
    if failed_at and wait > 0:
        await deferLater(core.clock, wait)


async def _reports_of(core, examined):
    """Wait until other hosts can have reported the crash of a copy.

    Explanation
    ===========

    Copies of a request that crashes upstreams may have crashed several at one
    instant. If each were sent again at once, as many more would crash.
    """
    if await examined:
        await deferLater(core.clock, _REPORT_SECONDS)
