"""Invariants of a live run, checked on the records of callers and upstreams."""

from collections import Counter

from pollenstile.soak.live._hosts import DRAIN_SECONDS, REVOKE_SECONDS
from pollenstile.soak.live._servers import (
    COLD_RATE,
    COLD_SECONDS,
    DEADLY_PART,
    ENGINES,
    EVENTS,
    events_in,
    lookup_body,
    stream_event,
)
from pollenstile.soak.live._sound import host_faults
from pollenstile.standin.limited import (
    CONTACT_SECONDS,
    WINDOW_SECONDS,
    allowed_arrivals,
    most_in_window,
)

_OK = 200
_UNAUTHORIZED = 401
# Statuses which guarantee that a request has not run and will not run.
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_NON_IDEMPOTENT_KINDS = frozenset(('book', 'digest'))
# Seconds beyond the deadline within which a host without faults must answer:
# the machine is shared by a dozen processes and may be busy with others.
_LATE_TOLERANCE_SECONDS = 3.0
# Seconds after which a leaving upstream must get no new requests, and the
# tolerance of the check.
_LEAVE_SECONDS = 2.0
_LEAVE_MARGIN_SECONDS = 1.0
# Upstreams that a request may crash, seconds until all hosts have the
# quarantine verdict, and how often it may reach upstreams from then on.
_ALLOWED_CRASHES = 3
# Upstreams that a prompt part may crash.
_ALLOWED_PART_CRASHES = 5
_VERDICT_SECONDS = 3.0
_ALLOWED_LATE_RUNS = 3
# Seconds of a request's delivery to its host; its key may be revoked meanwhile.
_DELIVERY_SECONDS = 0.3
# Seconds after which an upstream's request for rest counts, and the requests of
# a host that may reach it nevertheless.
_REST_BEGINS_SECONDS = 0.5
_ALLOWED_IN_REST = 2
# Share of the requests after the last fault that must succeed.
_MIN_SERVED_SHARE = 0.9


def find_violations(records):
    """Return a line for each violated invariant."""
    runs = records.runs_by_ident()
    endless = {answer.ident for answer in records.endless_answers}
    lines = list(records.broken)
    closed = _closed_unread(records)
    for record in records.requests:
        own_runs = runs.get(record.ident, [])
        lines.extend(_answer_violations(record, record.ident in endless))
        lines.extend(_run_violations(record, own_runs, records.revoked_at))
        lines.extend(_time_violations(record, records, closed))
        lines.extend(_version_violations(record))
    lines.extend(_leaving_violations(records))
    lines.extend(_drain_violations(records))
    lines.extend(_part_violations(records))
    lines.extend(_cold_violations(records))
    lines.extend(_rate_violations(records))
    lines.extend(_withdrawal_violations(records))
    lines.extend(_quarantine_violations(records))
    lines.extend(_service_violations(records))
    return lines


def _expected_body(record):
    if record.kind in {'find', 'book'}:
        return lookup_body(record.ident)
    received = events_in(record.body)
    software = received[0][1] if received else ''
    events = [
        stream_event(record.ident, number, software)
        for number in range(record.after + 1, EVENTS + 1)
    ]
    return b''.join(events)


def _version_violations(record):
    """Check that a stream has events of one version, over all its tries."""
    events = events_in(record.body)
    if record.resumes is not None:
        events.extend(events_in(record.resumes.body))
    versions = {software for _, software in events}
    if len(versions) > 1:
        yield f'joined versions {sorted(versions)}: {record.ident}'


def _answer_violations(record, is_endless):
    """Check that a success is the request's answer or begins it, and no 404."""
    if record.status == _OK:
        if not _is_own_answer(record, is_endless):
            yield (
                f'wrong answer: {record.ident}, {record.kind} at {record.host}: '
                f'{_summary_of(record.body)}'
            )
    elif record.status == 404:
        yield f'unexpected status: {record.ident}: 404'


