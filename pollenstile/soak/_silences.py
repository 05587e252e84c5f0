"""Upstreams of a run that stand still and go on where they were."""

from pollenstile.soak._faults import (
    change_configuration,
    offer_old_configuration,
)

# Silences that most callers have the time to wait for.
_SILENCE_EVERY_SECONDS = 1.5
_MAX_SILENCE_SECONDS = 1.2
_SILENT_SHARES = (0.3, 0.6, 1.0)
# Faults that leave upstreams, and hosts' paths to them, as they are.
SOUND_FAULTS = (change_configuration, offer_old_configuration)


def schedule_silences(world, rng, seconds):
    """Let upstreams stand still at random times and go on where they were.

    Explanation
    ===========

    Some, or all, do so together. The times have a generator of their own.
    """
    moment = rng.uniform(0.5, _SILENCE_EVERY_SECONDS)
    while moment < seconds:
        share = rng.choice(_SILENT_SHARES)
        length = rng.uniform(0.1, _MAX_SILENCE_SECONDS)
        world.clock.callLater(moment, fall_silent, world, rng, share, length)
        moment += length + rng.uniform(0.5, _SILENCE_EVERY_SECONDS)


def fall_silent(world, rng, share, seconds):
    """Let a random share of the upstreams stand still for some seconds."""
    names = sorted(world.upstreams)
    silent = rng.sample(names, round(share * len(names)))
    world.trace.note('silent', upstreams=','.join(silent), seconds=seconds)
    for name in silent:
        world.upstreams[name].timers.pause(seconds)
