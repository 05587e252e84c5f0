"""Steps for the log stream and the metrics of log events."""

import json
import os

import structlog
from behave import given, then, when

from pollenstile.forward.events import FORWARD_ENDED
from pollenstile.ops.linestream import LineStream
from pollenstile.ops.logs import silent_log
from pollenstile.ops.measures import Measures

_LONG = 'x' * 300


class _LogPipe:
    """A pipe with a log stream at its writing end."""

    def __init__(self, max_lines_per_second=10000):
        ends = os.pipe()
        self.reading = ends[0]
        self.writing = ends[1]
        os.set_blocking(self.reading, False)
        self.now = 1.0
        self.stream = LineStream(self.writing, self.clock, max_lines_per_second)
        self.logger = structlog.WriteLogger(self.stream)
        self.written = 0

    def clock(self):
        """Return the virtual time in seconds."""
        return self.now

    def write(self, count, text=''):
        """Write numbered lines."""
        for number in range(count):
            line = json.dumps({'event': 'line', 'n': number, 'text': text})
            self.logger.info(line)
            self.written += 1

    def read(self):
        """Return all buffered lines of the pipe."""
        content = b''
        while True:
            try:
                part = os.read(self.reading, 65536)
            except BlockingIOError:
                return content.decode()
            content += part

    def close(self):
        """Close both ends."""
        os.close(self.writing)


@given('a log stream into a pipe that is not read')
def given_unread(context):
    context.pipe = _LogPipe()
    context.add_cleanup(context.pipe.close)


@given('a log stream of at most {count:d} lines a second')
def given_bounded(context, count):
    context.pipe = _LogPipe(count)
    context.add_cleanup(context.pipe.close)


@given('a log stream into a pipe whose reading end is closed')
def given_gone(context):
    given_unread(context)
    os.close(context.pipe.reading)


@when('{count:d} long log lines are written')
def when_long(context, count):
    context.count = count
    context.pipe.write(count, _LONG)


@when('{count:d} log lines are written in one second')
def when_short(context, count):
    context.pipe.write(count)


@when('the pipe is read and {count:d} more log lines are written')
def when_read(context, count):
    context.content = context.pipe.read()
    context.pipe.write(count, _LONG)
    context.content += context.pipe.read()


@then('all log writes return, and most lines are dropped and counted')
def then_dropped(context):
    then_return(context)
    assert context.pipe.stream.dropped > context.count / 2


@then('all log writes return')
def then_return(context):
    assert context.pipe.written == context.count


@then('every log line is complete')
def then_lines_complete(context):
    lines = context.content.splitlines()
    context.lines = [json.loads(line) for line in lines]
    assert len(context.lines) > 10


@then('a log line gives the number of dropped lines')
def then_drops_reported(context):
    notes = [line for line in context.lines if line['event'] == 'lines-dropped']
    assert sum(note['lines'] for note in notes) > context.count / 2, notes


@then('{written:d} log lines were written and {dropped:d} were dropped')
def then_written(context, written, dropped):
    assert len(context.pipe.read().splitlines()) == written
    assert context.pipe.stream.dropped == dropped


@given('metrics over a log that drops all lines')
def given_metrics(context):
    times = ((FORWARD_ENDED.name, 'took_ms', 'service'),)
    context.metrics = Measures(silent_log, times)


@when('a request ends "{outcome}" after {took:d} ms and another is refused')
def when_ends(context, outcome, took):
    write = context.metrics.write
    write(FORWARD_ENDED, service='desk', outcome=outcome, took_ms=took)
    write(FORWARD_ENDED, service='desk', outcome='refused', took_ms=0)


@then(
    'the metrics show {first:d} "{one}", {second:d} "{other}" and one time'
    ' under {seconds:g} s',
)
def then_metrics(context, first, one, second, other, seconds):
    text = context.metrics.text().decode()
    for count, outcome in ((first, one), (second, other)):
        line = f'event="forward-ended",outcome="{outcome}"}} {count}.0'
        assert line in text, text
    name = 'pollenstile_forward_ended_took_seconds_bucket'
    assert f'{name}{{le="{seconds}",service="desk"}} 1.0' in text, text
    assert f'{name}{{le="0.8",service="desk"}} 0.0' in text, text
