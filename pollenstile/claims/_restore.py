"""Restores claims that a store has lost by its return from an older copy."""

from twisted.internet.defer import Deferred

from pollenstile.claims import events
from pollenstile.claims._pending import NotClaimed, Pending
from pollenstile.platform import paused

# Seconds after a return of the store in which hosts append again what its log
# has lost, and in which none can know whether a key is free.
RESTORE_SECONDS = 2.3
# Bound of the jitter that lets one host append for the others, in seconds.
_JITTER_SECONDS = 1.0


def note_return(claims):
    """Restore all logs: the store is, or may be, just back from a copy."""
    claims.returned_at = claims.clock.seconds()
    for log in claims.logs.values():
        _restore_after_return(log)


def return_failure(log):
    """Return why no key can be claimed soon after a return, or None."""
    wait = log.restored_at - log.clock.seconds()
    return NotClaimed('store returned', wait) if wait > 0 else None


def _restore_after_return(log):
    """Restore what a log lacks since the store is back from a copy.

    Explanation
    ===========

    Each host that has read a lost claim knows that its key is held. Until one
    of them has appended it again, no host claims new keys.
    """
    log.restored_at = log.clock.seconds() + RESTORE_SECONDS
    Deferred.fromCoroutine(_restore(log))


async def _restore(log):
    await paused(log.clock, log.rng.uniform(0, _JITTER_SECONDS))
    attempt = 0
    while await log.reader.read_to_end() is not None:
        await log.pause(attempt)
        attempt += 1
    lost = log.reader.lost_claims()
    if not lost:
        return
    log.log(
        events.CLAIMS_RESTORED,
        level='warning',
        shard=log.shard,
        claims=len(lost),
    )
    log.queue.extend(Pending(claim, own=False, restored=True) for claim in lost)
    log.start_writing()
