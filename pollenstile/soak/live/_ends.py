"""Answers of upstreams that end in unusual ways."""

from collections import defaultdict
from dataclasses import dataclass
from random import Random

from twisted.internet.defer import Deferred

from pollenstile.soak.live._records import EndedAnswer, record_fault
from pollenstile.soak.live._servers import (
    ENGINES,
    Server,
    is_over,
    raw_head,
)

# The only one that is no fault: its connection ends a whole answer.
SOUND = 'sound'
# Its upstream has not read the upload when it ends its answer.
UNREAD = 'unread'
# Share of all sound answers that have neither a length nor chunks.
_SOUND_SHARE = 0.25
# Shares of all answers, while there are faults, that end in one, and of the
# large uploads that are not read.
_FAULT_SHARE = 0.3
_UNREAD_SHARE = 0.25
# Least seconds between two kills in a service.
_KILL_SECONDS = 1.5
# Seconds between two parts of an answer that is no stream.
_PART_SECONDS = 0.03
# Share of the second answers that come late, and the seconds until then.
_LATE_SHARE = 0.5
_LATE_SECONDS = 0.25
# Share of the answers that are cut between two parts, not within one.
_BETWEEN_SHARE = 0.7
_CLOSES = b''
# A line that answers which their connection ends may have or not.
_CLOSE_LINES = (_CLOSES, b'Connection: close\r\n')


def _length_line(body):
    return b'Content-Length: %d\r\n' % len(body)


def _chunk(part):
    return b'%x\r\n%s\r\n' % (len(part), part)


def _chunked(parts):
    return [*(_chunk(part) for part in parts), b'0\r\n\r\n']


@dataclass(slots=True, frozen=True)
class Script:
    """What an upstream sends, and how it ends that.

    Parameters
    ==========

    parts : list of bytes
        What is sent, with a pause after each.
    end : function
        Ends the connection; takes the server and the request.
    late : float
        Seconds of the pause before the last part, if it comes late.
    """

    parts: list
    end: object
    late: float = 0.0


def _close(server, request):
    request.channel.loseConnection()


def _reset(server, request):
    request.transport.abortConnection()


def _kill(server, request):
    _kill_server(server, is_replaced=False)


def _kill_and_replace(server, request):
    """Kill the upstream; another one listens at its port at once."""
    _kill_server(server, is_replaced=True)


def _kill_server(server, *, is_replaced):
    if server.ident in server.world.servers:
        Deferred.fromCoroutine(_kill_and_add(server, is_replaced))


async def _kill_and_add(server, is_replaced):
    world = server.world
    record_fault(world, server.ident, 'killed')
    port = server.proxy.port.getHost().port if is_replaced else 0
    await world.crash_server(server, Server.kill)
    await world.add_server(server.service, server.domain, port)


def _sound(rng, head, parts):
    """Return a whole answer that its connection ends."""
    return Script([b'%s\r\n' % head, *parts], _close)


def _part_ended_by(end):
    """Return how to send a part of an answer without a length."""

    def script(rng, head, parts):
        return Script([b'%s\r\n' % head, *_first_parts(rng, parts)], end)

    return script


def _twice(rng, head, parts):
    """Return an answer that is sent again as a whole."""
    body = b''.join(parts)
    framing = rng.choice(
        (
            (_CLOSES, parts),
            (_length_line(body), parts),
            (b'Transfer-Encoding: chunked\r\n', _chunked(parts)),
        )
    )
    line, framed = framing
    head = b'%s%s\r\n' % (head, line)
    again = b''.join((head, *framed))
    return _script_of(rng, [head, *framed], again)


