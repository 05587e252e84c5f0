"""What must hold of a live run, from what callers and upstreams saw."""

from collections import Counter

from pollenstile.soak.live._hosts import DRAIN_SECONDS, REVOKE_SECONDS
from pollenstile.soak.live._servers import (
    COLD_RATE,
    COLD_SECONDS,
    ENGINES,
    EVENTS,
    stream_event,
    lookup_body,
)

_OK = 200
_UNAUTHORIZED = 401
# Statuses that promise that a request has not run and never will.
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_NON_IDEMPOTENT_KINDS = frozenset(('book', 'digest'))
# Seconds beyond the deadline within which a host in order gives its answer:
# the machine is shared by a dozen processes, and may be busy with others.
_LATE_TOLERANCE_SECONDS = 3.0
# Seconds from a fault until its host counts as in order again.
_RECOVERY_SECONDS = 3.0
# Seconds after an upstream's leaving within which nothing new reaches it.
_LEAVE_SECONDS = 2.0
_LEAVE_MARGIN_SECONDS = 1.0
# Upstreams that a request may end, seconds until all hosts know, and how often
# it may reach upstreams from then on.
_ALLOWED_CRASHES = 3
_VERDICT_SECONDS = 3.0
_ALLOWED_LATE_RUNS = 3
# Seconds of a request's way to its host, in which its key may have ended.
_DELIVERY_SECONDS = 0.3
# Share of the last, calm requests that must be answered.
_MIN_SERVED_SHARE = 0.9


def find_violations(records):
    """Return a line for each promise that was broken."""
    runs = records.runs_by_ident()
    lines = list(records.broken)
    for record in records.requests:
        own_runs = runs.get(record.ident, [])
        lines.extend(_answer_violations(record))
        lines.extend(_run_violations(record, own_runs, records.revoked_at))
        lines.extend(_time_violations(record, records))
    lines.extend(_leaving_violations(records))
    lines.extend(_drain_violations(records))
    lines.extend(_cold_violations(records))
    lines.extend(_quarantine_violations(records))
    lines.extend(_service_violations(records))
    return lines


def _expected_body(record):
    if record.kind in {'find', 'book'}:
        return lookup_body(record.ident)
    events = [stream_event(record.ident, one) for one in range(1, EVENTS + 1)]
    return b''.join(events)


def _answer_violations(record):
    """A success is the request's own answer and whole; no key is denied."""
    if record.status == _OK and record.complete:
        if record.body != _expected_body(record):
            yield f'wrong answer: {record.ident}: {_summarise_body(record.body)}'
    elif record.status == 404:
        yield f'denied: {record.ident}: 404'


def _summarise_body(body):
    """Return a body in short: of a stream, the events' numbers."""
    numbers = [
        line.partition(b':')[2].strip().decode(errors='replace')
        for line in body.split(b'\n')
        if line.startswith(b'id:')
    ]
    return f'events {" ".join(numbers)}, ends with {body[-40:]!r}'


def _run_violations(record, runs, revoked_at):
    """A refusal has not run, what runs once ran once, and for its own team."""
    if record.status in _NOT_RUN_STATUSES and runs:
        yield f'refused with {record.status} and ran: {record.ident}'
    if record.kind in _NON_IDEMPOTENT_KINDS and len(runs) > 1:
        yield f'ran {len(runs)} times: {record.ident}'
    if any(one.team != f'team of {record.key}' for one in runs):
        yield f'ran for another team: {record.ident}'
    revoked = revoked_at.get(record.key)
    if revoked is None:
        if record.status == _UNAUTHORIZED:
            yield f'denied: {record.ident}: its key is in force'
        return
    if runs and record.sent_at > revoked + REVOKE_SECONDS + _DELIVERY_SECONDS:
        late = record.sent_at - revoked
        yield f'ran with a key {late:.2f} s after its end: {record.ident}'


