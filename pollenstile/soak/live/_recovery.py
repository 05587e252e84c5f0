"""When hosts were ready and callers served after all hosts had ended."""

from dataclasses import dataclass

_OK = 200
# Length of the spans over which shares are taken, and time between two of them.
_SPAN_SECONDS = 1.0
_STEP_SECONDS = 0.25
_QUARTER = 0.25
_NEARLY_ALL = 0.9
# Share of the requests sent after the time of recovery that must be served.
_MIN_SHARE = 0.25


@dataclass(slots=True, frozen=True)
class Recovery:
    """Seconds from one end of all hosts; infinite for what never came.

    Parameters
    ==========

    first, half, last : float
        Until the first host, half of them and all were ready.
    quarter, nearly_all : float
        Until a quarter, and nine in ten, of the requests sent within a second
        were served.
    later_share : float
        Share served of the requests that were sent after the time of recovery.
    """

    first: float
    half: float
    last: float
    quarter: float
    nearly_all: float
    later_share: float


def recoveries(records, hosts, recovery):
    """Return a Recovery for each end of all hosts.

    Parameters
    ==========

    records : Records
        Records of the run.
    hosts : int
        The number of hosts.
    recovery : float
        Seconds from an end until callers must be served.
    """
    ends = [*records.all_ended_at, float('inf')]
    return tuple(
        _recovery(records, hosts, recovery, began, until)
        for began, until in zip(ends, ends[1:], strict=False)
    )


def recovery_violations(found):
    """Return a line for each end after which too few requests were served."""
    return tuple(
        f'served {each.later_share:.2f} of the requests after the recovery'
        for each in found
        if each.later_share < _MIN_SHARE
    )


def _recovery(records, hosts, recovery, began, until):
    ready = sorted(at - began for at in records.ready_at if began < at < until)
    requests = [
        record
        for record in records.requests
        if began <= record.sent_at < until and record.ended_at
    ]
    later = [
        record for record in requests if record.sent_at >= began + recovery
    ]
    return Recovery(
        _nth(ready, 0),
        _nth(ready, hosts // 2),
        _nth(ready, hosts - 1),
        _first_share(requests, began, _QUARTER),
        _first_share(requests, began, _NEARLY_ALL),
        _served_share(later),
    )


def _nth(times, place):
    return times[place] if place < len(times) else float('inf')


def _first_share(requests, began, share):
    """Return the seconds until the start of the first span with a share."""
    last = max((record.sent_at for record in requests), default=began)
    since = began
    while since < last:
        span = [
            record
            for record in requests
            if since <= record.sent_at < since + _SPAN_SECONDS
        ]
        if span and _served_share(span) >= share:
            return since - began
        since += _STEP_SECONDS
    return float('inf')


def _served_share(requests):
    if not requests:
        return 0.0
    served = [
        record
        for record in requests
        if record.status == _OK and record.complete
    ]
    return len(served) / len(requests)
