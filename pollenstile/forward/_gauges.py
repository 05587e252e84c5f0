"""Gauges and histograms of a forwarding host."""

from collections import Counter
from functools import partial

from pollenstile.forward import events
from pollenstile.forward._enginespeeds import add_speed_gauges
from pollenstile.stagework.events import STAGE_MADE

# Gauges by failure domain, read by the command that drains a domain.
DRAINED_SECONDS = 'drained_seconds'
UNDER_WAY = 'under_way'
# Histograms: event, field with milliseconds, and field used as the label.
TIMES = (
    (events.FORWARD_ENDED.name, 'took_ms', 'service'),
    (events.FORWARD_ENDED.name, 'staged_ms', 'service'),
    (events.FORWARD_ENDED.name, 'first_ms', 'service'),
    (STAGE_MADE.name, 'waited_ms', 'service'),
    (STAGE_MADE.name, 'took_ms', 'service'),
)


def _add_store_gauges(measures, configuration):
    measures.gauge(
        'proof_age_seconds',
        'Seconds since the configuration was verified to be the newest.',
        configuration.age,
    )
    measures.gauges(
        'watch_late_seconds',
        'Seconds by which the latest answer to a watch was late, at least.',
        'kind',
        configuration.revision_times.late_seconds.copy,
    )


def add_gauges(measures, parts, factory):
    """Add gauges of a host's state and load.

    Parameters
    ==========

    measures : Measures
        Receives the gauges.
    parts : HostParts
        Parts of the host.
    factory : CallerFactory
        Counts the requests in flight.
    """
    core = parts.core
    _add_store_gauges(measures, core.configuration)
    measures.gauge(
        'upstreams',
        'Upstreams in the registry.',
        lambda: len(core.registry.upstreams),
    )
    measures.gauges(
        DRAINED_SECONDS,
        'Seconds since this host learned that a failure domain is drained.',
        'domain',
        parts.drained.ages,
    )
    measures.gauges(
        UNDER_WAY,
        'Requests and pieces of this host in flight at upstreams of a domain.',
        'domain',
        partial(_under_way, core.registry, parts.owners.calls),
    )
    measures.gauge(
        'connections_closed',
        'New connections that were closed unread, as this host was overloaded.',
        lambda: factory.gate.closed,
    )
    measures.gauge(
        'quarantined',
        'Requests that are not sent to upstreams because they crash them.',
        lambda: len(core.quarantine.verdicts.all_held()),
    )
    measures.gauges(
        'upstream_rate',
        'Requests a second that a limited upstream accepts from all hosts.',
        'upstream',
        core.rates.stated.limited,
    )
    measures.gauges(
        'rate_sent',
        'Requests of this host to an upstream since it is limited.',
        'upstream',
        core.rates.client.sent,
    )
    measures.gauges(
        'rate_held_back',
        'Requests of this host that had no token of a limited upstream.',
        'upstream',
        core.rates.client.held_back,
    )
    _add_engine_gauges(measures, core)
    _add_permission_gauges(measures, core.permissions)
    _add_silence_gauges(measures, core.silences)
    _add_load_gauges(measures, parts, factory)


def _add_engine_gauges(measures, core):
    """Add gauges of what decides which engine a request goes to."""
    measures.gauges(
        'domain_unreachable_seconds',
        'Seconds since connections to a failure domain time out.',
        'domain',
        core.domains.ages,
    )
    measures.gauges(
        'part_sources_named',
        'Attempts that named an engine to fetch shared prompt parts from.',
        'reason',
        lambda: core.part_sources.named,
    )
    add_speed_gauges(measures, core)


def _add_load_gauges(measures, parts, factory):
    """Add gauges of the host's links, queues and requests."""
    measures.gauge(
        'peers',
        'Peers with an open link.',
        lambda: len(parts.hub.links),
    )
    measures.gauge(
        'stage_waiting',
        'Pieces waiting in the queues of this host.',
        parts.owners.waiting,
    )
    measures.gauges(
        'stage_offered_pieces',
        'Pieces of first steps offered to the graded queues of this host.',
        'urgency',
        parts.owners.offered,
    )
    measures.gauges(
        'stage_admitted_pieces',
        'Pieces of first steps admitted to the graded queues of this host.',
        'urgency',
        parts.owners.admitted,
    )
    measures.gauge(
        'return_promises',
        'Refused callers whose promised return times are open.',
        parts.owners.open_promises,
    )
    measures.gauge(
        'return_promises_kept',
        'Callers that were admitted as they returned at their promised times.',
        parts.owners.kept_promises,
    )
    measures.gauge(
        'in_flight',
        'Requests without a final answer.',
        lambda: factory.in_flight,
    )


def _add_silence_gauges(measures, silences):
    """Add gauges of the attempts whose upstreams fell silent."""
    helps = {
        'silent': 'Attempts whose upstream was silent for the limit.',
        'went_on': 'Silent attempts whose upstream went on.',
        'taken_over': 'Answers that went on at another upstream.',
        'handed_back': 'Requests given up for a silence before any answer.',
        'without_progress': 'Silent attempts whose upstream sent bytes of no answer.',
        'endless': 'Attempts given up, as their bytes were over a bound.',
        'broken_off': 'Begun answers that ended incomplete, for any reason.',
    }
    for name, text in helps.items():
        measures.gauge(
            f'attempts_{name}', text, partial(getattr, silences, name)
        )


def _add_permission_gauges(measures, permissions):
    """Add gauges of the upstreams that want no requests."""
    measures.gauges(
        'upstream_leaving_seconds',
        'Seconds since an upstream has stated that it leaves.',
        'upstream',
        permissions.leaving.ages,
    )
    measures.gauges(
        'upstream_rest_seconds',
        'Seconds for which an upstream still wants no requests of this host.',
        'upstream',
        permissions.rests.remaining,
    )
    measures.gauges(
        'rest_held_back',
        'Requests that waited or were refused as all upstreams rest.',
        'upstream',
        permissions.rests.held_back,
    )


def _under_way(registry, calls):
    """Return the count of requests and pieces in flight in each domain."""
    running = Counter(calls.pieces_in)
    for view in registry.views.values():
        running[view.domain] += view.in_flight
    return running
