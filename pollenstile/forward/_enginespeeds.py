"""Connects the exchange of measured engine speeds with a host's parts."""

from functools import partial

from pollenstile.conditions import ConditionSharing


def build_condition_sharing(parts, log):
    """Return the :class:`ConditionSharing` of a host.

    Parameters
    ==========

    parts : HostParts
        Parts of the host.
    log : function
        Writes events.
    """
    relay = parts.relay
    return ConditionSharing(
        parts.hub,
        parts.core.conditions,
        partial(relay.readers.current, relay.follower.skipped.is_skipped),
        lambda: len(relay.readers.order),
        log,
    )


def add_speed_gauges(measures, core):
    """Add gauges of how long work takes at engines."""
    measures.gauges(
        'engine_time_ratio',
        'Measured time to the first token, as a multiple of the expected one.',
        'upstream',
        partial(_time_ratios, core),
    )


def _time_ratios(core):
    """Return the estimated time ratios of the engines that have one."""
    return core.conditions.known_ratios(
        view.incarnation for view in core.registry.views.values()
    )
