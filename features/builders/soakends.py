"""Records of a live run with stops and endless bytes, to test its checks."""

from features.builders.soundrecords import UPSTREAMS, add_run, records_of
from pollenstile.soak.live._records import (
    EndedAnswer,
    Endless,
    EndlessAnswer,
    HostStop,
    RequestRecord,
    RunRecord,
)
from pollenstile.soak.live._servers import lookup_body

DEADLINE_SECONDS = 5.0
_GRACE_SECONDS = 4.0
_LONG_DEADLINE_SECONDS = 12.0
# Time of the SIGTERM after the request was sent.
_STOPPED_AFTER_SECONDS = 1.0
_STATUSES = {'whole': 200, 'reset': 200, 'cut off': 200}


def stopped_records(end, seconds):
    """Return records of a request that ended some seconds after SIGTERM."""
    records = records_of(
        _status_of(end),
        _STOPPED_AFTER_SECONDS + seconds,
        complete=end == 'whole',
    )
    record = records.requests[0]
    record.deadline = _LONG_DEADLINE_SECONDS
    record.gave_up = end == 'given up'
    at = record.sent_at + _STOPPED_AFTER_SECONDS
    records.stops.append(HostStop(record.host, at, _GRACE_SECONDS))
    add_run(records, 0, 0.0, 0.2)
    return records


def send_after_stop(records, seconds):
    """Let the request be sent some seconds after the SIGTERM."""
    records.requests[0].sent_at = records.stops[0].at + seconds


def endless_records(idents, end, form):
    """Return records of requests that one upstream answered without end."""
    records = records_of()
    sent_at = records.requests[0].sent_at
    records.requests = []
    upstream = UPSTREAMS[0]
    records.endless.append(
        Endless(upstream, form, is_alone=True, began=sent_at - 1)
    )
    for ident in idents:
        record = RequestRecord(
            ident, 'draft', 'h1', 'key-a', sent_at, DEADLINE_SECONDS
        )
        record.status = _status_of(end)
        record.ended_at = sent_at + DEADLINE_SECONDS
        records.requests.append(record)
        _send(records, record, upstream, form)
    return records


def send_elsewhere(records, count):
    """Send the first requests to another upstream as well."""
    for record in records.requests[:count]:
        sent = RunRecord(record.ident, UPSTREAMS[1], record.sent_at + 1)
        records.sent.append(sent)


def ended_records(count):
    """Return records of requests whose sound answers ended with connections."""
    records = records_of()
    sent_at = records.requests[0].sent_at
    records.requests = []
    for number in range(count):
        record = RequestRecord(
            f'c{number}', 'draft', 'h1', 'key-a', sent_at, DEADLINE_SECONDS
        )
        records.requests.append(record)
        end_request(record, 'whole')
        add_ended_answer(records, record, 'sound')
        sent = RunRecord(record.ident, UPSTREAMS[0], sent_at)
        records.sent.append(sent)
    return records


def end_request(record, end):
    """Let a request end in some way within its time."""
    record.status = _status_of(end)
    record.complete = end == 'whole'
    record.ended_at = record.sent_at + _STOPPED_AFTER_SECONDS * 2


def add_ended_answer(records, record, kind):
    """Let a request get an answer that ends in some way."""
    records.ended_answers.append(
        EndedAnswer(
            record.ident, UPSTREAMS[0], kind, record.sent_at, is_sent=True
        )
    )
    if kind != 'sound':
        records.spoilt.add(record.ident)


def lookup_records(answers, *, complete, rest):
    """Return records of a lookup that its upstream answered without end."""
    records = records_of(complete=complete)
    record = records.requests[0]
    record.kind = 'find'
    record.body = lookup_body(record.ident) * answers + rest
    _send(records, record, 'lookup-1', 'lookup')
    return records


def _send(records, record, upstream, form):
    records.sent.append(RunRecord(record.ident, upstream, record.sent_at))
    records.endless_answers.append(
        EndlessAnswer(record.ident, upstream, form, record.sent_at)
    )


def _status_of(end):
    return int(end) if end.isdigit() else _STATUSES.get(end, 0)
