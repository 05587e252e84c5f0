"""Builders of streams whose upstreams stutter, break off and stand still.

Explanation
===========

Each piece names its run, so that the caller's record shows which runs it is
from. All is drawn from a seed, in virtual time.
"""

import subprocess
import sys
from dataclasses import dataclass, field, replace
from random import Random

from features.builders import killedengine
from features.builders.bodyends import answer_through
from features.builders.forward import ForwardScenario
from features.builders.forwardhost import ForwardHost
from pollenstile.forward import BodyEnd, Upstream

_LINE_ENDS = (b'\n', b'\r\n', b'\r')
_ATTEMPTS = 3
_UPSTREAMS = 4
_MOST_EVENTS = 8
# Far beyond the longest silence and all attempts after it.
_DEADLINE_SECONDS = 60.0
_STEP_SECONDS = 0.05
# Pauses of an upstream that stands still, around the limit on silence.
_SILENT_SECONDS = (0.8, 4.5)
_LATEST_HEAD_SECONDS = 0.4
_LATEST_PART_SECONDS = 0.25
_COMMENT_SHARE = 0.2
_UNNUMBERED_SHARE = 0.15
_LAST_EVENT = b'last-event-id'
# Ends of a body of which its host knows that its upstream did not end it.
_BREAKS = (BodyEnd.BROKEN, BodyEnd.EARLY, BodyEnd.UNCONFIRMED)
_WHOLE_ENDS = (BodyEnd.COMPLETE, BodyEnd.CLOSED)
# What an upstream does that can't be told from an upstream that is sound.
HARMLESS = ('sound', 'silent')
# Ways of upstreams that send no event out of its turn.
_IN_ORDER = (*HARMLESS, 'killed', 'ends inside an event')
WAYS = (
    *HARMLESS,
    'killed',
    'ends inside an event',
    'starts again',
    'goes back',
    'ignores the last event',
    'repeats an event',
    'has nothing more',
    'refuses',
    'fails',
)


@dataclass(slots=True)
class Stream:
    """The pieces that a stream has, whichever run they are from.

    Parameters
    ==========

    names : list of str
        ``'3'`` for event 3, and ``'3x'`` for an event without an identifier
        after it.
    line_end : bytes
        Ends the lines.
    digits : int
        Digits of an identifier, filled up with zeros.
    """

    names: list = field(default_factory=list)
    line_end: bytes = b'\n'
    digits: int = 1

    def after(self, number):
        """Return the names of the pieces after an event."""
        if not number:
            return self.names
        return self.names[self.names.index(str(number)) + 1 :]

    def piece(self, run, name):
        """Return the bytes of a piece that a run has made."""
        lines = [b'data: %d/%s' % (run, name.encode()), b'', b'']
        if name.isdigit():
            lines.insert(0, b'id: %s' % name.zfill(self.digits).encode())
        return self.line_end.join(lines)


def drawn_stream(rng):
    """Return a stream of some events."""
    stream = Stream(
        line_end=rng.choice(_LINE_ENDS), digits=rng.choice((1, 1, 3))
    )
    for number in range(1, rng.randint(1, _MOST_EVENTS) + 1):
        stream.names.append(str(number))
        if rng.random() < _UNNUMBERED_SHARE:
            stream.names.append(f'{number}x')
    return stream


