"""What must hold of a live run, from what callers and upstreams saw."""

from collections import Counter

from pollenstile.soak.live._hosts import DRAIN_SECONDS, REVOKE_SECONDS
from pollenstile.soak.live._servers import (
    COLD_RATE,
    COLD_SECONDS,
    ENGINES,
    EVENTS,
    event_of,
    plain_body,
)

_OK = 200
_UNAUTHORIZED = 401
# Statuses that promise that a request has not run and never will.
_PROMISES = frozenset((408, 421, 429, 503))
_ONCE = frozenset(('book', 'digest'))
# Seconds beyond the deadline within which a host in order gives its answer:
# the machine is shared by a dozen processes, and may be busy with others.
_SLACK = 3.0
# Seconds from a fault until its host counts as in order again.
_SETTLED = 3.0
# Seconds after an upstream's leaving within which nothing new reaches it.
_LEFT_SECONDS = 2.0
_LEFT_MARGIN = 1.0
# Upstreams that a request may end, seconds until all hosts know, and how often
# it may reach upstreams from then on.
_FREE_ENDS = 3
_KNOWN_SECONDS = 3.0
_LATE_SENDS = 3
# Seconds of a request's way to its host, in which its key may have ended.
_MARGIN = 0.3
# Share of the last, calm requests that must be answered.
_CALM_SHARE = 0.9


def broken_promises(records):
    """Return a line for each promise that was broken."""
    runs = records.runs_by_ident()
    lines = list(records.broken)
    for asked in records.asked:
        mine = runs.get(asked.ident, [])
        lines.extend(_of_answer(asked))
        lines.extend(_of_runs(asked, mine, records.revoked_at))
        lines.extend(_of_time(asked, records))
    lines.extend(_of_leaving(records))
    lines.extend(_of_drains(records))
    lines.extend(_of_cold(records))
    lines.extend(_of_deadly(records))
    lines.extend(_of_calm(records))
    return lines


def _whole_answer(asked):
    if asked.kind in {'find', 'book'}:
        return plain_body(asked.ident)
    events = [event_of(asked.ident, one) for one in range(1, EVENTS + 1)]
    return b''.join(events)


def _of_answer(asked):
    """A success is the request's own answer and whole; no key is denied."""
    if asked.status == _OK and asked.whole:
        if asked.body != _whole_answer(asked):
            yield f'wrong answer: {asked.ident}: {_shown(asked.body)}'
    elif asked.status == 404:
        yield f'denied: {asked.ident}: 404'


def _shown(body):
    """Return a body in short: of a stream, the events' numbers."""
    numbers = [
        line.partition(b':')[2].strip().decode(errors='replace')
        for line in body.split(b'\n')
        if line.startswith(b'id:')
    ]
    return f'events {" ".join(numbers)}, ends with {body[-40:]!r}'


def _of_runs(asked, runs, revoked_at):
    """A refusal has not run, what runs once ran once, and for its own team."""
    if asked.status in _PROMISES and runs:
        yield f'refused with {asked.status} and ran: {asked.ident}'
    if asked.kind in _ONCE and len(runs) > 1:
        yield f'ran {len(runs)} times: {asked.ident}'
    if any(one.team != f'team of {asked.key}' for one in runs):
        yield f'ran for another team: {asked.ident}'
    revoked = revoked_at.get(asked.key)
    if revoked is None:
        if asked.status == _UNAUTHORIZED:
            yield f'denied: {asked.ident}: its key is in force'
        return
    if runs and asked.sent_at > revoked + REVOKE_SECONDS + _MARGIN:
        late = asked.sent_at - revoked
        yield f'ran with a key {late:.2f} s after its end: {asked.ident}'


def _of_time(asked, records):
    """A host in order answers by the deadline, and cuts nobody off."""
    if not asked.ended_at:
        return
    faults = [
        fault
        for fault in records.faults
        if fault.subject == asked.host
        and asked.sent_at - _SETTLED < fault.at < asked.ended_at
    ]
    if any(fault.text != 'stop' for fault in faults):
        return
    took = asked.ended_at - asked.sent_at
    if took > asked.deadline + _SLACK:
        yield f'no answer after {took:.2f} s: {asked.ident} at {asked.host}'
    if _is_answered(asked) or any(one.at < asked.sent_at for one in faults):
        return
    if asked.status and _upstreams_failed(asked, records):
        # An upstream broke its stream off; callers must see that it did.
        return
    yield f'cut off without an answer: {asked.ident} at {asked.host}'


def _is_answered(asked):
    return asked.whole if asked.status == _OK else bool(asked.status)


def _upstreams_failed(asked, records):
    since = asked.sent_at - _SETTLED
    return any(
        since < fault.at < asked.ended_at and '-' in fault.subject
        for fault in records.faults
    )


def _of_leaving(records):
    """An upstream that left gets nothing new, once all is in order."""
    for one in records.ran:
        left = records.left_at.get(one.upstream)
        if left is None or left < records.calm_from:
            continue
        if one.at > left + _LEFT_SECONDS + _LEFT_MARGIN:
            late = one.at - left
            yield f'reached {one.upstream} {late:.2f} s after it left'


def _of_drains(records):
    """Upstreams of a drained domain get nothing new, once all is in order."""
    if not records.calm_from:
        return
    for drain in records.drains:
        if drain.began < records.calm_from:
            continue
        latest = drain.began + DRAIN_SECONDS + _LEFT_MARGIN
        for one in _reached(records, drain.domain, latest, drain.ended):
            late = one.at - drain.began
            yield f'reached {one.upstream} {late:.2f} s after its domain drained'


def _reached(records, domain, since, until):
    """Return the runs at a domain's upstreams within a time."""
    return [
        one
        for one in records.ran
        if since < one.at < until
        and records.upstreams[one.upstream][0] == domain
    ]


def _of_deadly(records):
    """What ends its upstreams is kept from them after the third."""
    for content in sorted({content for _, content in records.ended_by}):
        ends = [at for at, one in records.ended_by if one == content]
        if len(ends) < _FREE_ENDS:
            continue
        late = [
            one
            for one in records.ran
            if one.ident.rpartition('-')[0] == content
            and one.at > ends[_FREE_ENDS - 1] + _KNOWN_SECONDS
        ]
        if len(late) > _LATE_SENDS:
            yield f'{content} ran {len(late)} times after {len(ends)} ends'


def _of_cold(records):
    """A cold model engine gets no more in a second than it bears."""
    runs = {}
    for one in records.ran:
        _, cold_until = records.upstreams[one.upstream]
        if one.upstream.startswith(ENGINES) and one.at < cold_until:
            runs.setdefault(one.upstream, []).append(one.at)
    for upstream, moments in runs.items():
        if len(moments) > COLD_RATE * COLD_SECONDS:
            yield f'{len(moments)} requests reached {upstream} while cold'


def _of_calm(records):
    """When all faults have ended, callers are served again."""
    if not records.calm_from:
        return
    calm = [
        asked
        for asked in records.asked
        if asked.sent_at > records.calm_from
        and asked.ended_at
        and asked.key not in records.revoked_at
    ]
    served = [one for one in calm if one.status == _OK and one.whole]
    if not calm or len(served) < _CALM_SHARE * len(calm):
        ends = Counter(
            (one.kind, one.host, one.status, one.body[:40].decode('latin-1'))
            if one.status != _OK
            else one.kind
            for one in calm
        )
        yield f'calm: {len(served)} of {len(calm)} requests served: {ends}'
