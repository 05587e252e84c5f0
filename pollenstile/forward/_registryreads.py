"""Reads of the registry whose result is not older than a question."""

from pollenstile.platform import ReadResult, SharedReads

# Time limit of a read. A slow store answers within 0.3 s.
_READ_SECONDS = 0.5
# Minimum seconds between two reads of a host.
_PERIOD_SECONDS = 0.1
# Seconds after a return of the store from an older copy until the entries of
# upstreams that it lacks are there again.
_RETURN_SECONDS = 2.3


def build_registry_reads(parts, clock, upstreams, log):
    """Return :class:`SharedReads` that report changes through a watch.

    Parameters
    ==========

    parts : HostParts
        Parts of the host.
    upstreams : Watch
        Watch of the registry.
    log : function
        Writes events.
    """
    store = parts.relay.store.store
    follower = parts.relay.follower
    configuration = parts.core.configuration

    async def read():
        if configuration.loop.is_failing() and not follower.is_following():
            return ReadResult.REFUSED
        began = configuration.suspend_clock()
        result = await upstreams.read_now(store, _READ_SECONDS)
        is_proof = _is_proof(configuration.settling, began)
        if result is ReadResult.CURRENT and not is_proof:
            return ReadResult.UNPROVEN
        return result

    return SharedReads(clock, read, _period, log)


def _is_proof(settling, began):
    """Return whether a read shows all that was written before it."""
    is_settled = settling.is_proof(began)
    return is_settled and began - settling.returned_at >= _RETURN_SECONDS


def _period():
    return _PERIOD_SECONDS
