"""What hosts do to requests whose upstreams were sound or only stood still."""

from collections import Counter
from dataclasses import dataclass, field
from itertools import combinations

import msgspec

from pollenstile.soak.live._outlast import was_read
from pollenstile.soak.live._servers import (
    CRASHING_PREFIX,
    ENGINES,
    PLAIN,
    STAGES,
)
from pollenstile.soak.live._world import ATTEMPTS

_NEVER = float('inf')
_OK = 200
_UNAVAILABLE = 503
_FAILED_STATUSES = frozenset((502, 504))
# Seconds after a fault until its host or its upstream counts as recovered.
_RECOVERY_SECONDS = 3.0
# Share of its grace from which on a stopping host may break off answers.
_LAST_SHARE = 1 / 6
# Seconds before its deadline from which on a request has no time left.
_TIME_MARGIN_SECONDS = 0.3
# Seconds for which a run may go on beside the one that answers, from when the
# host can reach its upstream.
_MAX_BESIDE_SECONDS = 0.4
# Texts of the faults of an upstream with which it still serves what it has.
_HARMLESS = ('stand still', 'go on', 'leave', 'shed', 'no shed', 'rate', 'no r')
_STREAM_SERVICES = (ENGINES, *STAGES)
_SERVICES = {
    'find': (PLAIN,),
    'book': (PLAIN,),
    'draft': _STREAM_SERVICES,
    'digest': _STREAM_SERVICES,
}


@dataclass(slots=True)
class SoundCounts:
    """Requests whose upstreams stood still, and what became of them.

    Attributes
    ==========

    met : Counter
        Requests during which an upstream of their services stood still, at
        sound hosts, by route.
    lost : Counter
        Requests with time left and sound upstreams by the way in which a host
        lost them: ``'cut off'``, ``'502'`` or ``'504'``.
    refused : Counter
        Requests with time left that were refused with 503 while their services
        only stood still, by the reason that their caller got.
    runs : Counter
        Requests that ran at more upstreams than allowed, ``'too many'``, or at
        two for too long, ``'beside'``.
    lines : list of str
        A line for each lost request and each one with wrong runs.
    """

    met: Counter = field(default_factory=Counter)
    lost: Counter = field(default_factory=Counter)
    refused: Counter = field(default_factory=Counter)
    runs: Counter = field(default_factory=Counter)
    lines: list = field(default_factory=list)


def count_sound(records):
    """Return the :class:`SoundCounts` of a run."""
    counts = SoundCounts()
    runs = records.runs_by_ident()
    upstreams = records.upstreams_by_ident()
    for record in records.requests:
        _count_runs(record, runs.get(record.ident, []), records, counts)
        if record.content.startswith(CRASHING_PREFIX):
            continue
        if record.ended_at and _is_host_sound(record, records):
            reached = _awaited(record, upstreams.get(record.ident, ()), records)
            _count_answer(record, reached, records, counts)
    return counts


def is_undisturbed(record, upstreams, records):
    """Return whether a request had time, a sound host and sound upstreams."""
    return (
        bool(record.ended_at)
        and _has_time(record)
        and _is_host_sound(record, records)
        and are_sound(upstreams, record, records)
    )


def end_of(record):
    """Return what a caller got: whole, cut off, a status or nothing."""
    if record.status == _OK:
        return 'whole' if record.complete else 'cut off'
    return str(record.status) if record.status else 'unanswered'


def host_faults(record, records):
    """Return the faults of a request's host that may have harmed it."""
    since = record.sent_at - _RECOVERY_SECONDS
    return [
        fault
        for fault in records.faults
        if fault.subject == record.host and since < fault.at < record.ended_at
    ]


def are_sound(upstreams, record, records):
    """Return whether upstreams, at most, stood still and went on.

    Parameters
    ==========

    upstreams : iterable of str
        Names of upstreams.
    record : RequestRecord
        Request that they may have been sent.
    """
    if record.ident in records.lost | records.spoilt:
        return False
    if _met_endless(upstreams, record, records):
        return False
    if any(
        silence.upstream in upstreams and silence.ended == _NEVER
        for silence in records.silences
    ):
        return False
    return not any(
        fault.subject in upstreams
        for fault in _upstream_faults(record, records)
    )


def _awaited(record, reached, records):
    """Return the upstreams that a request may have been sent to.

    Explanation
    ===========

    A connection that breaks may take a request with it before anything shows
    which upstream it was for: then it may have been any of the service.
    """
    service = _SERVICES[record.kind][0]
    if any(_service_of(name) == service for name in reached):
        return set(reached)
    others = [
        name for name in records.upstreams if _service_of(name) == service
    ]
    return {*reached, *others}