class UpstreamRun:
    """One run of a stream at an upstream, drawn from a generator.

    Attributes
    ==========

    way : str
        One of :data:`WAYS`.
    runs : dict
        Event after which each run began, by number of the run. A run that
        begins again within an answer is another one.
    """

    def __init__(self, order, call):
        self.order = order
        self.call = call
        self.rng = order.rng
        self.after = int(call.headers.get(_LAST_EVENT, 0))
        self.way = self.rng.choice(order.ways)
        self.run = order.new_run(self.after)
        self.parts = []
        self.sent = bytearray()
        self.end = self.rng.choice(_WHOLE_ENDS)
        order.story.clock.callLater(
            self.rng.uniform(0, _LATEST_HEAD_SECONDS), self._begin
        )

    def _begin(self):
        if self.call.cancelled:
            return
        if self.way == 'refuses':
            # Its body is not read.
            self.call.answer(503, not_run='1')
            return
        if self.way == 'fails':
            self.call.answer(500)
            self.call.body(b'')
            return
        self.parts = self._drawn_parts()
        self.call.answer()
        self._send_next()

    def _drawn_parts(self):
        """Return what is sent: bytes, and the seconds before each of them."""
        data = self._drawn_bytes()
        parts = []
        most = self.rng.choice((1, 7, 40, 400))
        while data:
            size = self.rng.randint(1, most)
            latest = _LATEST_PART_SECONDS * min(1, size / 20)
            parts.append((self.rng.uniform(0, latest), data[:size]))
            data = data[size:]
        if self.way == 'silent' and parts:
            place = self.rng.randrange(len(parts))
            seconds = self.rng.uniform(*_SILENT_SECONDS)
            parts[place] = (seconds, parts[place][1])
        return parts

    def _drawn_bytes(self):
        rest = self.order.stream.after(self.after)
        make = getattr(self, f'_{self.way.replace(" ", "_")}', self._sound)
        return make(rest)

    def _sound(self, names, run=None):
        return b''.join(self._pieces(names, run))

    def _pieces(self, names, run=None):
        run = self.run if run is None else run
        stream = self.order.stream
        pieces = []
        for name in names:
            if self.rng.random() < _COMMENT_SHARE:
                comment = (b': %d' % run, b'', b'')
                pieces.append(stream.line_end.join(comment))
            pieces.append(stream.piece(run, name))
        return pieces

    def _killed(self, names):
        whole = self._sound(names)
        self.end = self.rng.choice(_BREAKS)
        return whole[: self.rng.randint(0, len(whole))]

    def _ends_inside_an_event(self, names):
        if not names:
            return b''
        pieces = self._pieces(names[: self.rng.randint(1, len(names))])
        last = pieces.pop()
        before = b''.join(pieces)
        # Without the line end that completes the event.
        size = self.rng.randint(
            1, len(last) - 2 * len(self.order.stream.line_end)
        )
        return before + last[:size]

    def _starts_again(self, names):
        first = names[: self.rng.randint(0, len(names))]
        again = self.order.new_run(0)
        return self._sound(first) + self._sound(self.order.stream.names, again)

    def _goes_back(self, names):
        size = self.rng.randint(0, len(names))
        numbers = [name for name in names[:size] if name.isdigit()]
        if not numbers:
            return self._sound(names)
        since = int(self.rng.choice(numbers)) - 1
        again = self.order.new_run(since)
        return self._sound(names[:size]) + self._sound(
            self.order.stream.after(since), again
        )

    def _ignores_the_last_event(self, names):
        self.order.runs[self.run] = 0
        return self._sound(self.order.stream.names)

    def _repeats_an_event(self, names):
        numbers = [name for name in names if name.isdigit()]
        if not numbers:
            return self._sound(names)
        place = names.index(self.rng.choice(numbers))
        repeated = [*names[: place + 1], *names[place:]]
        return self._sound(repeated)

    def _has_nothing_more(self, names):
        if not any(run.shows_more(self.after) for run in self.order.upstreams):
            # Nothing would tell its host that this is wrong.
            return self._sound(names)
        self.end = BodyEnd.COMPLETE
        return b''

    def shows_more(self, number):
        """Return whether it has sent a part of a piece after an event."""
        if self.way not in _IN_ORDER:
            return False
        *events, rest = bytes(self.sent).split(self.order.stream.line_end * 2)
        numbers = [event.count(b'id: ') for event in events]
        return self.after + sum(numbers) == number and _is_content(rest)

    def _send_next(self):
        if self.call.cancelled:
            return
        if not self.parts:
            self.call.cancelled = True
            self.call.on_end(self.end)
            return
        seconds, data = self.parts.pop(0)
        self.order.story.clock.callLater(seconds, self._send, data)

    def _send(self, data):
        if self.call.cancelled:
            return
        self.sent += data
        self.call.on_data(data)
        self._send_next()