def _half_twice(rng, head, parts):
    """Return half of an answer of a stated length, and then all of it."""
    body = b''.join(parts)
    head = b'%s%s\r\n' % (head, _length_line(body))
    half = body[: len(body) // 2]
    return _script_of(rng, [head, half], b'%s%s' % (head, body))


def _script_of(rng, parts, again):
    """Return a script whose second answer comes at once, or late."""
    if rng.random() < _LATE_SHARE:
        return Script([*parts, again], _close, _LATE_SECONDS)
    *first, last = parts
    return Script([*first, b'%s%s' % (last, again)], _close)


def _contradiction(rng, head, parts):
    """Return an answer whose chunks don't have the length that it states."""
    sent = rng.choice((parts, _first_parts(rng, parts)))
    stated = _length_line(b''.join(parts))
    if sent is parts:
        stated = _length_line(b''.join(parts)[1:])
    head = b'%s%sTransfer-Encoding: chunked\r\n\r\n' % (head, stated)
    return Script([head, *_chunked(sent)], _close)


# How an answer ends, by name.
SCRIPTS = {
    SOUND: _sound,
    'killed': _part_ended_by(_kill),
    'replaced': _part_ended_by(_kill_and_replace),
    UNREAD: _part_ended_by(_close),
    'reset': _part_ended_by(_reset),
    'twice': _twice,
    'half-twice': _half_twice,
    'contradiction': _contradiction,
}
_KILLS = frozenset(('killed', 'replaced'))
# The faults among them.
ENDS = tuple(name for name in SCRIPTS if name != SOUND)


class Endings:
    """Lets upstreams end answers in unusual ways.

    Explanation
    ===========

    What it draws comes from a generator of its own, so that a seed's other
    faults are those of a run without it.

    Parameters
    ==========

    world : World
        The run.

    Attributes
    ==========

    names : tuple of str
        Those of ``ENDS`` that are played now.
    waiting : list of str
        Those of them that come next.
    next_kills : defaultdict
        Time from which on another upstream may be killed, by service.
    """

    def __init__(self, world):
        self.world = world
        self.rng = Random(f'{world.seed}/ends')
        self.names = ()
        self.waiting = []
        self.next_kills = defaultdict(float)

    def answer(self, server, request, run, parts):
        """Answer a request so if it is to be; return whether it is.

        Parameters
        ==========

        run : RunRecord
            Run of the request.
        parts : list of bytes
            The parts of the body.
        """
        name = self._draw(server.service)
        if not (name and parts):
            return False
        self._begin(server, request, run, parts, name)
        return True

    def leaves_unread(self):
        """Return whether the next upload is not read."""
        return UNREAD in self.names and self.rng.random() < _UNREAD_SHARE

    def answer_unread(self, server, request, run, parts):
        """Answer a request whose body is not read."""
        self._begin(server, request, run, parts, UNREAD)

    def _draw(self, service):
        share = self.rng.random()
        if share < _SOUND_SHARE:
            return SOUND
        if share < _SOUND_SHARE + _FAULT_SHARE:
            return self._next_fault(service)
        return ''

    def _next_fault(self, service):
        """Return each of the names in turn, but no kill soon after another."""
        names = [name for name in self.names if name != UNREAD]
        if not self.waiting:
            self.waiting = self.rng.sample(names, len(names))
        name = self.waiting.pop() if names else ''
        if name not in _KILLS:
            return name
        now = self.world.reactor.seconds()
        if now < self.next_kills[service]:
            return ''
        self.next_kills[service] = now + _KILL_SECONDS
        return name

    def _begin(self, server, request, run, parts, name):
        line = self.rng.choice(_CLOSE_LINES)
        head = b'%s%s' % (raw_head(request), line)
        script = SCRIPTS[name](self.rng, head, parts)
        record = EndedAnswer(
            run.ident, server.ident, name, self.world.reactor.seconds()
        )
        self.world.records.ended_answers.append(record)
        if name != SOUND:
            self.world.records.spoilt.add(run.ident)
        _Writer(server, request, run, script, record).write_next(0)


class _Writer:
    """Sends the parts of a script, and ends the connection."""

    def __init__(self, server, request, run, script, record):
        self.server = server
        self.request = request
        self.run = run
        self.script = script
        self.record = record
        self.pause = _PART_SECONDS
        if server.service == ENGINES:
            self.pause = server.world.lengths.event_gap(run.ident)

    def write_next(self, number):
        """Send a part and go on with the next one after a pause."""
        if is_over(self.request):
            return
        parts = self.script.parts
        if number == len(parts):
            self.script.end(self.server, self.request)
            return
        self.run.work.append(self.server.world.reactor.seconds())
        self.request.channel.write(parts[number])
        self.record.is_sent = number == len(parts) - 1
        self.server.later(
            self._pause_after(number), self.write_next, number + 1
        )

    def _pause_after(self, number):
        """Return the seconds until the next part, or the end."""
        if self.record.kind == UNREAD or not number:
            return 0.0
        if number == len(self.script.parts) - 2 and self.script.late:
            return self.script.late
        return self.pause


def _first_parts(rng, parts):
    """Return parts of a body that are less than all of it."""
    count = rng.randrange(len(parts))
    first = parts[:count]
    if first and rng.random() < _BETWEEN_SHARE:
        return first
    cut = parts[count]
    return [*first, cut[: rng.randrange(1, len(cut))]]
