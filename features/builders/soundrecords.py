"""Records of one request of a live soak, to test what its checks see."""

from dataclasses import replace
from types import SimpleNamespace

from twisted.internet.task import Clock

from pollenstile.soak.live._overloads import OverloadLog
from pollenstile.soak.live._records import (
    Fault,
    Records,
    RequestRecord,
    RunRecord,
    Silence,
)
from pollenstile.soak.live._servers import COLD_SECONDS

UPSTREAMS = ('engines-1', 'engines-2', 'engines-3')
_SENT_AT = 100.0
_DEADLINE_SECONDS = 5.0
_KEY = 'key-a'
_TEAM = f'team of {_KEY}'
# Subjects and texts of faults, by their names in scenarios.
_EVENTS = {
    'another upstream crashed': (UPSTREAMS[1], 'crash'),
    'a configuration was written': ('configuration', 'configure'),
    'the store was cut off': ('store', 'down'),
}


def records_of(status=200, seconds=2.0, *, complete=False, body=b''):
    """Return records with a request that took some seconds."""
    record = RequestRecord(
        'c1', 'draft', 'h1', _KEY, _SENT_AT, _DEADLINE_SECONDS
    )
    record.status = status
    record.body = body
    record.complete = complete
    record.ended_at = _SENT_AT + seconds
    upstreams = dict.fromkeys(UPSTREAMS, ('here', 0.0))
    return Records(requests=[record], upstreams=upstreams)


def add_run(records, number, began, ended, gap=0.1):
    """Add a run at an upstream, from one second of the request to another."""
    count = round((ended - began) / gap)
    work = [_SENT_AT + began + part * gap for part in range(count + 1)]
    run = RunRecord('c1', UPSTREAMS[number], _SENT_AT + began, _TEAM, work)
    records.runs.append(run)


def add_silence(records, number, began, ended=None):
    """Let an upstream stand still; for good without an end."""
    silence = Silence(UPSTREAMS[number], _SENT_AT + began)
    if ended is not None:
        silence.ended = _SENT_AT + ended
    records.silences.append(silence)


def add_fault(records, subject, text):
    """Let a fault strike a second after the request was sent."""
    records.faults.append(Fault(_SENT_AT + 1.0, subject, text))


def cold_records(count):
    """Return records of requests that reached a cold engine."""
    records = records_of(complete=True)
    records.requests.clear()
    records.upstreams[UPSTREAMS[0]] = ('here', _SENT_AT + COLD_SECONDS)
    for number in range(count):
        at = _SENT_AT + COLD_SECONDS * number / count
        records.runs.append(RunRecord(f'c{number}', UPSTREAMS[0], at))
    return records


def add_earlier(records, event, seconds):
    """Let something happen some seconds before the engine became cold.

    Parameters
    ==========

    event : str
        Key of ``_EVENTS``, or ``'a host became ready'``.
    """
    at = _SENT_AT - seconds
    if event == 'a host became ready':
        records.ready_at.append(at)
        return
    records.faults.append(Fault(at, *_EVENTS[event]))


def cut_off_records(count, *, is_first):
    """Return records of requests without an answer, each after 0.02 s."""
    records = records_of(status=0)
    first = records.requests.pop()
    for number in range(count):
        sent_at = _SENT_AT + number / 10
        request = replace(first, ident=f'c{number}', sent_at=sent_at)
        request.ended_at = sent_at + 0.02
        request.is_first = is_first
        records.requests.append(request)
    return records


def overload(records, began, closed, closed_before=0):
    """Let a host write that it was overloaded for two seconds.

    Parameters
    ==========

    began : float
        Seconds from the first request on.
    closed, closed_before : int
        Connections that it closed in that time, and in one before it.
    """
    clock = Clock()
    clock.advance(_SENT_AT + began - 10.0)
    log = OverloadLog(SimpleNamespace(reactor=clock, records=records), 'h1')
    for count, pause in ((closed_before, 8.0), (closed_before + closed, 0.0)):
        log.note_line({'event': 'overloaded'})
        clock.advance(2.0)
        log.note_line({'event': 'overload-ended', 'closed': count})
        clock.advance(pause)