def _time_violations(record, records):
    """A host in order answers by the deadline, and cuts nobody off."""
    if not record.ended_at:
        return
    faults = [
        fault
        for fault in records.faults
        if fault.subject == record.host
        and record.sent_at - _RECOVERY_SECONDS < fault.at < record.ended_at
    ]
    if any(fault.text != 'stop' for fault in faults):
        return
    took = record.ended_at - record.sent_at
    if took > record.deadline + _LATE_TOLERANCE_SECONDS:
        yield f'no answer after {took:.2f} s: {record.ident} at {record.host}'
    if _is_answered(record) or any(one.at < record.sent_at for one in faults):
        return
    if record.status and _has_upstream_fault(record, records):
        # An upstream broke its stream off; callers must see that it did.
        return
    yield f'cut off without an answer: {record.ident} at {record.host}'


def _is_answered(record):
    return record.complete if record.status == _OK else bool(record.status)


def _has_upstream_fault(record, records):
    since = record.sent_at - _RECOVERY_SECONDS
    return any(
        since < fault.at < record.ended_at and '-' in fault.subject
        for fault in records.faults
    )


def _leaving_violations(records):
    """An upstream that left gets nothing new, once all is in order."""
    for one in records.runs:
        left = records.left_at.get(one.upstream)
        if left is None or left < records.calm_from:
            continue
        if one.at > left + _LEAVE_SECONDS + _LEAVE_MARGIN_SECONDS:
            late = one.at - left
            yield f'reached {one.upstream} {late:.2f} s after it left'


def _drain_violations(records):
    """Upstreams of a drained domain get nothing new, once all is in order."""
    if not records.calm_from:
        return
    for drain in records.drains:
        if drain.began < records.calm_from:
            continue
        latest = drain.began + DRAIN_SECONDS + _LEAVE_MARGIN_SECONDS
        for one in _runs_in_domain(records, drain.domain, latest, drain.ended):
            late = one.at - drain.began
            yield f'reached {one.upstream} {late:.2f} s after its domain drained'


def _runs_in_domain(records, domain, since, until):
    """Return the runs at a domain's upstreams within a time."""
    return [
        one
        for one in records.runs
        if since < one.at < until
        and records.upstreams[one.upstream][0] == domain
    ]


def _quarantine_violations(records):
    """What ends its upstreams is kept from them after the third."""
    for content in sorted({content for _, content in records.crashes}):
        crash_times = [at for at, one in records.crashes if one == content]
        if len(crash_times) < _ALLOWED_CRASHES:
            continue
        late = [
            one
            for one in records.runs
            if one.ident.rpartition('-')[0] == content
            and one.at > crash_times[_ALLOWED_CRASHES - 1] + _VERDICT_SECONDS
        ]
        if len(late) > _ALLOWED_LATE_RUNS:
            yield f'{content} ran {len(late)} times after {len(crash_times)} ends'


def _cold_violations(records):
    """A cold model engine gets no more in a second than it bears."""
    runs = {}
    for one in records.runs:
        _, cold_until = records.upstreams[one.upstream]
        if one.upstream.startswith(ENGINES) and one.at < cold_until:
            runs.setdefault(one.upstream, []).append(one.at)
    for upstream, moments in runs.items():
        if len(moments) > COLD_RATE * COLD_SECONDS:
            yield f'{len(moments)} requests reached {upstream} while cold'


def _service_violations(records):
    """When all faults have ended, callers are served again."""
    if not records.calm_from:
        return
    calm = [
        record
        for record in records.requests
        if record.sent_at > records.calm_from
        and record.ended_at
        and record.key not in records.revoked_at
    ]
    served = [one for one in calm if one.status == _OK and one.complete]
    if not calm or len(served) < _MIN_SERVED_SHARE * len(calm):
        crash_times = Counter(
            (one.kind, one.host, one.status, one.body[:40].decode('latin-1'))
            if one.status != _OK
            else one.kind
            for one in calm
        )
        yield f'calm: {len(served)} of {len(calm)} requests served: {crash_times}'