def _count_answer(record, reached, records, counts):
    """Count a request of a sound host that met a silence or was lost."""
    silences = _silences_of(record, records)
    if silences:
        counts.met[record.kind] += 1
    if not _has_time(record):
        return
    loss = _loss_of(record)
    if loss and _outlasts(record, loss, records):
        return
    if loss and are_sound(reached, record, records):
        counts.lost[loss] += 1
        counts.lines.append(f'{loss} though {_situation(record, reached)}')
    elif silences and _is_refused_while_still(record, records):
        counts.refused[_reason(record)] += 1


def _is_host_sound(record, records):
    """Return whether nothing but a stop during the request struck its host."""
    return all(
        fault.text == 'stop' and fault.at > record.sent_at
        for fault in host_faults(record, records)
    )


def _has_time(record):
    took = record.ended_at - record.sent_at
    return took < record.deadline - _TIME_MARGIN_SECONDS


def _outlasts(record, loss, records):
    """Return whether a host may lose a request at the end of its grace.

    Explanation
    ===========

    It may hand back what has no answer yet, and may break off what has begun
    only when little of its grace is left.
    """
    for stop in records.stops:
        if not was_read(record, stop):
            continue
        left = stop.at + stop.grace - record.ended_at
        return loss != 'cut off' or left < _LAST_SHARE * stop.grace
    return False


def _loss_of(record):
    if record.status == _OK and not record.complete:
        return 'cut off'
    if record.status in _FAILED_STATUSES:
        return str(record.status)
    return ''


def _silences_of(record, records):
    """Return the ended silences of a request's services that it has met."""
    return [
        silence
        for silence in records.silences
        if silence.began < record.ended_at
        and record.sent_at < silence.ended < _NEVER
        and _service_of(silence.upstream) in _SERVICES[record.kind]
    ]


def _service_of(upstream):
    return upstream.rpartition('-')[0]


def _met_endless(upstreams, record, records):
    """Return whether an upstream sent bytes without end to the host."""
    return any(
        time.upstream in upstreams
        and time.began < record.ended_at
        and time.ended > record.sent_at - _RECOVERY_SECONDS
        for time in records.endless
    )


def _upstream_faults(record, records):
    since = record.sent_at - _RECOVERY_SECONDS
    return [
        fault
        for fault in records.faults
        if since < fault.at < record.ended_at
        and not fault.text.startswith(_HARMLESS)
    ]


def _is_refused_while_still(record, records):
    services = _SERVICES[record.kind]
    return record.status == _UNAVAILABLE and not any(
        _service_of(fault.subject) in services
        for fault in _upstream_faults(record, records)
    )


def _situation(record, upstreams):
    names = ' '.join(sorted(upstreams))
    took = record.ended_at - record.sent_at
    reason = '' if record.status == _OK else f', {_reason(record)!r}'
    return (
        f'its upstreams were sound: {record.ident} at {record.host} after '
        f'{took:.2f} s{reason}, reached {names or "none"}'
    )


def _reason(record):
    try:
        document = msgspec.json.decode(record.body)
    except msgspec.DecodeError:
        return record.body[:40].decode('latin-1').strip()
    return str(document.get('reason', document))


def _count_runs(record, runs, records, counts):
    """Count a request that ran too often or at two upstreams for too long."""
    if len(runs) > ATTEMPTS[record.kind]:
        counts.runs['too many'] += 1
        counts.lines.append(
            f'ran at {len(runs)} upstreams, not {ATTEMPTS[record.kind]}: '
            f'{record.ident}'
        )
    names = {run.upstream for run in runs}
    if not (
        record.ended_at
        and _is_host_sound(record, records)
        and are_sound(names, record, records)
    ):
        return
    beside = max(
        (_beside_seconds(pair, records) for pair in combinations(runs, 2)),
        default=0.0,
    )
    if beside > _MAX_BESIDE_SECONDS:
        counts.runs['beside'] += 1
        counts.lines.append(
            f'two runs went on beside each other for {beside:.2f} s: '
            f'{record.ident} at {" ".join(sorted(names))}'
        )


def _beside_seconds(pair, records):
    """Return how long both runs worked on after one of them went on.

    Explanation
    ===========

    The host can end a run only once its upstream does not stand still.
    """
    began = max(run.at for run in pair)
    parts = [part for run in pair for part in run.work if part >= began]
    if not parts:
        return 0.0
    went_on = min(parts)
    return min(
        max(run.work, default=0.0) - _reachable_at(run, went_on, records)
        for run in pair
    )


def _reachable_at(run, since, records):
    ends = [
        silence.ended
        for silence in records.silences
        if silence.upstream == run.upstream
        and silence.began < since + _MAX_BESIDE_SECONDS
    ]
    return max(since, *ends) if ends else since
