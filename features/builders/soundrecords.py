"""Records of one request of a live soak, to test what its checks see."""

from pollenstile.soak.live._records import (
    Fault,
    Overload,
    Records,
    RequestRecord,
    RunRecord,
    Silence,
)

UPSTREAMS = ('engines-1', 'engines-2', 'engines-3')
_SENT_AT = 100.0
_DEADLINE_SECONDS = 5.0


def records_of(status=200, seconds=2.0, *, complete=False, body=b''):
    """Return records with a request that took some seconds."""
    record = RequestRecord(
        'c1', 'draft', 'h1', 'key-a', _SENT_AT, _DEADLINE_SECONDS
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
    run = RunRecord('c1', UPSTREAMS[number], _SENT_AT + began, 'team', work)
    records.runs.append(run)


def add_silence(records, number, began, ended=None):
    """Let an upstream stand still; for good without an end."""
    silence = Silence(UPSTREAMS[number], _SENT_AT + began)
    if ended is not None:
        silence.ended = _SENT_AT + ended
    records.silences.append(silence)


def add_overload(records, closed, began, ended):
    """Let the host close new connections, as it is overloaded."""
    records.overloads.append(
        Overload('h1', _SENT_AT + began, _SENT_AT + ended, closed)
    )


def add_fault(records, subject, text):
    """Let a fault strike a second after the request was sent."""
    records.faults.append(Fault(_SENT_AT + 1.0, subject, text))
