"""Builders of upstreams whose bytes are no answer and have no end."""

import tracemalloc

from features.builders.forward import ForwardScenario, event_bytes, events_bytes
from pollenstile.forward._sse import EventSplitter

_PART_BYTES = 1024
# Far above any bound on what is read.
_FLOOD_PARTS = 8192
# Events of a sound stream after those of the endless answer.
_LAST_EVENT = 5
_LOOKUP_BODY = b'an answer'


def _one_event(number):
    return b'x' * _PART_BYTES


def _same_event(number):
    return events_bytes(1, 2) * (_PART_BYTES // 50)


def _without_id(number):
    return b'data: %s\n\n' % (b'x' * (_PART_BYTES - 8))


def _comments(number):
    return b': %s\n\n' % (b'x' * (_PART_BYTES - 4))


# Bytes that begin an answer, and the function that returns each further part.
_FORMS = {
    'one event': (200, b'id: 1\ndata: ', _one_event),
    'one event after others': (200, events_bytes(1, 2), _one_event),
    'the same events': (200, events_bytes(1, 2), _same_event),
    'events without an id': (200, b'', _without_id),
    'events without an id after others': (
        200,
        events_bytes(1, 2),
        _without_id,
    ),
    'comments': (200, b'', _comments),
    'comments after events': (200, events_bytes(1, 2), _comments),
    'a failure': (500, b'', _one_event),
    'a whole answer': (200, b'', _one_event),
}
# The same, as bytes of a head.
HEADS = {
    'header lines': b'HTTP/1.1 200 OK\r\n'
    + b'X-A: %s\r\n' % (b'x' * 1000) * 300,
    'interim heads': b'HTTP/1.1 100 Continue\r\n\r\n' * 12000,
}


class EndlessScenario:
    """One request whose first upstream sends bytes that are no answer.

    Parameters
    ==========

    route : str
        A kind of :class:`~features.builders.forward.ForwardScenario`.
    form : str
        What the upstream sends.
    """

    def __init__(self, route, form):
        self.form = form
        self.story = ForwardScenario(route)
        self.story.start()
        self.call = self.story.calls[0]
        status, begin, part = _FORMS[form]
        self.part = part
        self.call.answer(status)
        self._receive(begin)

    def flood(self):
        """Send megabytes at once."""
        for number in range(_FLOOD_PARTS):
            if self.call.cancelled:
                return
            self._receive(self.part(number))

    def drip(self, seconds, rate=10):
        """Send some parts a second."""
        for number in range(int(seconds * rate)):
            self._receive(self.part(number))
            self.story.clock.advance(1 / rate)

    def answer_elsewhere(self):
        """Let the second upstream send what is missing, and end."""
        second = self.story.calls[1]
        second.answer()
        content = self.story.answer.content
        if self.story.route.resumable:
            done = content.count(b'data: piece')
            content = events_bytes(done + 1, _LAST_EVENT)
            second.body(content)
            return
        second.body(_LOOKUP_BODY)

    def is_whole(self):
        """Return whether the caller has the whole answer of an upstream."""
        answer = self.story.answer
        if answer.end != 'whole':
            return False
        if not self.story.route.resumable:
            return answer.content == _LOOKUP_BODY
        pieces = [event_bytes(number) for number in range(1, _LAST_EVENT + 1)]
        return all(answer.content.count(piece) == 1 for piece in pieces)

    def _receive(self, data):
        if data and not self.call.cancelled:
            self.call.on_data(data)


def long_head(count, size):
    """Return an answer with interim heads and a size of header lines."""
    line = b'X-A: %s\r\n' % (b'x' * 93)
    return b''.join(
        (
            b'HTTP/1.1 103 Early Hints\r\n\r\n' * count,
            b'HTTP/1.1 200 OK\r\nX-Attempt: a1\r\nX-Proof: p\r\n',
            line * (size // len(line)),
            b'Content-Length: 4\r\n\r\ndone',
        )
    )


class Splitting:
    """An event that is split from a stream in parts of 1 kB.

    Attributes
    ==========

    sent, returned : bytes
        The event as it was sent, and as it was returned.
    mean_bytes : float
        Memory that the splitter took anew with a part, on average.
    """

    def __init__(self, parts):
        part = b'x' * 1000
        self.sent = b'%s\n\n' % (part * parts)
        splitter = EventSplitter()
        total = 0
        tracemalloc.start()
        for _ in range(parts):
            before, _peak = tracemalloc.get_traced_memory()
            tracemalloc.reset_peak()
            splitter.feed(part)
            total += tracemalloc.get_traced_memory()[1] - before
        tracemalloc.stop()
        self.mean_bytes = total / parts
        self.returned = splitter.feed(b'\n\n')


def long_event_parts(count, size):
    """Return events of a size in kB, each after a comment, in parts of 1 kB."""
    events = [
        b': on\n\nid: %d\ndata: %s\n\n' % (number, b'x' * size * 1000)
        for number in range(1, count + 1)
    ]
    stream = b''.join(events)
    return [
        stream[start : start + 1000] for start in range(0, len(stream), 1000)
    ]