def _is_own_answer(record, is_endless):
    expected = _expected_body(record)
    if record.complete:
        return record.body == expected
    if is_endless and record.kind in {'find', 'book'}:
        # What its upstream sent without end begins like its answer.
        return record.body in expected * (len(record.body) // len(expected) + 1)
    if record.kind in {'find', 'book'} or events_in(record.body):
        return expected.startswith(record.body)
    return True


def _summary_of(body):
    """Return a short form of a body: event numbers and the last bytes."""
    numbers = [
        line.partition(b':')[2].strip().decode(errors='replace')
        for line in body.split(b'\n')
        if line.startswith(b'id:')
    ]
    return f'events {" ".join(numbers)}, ends with {body[-40:]!r}'


def _run_violations(record, runs, revoked_at):
    """Check the runs of a request.

    Explanation
    ===========

    A refused request never runs, a non-idempotent one runs at most once, and
    every run belongs to the team of the request's key. Keys work until they
    are revoked and, after the time limit for revocation, no more.
    """
    if record.status in _NOT_RUN_STATUSES and runs:
        yield f'refused with {record.status} and ran: {record.ident}'
    if record.kind in _NON_IDEMPOTENT_KINDS and len(runs) > 1:
        yield f'ran {len(runs)} times: {record.ident}'
    if any(run.team != f'team of {record.key}' for run in runs):
        yield f'ran for another team: {record.ident}'
    revoked = revoked_at.get(record.key)
    if revoked is None:
        if record.status == _UNAUTHORIZED:
            yield f'unexpected status: {record.ident}: 401 with a valid key'
        return
    if runs and record.sent_at > revoked + REVOKE_SECONDS + _DELIVERY_SECONDS:
        late = record.sent_at - revoked
        yield (
            f'ran with a key {late:.2f} s after its revocation: {record.ident}'
        )


def _closed_unread(records):
    """Return the identifiers of requests that overloaded hosts may have closed.

    Explanation
    ===========

    A host that is overloaded closes a share of the new connections, and counts
    them. No more than it counts are its own doing.
    """
    closed = set()
    for overload in records.overloads:
        found = [
            record.ident
            for record in records.requests
            if record.host == overload.host
            and record.is_first
            and not (record.status or record.gave_up)
            and overload.began <= record.ended_at <= overload.ended
        ]
        closed.update(found[: overload.closed])
    return closed


def _time_violations(record, records, closed):
    """Check that a host without faults answers in time and cuts nothing off."""
    if not record.ended_at:
        return
    faults = host_faults(record, records)
    if any(fault.text != 'stop' for fault in faults):
        return
    took = record.ended_at - record.sent_at
    if took > record.deadline + _LATE_TOLERANCE_SECONDS:
        yield f'no answer after {took:.2f} s: {record.ident} at {record.host}'
    if record.status or any(fault.at < record.sent_at for fault in faults):
        # Answers that have begun are checked with their upstreams.
        return
    if record.is_unread or record.ident in closed:
        # No process of the host took the connection, or it closed it unread.
        return
    yield f'cut off without an answer: {record.ident} at {record.host}'


def _leaving_violations(records):
    """Check that, after the last fault, leaving upstreams get no requests."""
    for run in records.runs:
        left = records.left_at.get(run.upstream)
        if left is None or left < records.calm_from:
            continue
        if run.at > left + _LEAVE_SECONDS + _LEAVE_MARGIN_SECONDS:
            late = run.at - left
            yield f'reached {run.upstream} {late:.2f} s after it left'


def _drain_violations(records):
    """Check that, after the last fault, drained domains get no requests."""
    if not records.calm_from:
        return
    for drain in records.drains:
        if drain.began < records.calm_from:
            continue
        latest = drain.began + DRAIN_SECONDS + _LEAVE_MARGIN_SECONDS
        for run in _runs_in_domain(records, drain.domain, latest, drain.ended):
            late = run.at - drain.began
            yield (
                f'reached {run.upstream} {late:.2f} s after its domain drained'
            )


def _runs_in_domain(records, domain, since, until):
    """Return the runs at a domain's upstreams within a time span."""
    return [
        run
        for run in records.runs
        if since < run.at < until
        and records.upstreams[run.upstream][0] == domain
    ]


def _quarantine_violations(records):
    """Check that a request is quarantined after its third upstream crash."""
    for content in sorted({content for _, content in records.crashes}):
        yield from _late_runs(
            records,
            content,
            _ALLOWED_CRASHES,
            lambda name, content=content: name == content,
        )


def _part_violations(records):
    """Check that a part is quarantined after its fifth upstream crash."""
    return _late_runs(
        records,
        DEADLY_PART,
        _ALLOWED_PART_CRASHES,
        lambda name: name.startswith(DEADLY_PART),
    )


def _late_runs(records, subject, allowed, is_of_subject):
    """Yield a line if contents ran on after they crashed upstreams.

    Parameters
    ==========

    subject : str
        What the contents share, for the line.
    allowed : int
        Upstreams that it may crash.
    is_of_subject : function
        Takes a content; returns whether it is one of them.
    """
    crash_times = [
        at for at, content in records.crashes if is_of_subject(content)
    ]
    if len(crash_times) < allowed:
        return
    late = [
        run
        for run in records.runs
        if is_of_subject(run.ident.rpartition('-')[0])
        and run.at > crash_times[allowed - 1] + _VERDICT_SECONDS
    ]
    if len(late) > _ALLOWED_LATE_RUNS:
        yield (
            f'{subject} ran {len(late)} times after {len(crash_times)} crashes'
        )


def _cold_violations(records):
    """Check that a cold engine gets no more requests than its cold rate."""
    runs = {}
    for run in records.runs:
        _, cold_until = records.upstreams[run.upstream]
        if run.upstream.startswith(ENGINES) and run.at < cold_until:
            runs.setdefault(run.upstream, []).append(run.at)
    for upstream, moments in runs.items():
        if len(moments) > COLD_RATE * COLD_SECONDS:
            yield f'{len(moments)} requests reached {upstream} while cold'


def _rate_violations(records):
    """Check that a limited upstream gets no more than its rate allows."""
    for limit in records.rate_limits:
        moments = [
            run.at
            for run in records.runs
            if run.upstream == limit.upstream
            and limit.began + CONTACT_SECONDS <= run.at < limit.ended
        ]
        most = most_in_window(moments)
        if most > allowed_arrivals(limit.rate):
            yield (
                f'{most} requests in {WINDOW_SECONDS} s reached '
                f'{limit.upstream}, which accepts {limit.rate} a second'
            )


def _withdrawal_violations(records):
    """Check that upstreams that want no requests of a host get none.

    Explanation
    ===========

    The host of an answer, and of a request that arrives, is the one that the
    caller sent it to; calls of stage queues can't be assigned to hosts here.
    """
    host_of = {record.ident: record.host for record in records.requests}
    arrivals = {}
    for arrival in records.reached:
        pair = host_of.get(arrival.ident), arrival.upstream
        arrivals.setdefault(pair, []).append(arrival.at)
    for withdrawal in records.withdrawals:
        host = host_of.get(withdrawal.ident)
        if host is None or withdrawal.at < records.quiet_from:
            continue
        moments = arrivals.get((host, withdrawal.upstream), ())
        yield from _late_arrivals(host, withdrawal, moments, records)


def _late_arrivals(host, withdrawal, moments, records):
    """Check the arrivals of a host at an upstream that has answered it."""
    since, allowed, state = _REST_BEGINS_SECONDS, _ALLOWED_IN_REST, 'rests'
    if withdrawal.until == float('inf'):
        since, allowed, state = _LEAVE_SECONDS, 0, 'leaves'
    until = min(withdrawal.until, records.quiet_until)
    late = sum(withdrawal.at + since < moment < until for moment in moments)
    if late > allowed:
        yield (
            f'{late} requests of {host} reached {withdrawal.upstream}, which '
            f'had told it that it {state}'
        )


def _service_violations(records):
    """Check that callers are served again after the last fault."""
    if not records.calm_from:
        return
    requests = [
        record
        for record in records.requests
        if record.sent_at > records.calm_from
        and record.ended_at
        and record.key not in records.revoked_at
    ]
    served = [
        record
        for record in requests
        if record.status == _OK and record.complete
    ]
    if not requests or len(served) < _MIN_SERVED_SHARE * len(requests):
        outcomes = Counter(
            (
                record.kind,
                record.host,
                record.status,
                record.body[:40].decode('latin-1'),
            )
            if record.status != _OK
            else record.kind
            for record in requests
        )
        yield (
            f'after the last fault: {len(served)} of {len(requests)} '
            f'requests served: {outcomes}'
        )
