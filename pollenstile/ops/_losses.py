"""Classifies missed targets and failures from entry hosts' log lines."""

from dataclasses import dataclass, field

# Causes of answers, in the order of the tables; all but the first missed
# the target latency or have none.
ON_TARGET = 'in aim'
LATE_REFUSED_FIRST = 'late: refused first'
LATE_PAUSED = 'late: paused'
LATE_READ = 'late: read late'
NO_TARGET = 'whole, no aim known'
# Events from which the tables are computed.
_FORWARD_ENDED = 'forward-ended'
_STAGE_MADE = 'stage-made'
_STAGE_CALLED = 'stage-called'
_STAGE_REFUSED = 'stage-refused'
_STAGE_ROOM = 'stage-room'
USED_EVENTS = frozenset(
    (_FORWARD_ENDED, _STAGE_MADE, _STAGE_CALLED, _STAGE_REFUSED, _STAGE_ROOM)
)
# Reason that callers are told for all refusals of a queue with many groups.
_BUSY = 'busy'
# Least share of an answer's time that its longest queue wait must take for
# the answer to be attributed to that queue.
_QUEUED_SHARE = 0.25
# Seconds covered by one row of the table by time of day.
_ROW_SECONDS = 2
_BYTES_PER_KB = 1000


@dataclass(slots=True)
class RouteRow:
    """Outcomes of the requests of one route.

    Attributes
    ==========

    causes : dict
        Number of requests by cause: on target, late, refused, failed.
    refusals : list of tuple
        Stage service, estimated wait and time to spare in ms at the refusal,
        pieces ahead in the queue.
    crossed_bytes, unused_results : int
        Bytes read from another failure domain, and results discarded unread.
    """

    name: str
    asked: int = 0
    causes: dict = field(default_factory=dict)
    refusals: list = field(default_factory=list)
    crossed_bytes: int = 0
    unused_results: int = 0


@dataclass(slots=True)
class StageRow:
    """Statistics of the calls of one stage service.

    Attributes
    ==========

    pieces, waiting, free_bytes : list of int
        For each call: pieces in it, pieces queued behind it, and free result
        memory of its upstream in bytes.
    no_room : int
        Pieces refused because an upstream had no free result memory.
    """

    name: str
    pieces: list = field(default_factory=list)
    waiting: list = field(default_factory=list)
    free_bytes: list = field(default_factory=list)
    no_room: int = 0


@dataclass(slots=True)
class Losses:
    """Tables of outcomes by route, stage and time of day.

    Attributes
    ==========

    routes, stages : dict
        Rows by name.
    moments : dict
        Requests asked and requests on target, by second of the day in steps
        of two.
    """

    routes: dict = field(default_factory=dict)
    stages: dict = field(default_factory=dict)
    moments: dict = field(default_factory=dict)