class OrderStory:
    """One stream through a host whose upstreams do what is drawn.

    Parameters
    ==========

    seed : int
        Seed of all that is drawn.
    ways : tuple of str
        What its upstreams may do.

    Attributes
    ==========

    runs : dict
        Event after which each run began.
    """

    def __init__(self, seed, ways=WAYS):
        self.rng = Random(f'order/{seed}')
        self.ways = ways
        self.stream = drawn_stream(self.rng)
        self.runs = {}
        self.upstreams = []
        self.story = ForwardScenario(
            'resumable', _ATTEMPTS, _UPSTREAMS, domains='d' * _UPSTREAMS
        )
        self.story.route = replace(self.story.route, timeout=_DEADLINE_SECONDS)
        self.story.change(by_host={'host': (self.story.route,)})

    def new_run(self, after):
        """Return the number of a run that begins after an event."""
        self.runs[len(self.runs)] = after
        return len(self.runs) - 1

    def play(self):
        """Serve the stream to its end."""
        clock = self.story.clock
        self.story.start(_DEADLINE_SECONDS)
        while not self.story.answer.end and clock.seconds() < _DEADLINE_SECONDS:
            for call in self.story.calls[len(self.upstreams) :]:
                self.upstreams.append(UpstreamRun(self, call))
            clock.advance(_STEP_SECONDS)
        return self

    def violations(self):
        """Return what the caller's record breaks, in words."""
        answer = self.story.answer
        if answer.end == 'refused' or answer.status != 200:
            return []
        pieces = _pieces_in(answer.content)
        names = [name for _, name in pieces]
        found = []
        if names != self.stream.names[: len(names)]:
            found.append(f'out of order: {names}')
        if answer.end == 'whole' and len(names) < len(self.stream.names):
            found.append(f'complete before its last piece: {names}')
        return found + self._joined(pieces)

    def _joined(self, pieces):
        found = []
        before, number = None, 0
        for run, name in pieces:
            if run != before and self.runs[run] != number:
                found.append(f'run {run} joined after event {number}')
            before = run
            number = int(name) if name.isdigit() else number
        return found


def killed_stream(after, more):
    """Return what a caller gets of a stream, and whether it was ended as whole.

    Explanation
    ===========

    It is at engines that are processes of their own, and killed one by one.

    Parameters
    ==========

    after : int
        Event after which the caller takes the stream up; 0 for a new one.
    more : int
        Events of each engine at which it goes on.
    """
    command = (sys.executable, killedengine.__file__, '2', f'{more}')
    engines = [
        subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        for _ in range(2)
    ]
    host = ForwardHost(upstreams=0)
    for number, engine in enumerate(engines):
        address = f'127.0.0.1:{int(engine.stdout.readline())}'
        host.factory.core.registry.apply(
            f'i{number}', Upstream(f'i{number}', 'desk', address, 'd')
        )
    extra = b'Last-Event-Id: %d\r\n' % after if after else b''
    got = answer_through(host, 'resumable', b'', extra)
    host.stop()
    for engine in engines:
        engine.kill()
        engine.communicate()
    return got


def _is_content(rest):
    """Return whether the bytes of a piece are more than a comment."""
    return any(line and not line.startswith(b':') for line in rest.splitlines())


def _pieces_in(content):
    """Return run and name of each piece that a caller has received."""
    pieces = []
    for line in content.splitlines():
        if line.startswith(b'data: '):
            run, _, name = line[len(b'data: ') :].decode().partition('/')
            pieces.append((int(run), name))
    return pieces
