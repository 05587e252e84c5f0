"""Reads of the registry whose result is not older than a question."""

from functools import partial

from pollenstile.platform import SharedReads

# Time limit of a read. A slow store answers within 0.3 s.
_READ_SECONDS = 0.5
# Minimum seconds between two reads of a host, and reads a second of all hosts
# together: a store answers about two thousand.
_PERIOD_SECONDS = 0.25
_FLEET_READS = 600


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
    settling = configuration.settling

    async def read():
        if configuration.loop.is_failing() and not follower.is_following():
            return False
        succeeded = await upstreams.read_now(store, _READ_SECONDS)
        # A store that is back from an older copy proves nothing at first.
        return succeeded and settling.is_over()

    period = partial(_period, parts.members.hosts)
    return SharedReads(clock, read, period, log)


def _period(hosts):
    return max(_PERIOD_SECONDS, (len(hosts) + 1) / _FLEET_READS)
