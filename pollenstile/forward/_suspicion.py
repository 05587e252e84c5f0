"""What an attempt's end tells about the request and its upstream."""

from twisted.internet.defer import succeed

from pollenstile.forward._attempt import Delivered, Failing
from pollenstile.forward._crashes import incarnation_of
from pollenstile.forward._types import Lost, Refusal
from pollenstile.quarantine import HELD_REASON, Suspect

_BAD_GATEWAY = 502


def quarantine_refusal(core, exchange):
    """Return why a request that crashes upstreams is not sent, or None.

    Explanation
    ===========

    The content has run before. 429 or 503, or a time to come back, would have
    its caller send it again.
    """
    if not core.quarantine.is_held(exchange.fingerprint):
        return None
    return Refusal(_BAD_GATEWAY, HELD_REASON, 'entry')


def learned(core, exchange, attempt, outcome):
    """Learn from an attempt's end; return what a further send waits for.

    Returns
    =======

    Deferred
        Fires at once for most requests. One that was under way at an upstream
        that crashed before waits until it is known whether this one has.
    """
    quarantine = core.quarantine
    content = exchange.fingerprint
    if isinstance(outcome, (Delivered, Failing)):
        quarantine.note_completed(content)
        return succeed(None)
    if not isinstance(outcome, Lost) or not outcome.broken:
        return succeed(None)
    was_suspect = quarantine.is_suspect(content)
    decided = core.crashes.note_broken(
        incarnation_of(exchange.service, attempt.view),
        Suspect(content, exchange.team, attempt.ran_seconds()),
    )
    return decided if was_suspect else succeed(None)