class LossCollector:
    """Collects log lines in any order and computes the tables.

    Attributes
    ==========

    lines : int
        Number of log lines collected so far.
    """

    __slots__ = ('ended', 'lines', 'refused', 'stages', 'waits')

    def __init__(self):
        self.lines = 0
        self.ended = []
        self.waits = {}
        self.refused = {}
        self.stages = {}

    def add_line(self, line):
        """Add one decoded log line."""
        self.lines += 1
        event = line.get('event')
        if event == _FORWARD_ENDED:
            self.ended.append(line)
        elif event == _STAGE_MADE:
            waited = (line.get('waited_ms', 0), line.get('service', ''))
            self.waits.setdefault(line.get('request'), []).append(waited)
        elif event == _STAGE_REFUSED:
            self.refused.setdefault(line.get('request'), line)
        elif event in {_STAGE_CALLED, _STAGE_ROOM}:
            self._add_call(line, event)

    def losses(self):
        """Return the :class:`Losses` of the lines added so far."""
        losses = Losses(stages=self.stages)
        for line in self.ended:
            name = line.get('route', '')
            if not name:
                continue
            row = losses.routes.setdefault(name, RouteRow(name))
            self._count(row, line, losses.moments)
        return losses

    def _count(self, row, line, moments):
        cause = self._cause(line)
        row.asked += 1
        row.causes[cause] = row.causes.get(cause, 0) + 1
        row.crossed_bytes += line.get('crossed', 0)
        row.unused_results += line.get('unused', 0)
        refusal = self.refused.get(line.get('request'))
        if refusal is not None and 'wait_ms' in refusal:
            decided = (refusal['wait_ms'], refusal['due_ms'], refusal['ahead'])
            row.refusals.append((refusal.get('service', ''), *decided))
        second = row_second(line)
        asked, in_aim = moments.get(second, (0, 0))
        moments[second] = (asked + 1, in_aim + (cause == ON_TARGET))

    def _cause(self, line):
        outcome = line.get('outcome', '')
        if outcome == 'refused':
            return f'refused: {self._reason(line)} at {line.get("step", "")}'
        if outcome != 'answered':
            return f'failed: {outcome} {line.get("reason", "")}'.strip()
        if 'aim_ms' not in line:
            return NO_TARGET
        took = line.get('first_ms') or line.get('took_ms', 0)
        if took > line['aim_ms']:
            return self._late_cause(line, took)
        limit = line.get('pause_limit_ms', 0)
        return LATE_PAUSED if 0 < limit < line.get('pause_ms', 0) else ON_TARGET

    def _reason(self, line):
        """Return why a request was refused.

        Explanation
        ===========

        Callers are told ``busy`` for each refusal of a queue that has too many
        groups. The line of the queue's owner says for whose sake.
        """
        reason = line.get('reason', '')
        refusal = self.refused.get(line.get('request'))
        if reason != _BUSY or refusal is None:
            return reason
        return refusal.get('reason', reason)

    def _late_cause(self, line, took):
        if line.get('came_ms', 0) > 0:
            return LATE_REFUSED_FIRST
        waited, service = max(self.waits.get(line.get('request'), [(0, '')]))
        if waited >= _QUEUED_SHARE * took:
            return f'late: queued at {service}'
        return LATE_READ

    def _add_call(self, line, event):
        name = line.get('service', '')
        row = self.stages.setdefault(name, StageRow(name))
        if event == _STAGE_ROOM:
            row.no_room += line.get('refused', 0)
            return
        row.pieces.append(line.get('pieces', 0))
        row.waiting.append(line.get('waiting', 0))
        row.free_bytes.append(line.get('free', 0))


def row_second(line):
    """Return the second of the day of a line, rounded down to the row's start.

    Examples
    ========

    >>> row_second({'timestamp': '2026-01-02T00:01:03.5Z'})
    62
    >>> row_second({})
    0
    """
    clock = line.get('timestamp', '')[11:19].split(':')
    if len(clock) != 3 or not all(part.isdigit() for part in clock):
        return 0
    hours, minutes, seconds = map(int, clock)
    second = (hours * 60 + minutes) * 60 + seconds
    return second - second % _ROW_SECONDS


def losses_document(losses):
    """Return the tables as a document, for JSON output and for ``report``."""
    return {
        'bench': 'losses',
        'routes': [_route_document(row) for row in losses.routes.values()],
        'stages': [_stage_document(row) for row in losses.stages.values()],
        'moments': [
            {'second': second, 'asked': asked, 'in_aim': in_aim}
            for second, (asked, in_aim) in sorted(losses.moments.items())
        ],
    }


def _quantile(numbers, share):
    """Return the quantile of numbers at a share, or 0 without numbers."""
    if not numbers:
        return 0
    return sorted(numbers)[int(share * (len(numbers) - 1))]


def _route_document(row):
    by_number = sorted(row.causes.items(), key=lambda item: -item[1])
    waits = [refusal[1] for refusal in row.refusals]
    spares = [refusal[2] for refusal in row.refusals]
    aheads = [refusal[3] for refusal in row.refusals]
    return {
        'route': row.name,
        'asked': row.asked,
        'causes': dict(by_number),
        'refused_wait_ms': _quantile(waits, 0.5),
        'refused_spare_ms': _quantile(spares, 0.5),
        'refused_ahead': _quantile(aheads, 0.5),
        'crossed_mb': row.crossed_bytes // 1_000_000,
        'unused_results': row.unused_results,
    }


def _stage_document(row):
    return {
        'stage': row.name,
        'calls': len(row.pieces),
        'pieces': sum(row.pieces),
        'pieces_median': _quantile(row.pieces, 0.5),
        'waiting_median': _quantile(row.waiting, 0.5),
        'waiting_p90': _quantile(row.waiting, 0.9),
        'free_kb_p10': _quantile(row.free_bytes, 0.1) // _BYTES_PER_KB,
        'no_room': row.no_room,
    }
