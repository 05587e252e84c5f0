"""What a host's measures show besides the counts of its events."""

from collections import Counter
from functools import partial

from pollenstile.forward import events
from pollenstile.stagework.events import STAGE_MADE

# Gauges by failure domain, which the command that drains one reads.
DRAINED_SECONDS = 'drained_seconds'
UNDER_WAY = 'under_way'
# Histograms: event, field with milliseconds, and what tells apart.
TIMES = (
    (events.FORWARD_ENDED.name, 'took_ms', 'service'),
    (events.FORWARD_ENDED.name, 'staged_ms', 'service'),
    (events.FORWARD_ENDED.name, 'first_ms', 'service'),
    (STAGE_MADE.name, 'waited_ms', 'service'),
    (STAGE_MADE.name, 'took_ms', 'service'),
)


def add_gauges(measures, parts, factory):
    """Add gauges of a host's beliefs and of its load.

    Parameters
    ==========

    measures : Measures
        Gets them.
    parts : Parts
        Of the host.
    factory : CallerFactory
        Knows what is in flight.
    """
    core = parts.core
    measures.gauge(
        'proof_age_seconds',
        'Age of the proof that the configuration is the newest.',
        core.configuration.age,
    )
    measures.gauge(
        'upstreams',
        'Upstreams in the registry.',
        lambda: len(core.registry.upstreams),
    )
    measures.gauges(
        DRAINED_SECONDS,
        'Seconds since this host heard that a failure domain is drained.',
        'domain',
        parts.drained.ages,
    )
    measures.gauges(
        UNDER_WAY,
        'Requests and pieces that this host has at upstreams of a domain.',
        'domain',
        partial(_under_way, core.registry, parts.owners.calls),
    )
    measures.gauge(
        'quarantined',
        'Requests that are kept from upstreams, as they crash them.',
        lambda: len(core.quarantine.verdicts.all_held()),
    )
    measures.gauge(
        'peers',
        'Peers with an open link.',
        lambda: len(parts.hub.links),
    )
    measures.gauge(
        'stage_waiting',
        'Pieces that wait in the queues of this host.',
        parts.owners.waiting,
    )
    measures.gauge(
        'in_flight',
        'Requests without a final answer.',
        lambda: factory.in_flight,
    )


def _under_way(registry, calls):
    """Return how much this host has at the upstreams of each domain."""
    running = Counter(calls.pieces_in)
    for view in registry.views.values():
        running[view.domain] += view.in_flight
    return running
