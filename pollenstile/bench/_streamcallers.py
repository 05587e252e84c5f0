"""Simulated callers that take broken streams up again."""

import re

from pollenstile.standin.exchanges import RecordedAnswer

# Tries of one stream, and the seconds for which its caller waits in all.
_MAX_TRIES = 5
DEADLINE_SECONDS = 12.0
# Seconds after which a caller takes a broken stream up again.
_PAUSE_SECONDS = (0.05, 0.25)
# Seconds between two looks for a host while none serves.
_NO_HOST_SECONDS = 0.3
# Part of the remaining time for which a caller waits if a refusal advises it.
_ADVICE_SHARE = 3
_EVENT = re.compile(rb'id: (\d+)\ndata: (\S+)\n\n')


class TryAnswer(RecordedAnswer):
    """Answer to one try of a stream.

    Parameters
    ==========

    on_end : function
        Called with this answer when it has ended.

    Attributes
    ==========

    work : Deferred or None
        Ends when the host has served the request.
    """

    def __init__(self, on_end):
        super().__init__()
        self.on_end = on_end
        self.work = None

    def write(self, data):
        """Append a part of the body."""
        if not self.gone:
            super().write(data)

    def finish(self):
        """Record a complete answer."""
        super().finish()
        self._report()

    def abort(self):
        """Record a broken connection."""
        super().abort()
        self._report()

    def refuse(self, refusal):
        """Record a refusal by the host itself."""
        super().refuse(refusal)
        self._report()

    def cut_off(self):
        """End the answer as the end of its host does."""
        if self.end:
            return
        self.abort()
        self.work.cancel()

    def events(self):
        """Return number and software version of each received event."""
        return [
            (int(number), software.decode())
            for number, software in _EVENT.findall(self.content)
        ]

    def _report(self):
        if self.gone:
            return
        self.gone = True
        self.on_end(self)


class StreamCaller:
    """A caller of one stream, over all of its tries.

    Parameters
    ==========

    world : VersionWorld
        Sends the tries to hosts.
    ident : str
        Identifier of the first try.
    body : bytes
        Body of each try.

    Attributes
    ==========

    team : str
        Team of the caller.
    origin : str
        The try that brought the first event; empty before it.
    last : int
        Number of the last event.
    tries : int
        Most tries.
    answers : list of TryAnswer
        Answers to its tries.
    """

    __slots__ = (
        'answers',
        'body',
        'ends',
        'ident',
        'last',
        'origin',
        'team',
        'tries',
        'world',
    )

    def __init__(self, world, ident, body):
        self.world = world
        self.ident = ident
        self.body = body
        self.ends = world.now() + DEADLINE_SECONDS
        self.team = 'team'
        self.origin = ''
        self.last = 0
        self.tries = _MAX_TRIES
        self.answers = []

    def send(self):
        """Send the next try to a host, as soon as any host serves."""
        if not self.world.serving_hosts():
            if self.world.now() < self.ends:
                self.world.later(_NO_HOST_SECONDS, self.send)
            return
        ident = f'{self.ident}-{len(self.answers)}'
        answer = self.new_answer()
        self.answers.append(answer)
        self.world.send_try(self, ident, answer)

    def new_answer(self):
        """Return the answer of the next try, before it begins."""
        return TryAnswer(self._on_end)

    def versions(self):
        """Return the software versions of all received events."""
        return {
            software
            for answer in self.answers
            for _, software in answer.events()
        }

    def is_mixed_in_answer(self):
        """Return whether one answer has events of two versions."""
        return any(
            len({software for _, software in answer.events()}) > 1
            for answer in self.answers
        )

    def has_begun(self):
        """Return whether any event was received."""
        return bool(self.origin)

    def was_taken_up(self):
        """Return whether the stream was tried again after an event."""
        begun = [bool(answer.events()) for answer in self.answers]
        return True in begun and begun.index(True) + 1 < len(begun)

    def went_on(self):
        """Return whether a later try brought further events or the end."""
        begun = [
            bool(answer.events()) or answer.end == 'whole'
            for answer in self.answers
        ]
        return begun.count(True) > 1

    def is_in_order(self):
        """Return whether each event up to the last was received once."""
        numbers = [
            number for answer in self.answers for number, _ in answer.events()
        ]
        return numbers == list(range(1, len(numbers) + 1))

    def _on_end(self, answer):
        events = answer.events()
        if events:
            self.last = events[-1][0]
            self.origin = self.origin or (
                f'{self.ident}-{len(self.answers) - 1}'
            )
        if answer.end == 'whole' or len(self.answers) >= self.tries:
            return
        pause = self._pause(answer.refusal)
        if self.world.now() + pause < self.ends:
            self.world.later(pause, self.send)

    def _pause(self, refusal):
        advised = refusal.retry_after if refusal else 0.0
        if advised:
            left = self.ends - self.world.now()
            return min(advised, left / _ADVICE_SHARE)
        return self.world.rng.uniform(*_PAUSE_SECONDS)
