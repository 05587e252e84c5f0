"""Simulated upstreams that fall over when they turn too many requests away.

Explanation
===========

An upstream runs a number of requests and lets some wait. It turns others away,
and crashes when it has turned more than its limit away within a second. Its
answers state its load, and its limit while it is brittle.
"""

from collections import deque

from pollenstile.standin.crashing import NAMES
from pollenstile.standin.exchanges import Head
from pollenstile.standin.withdrawing import WithdrawingUpstreams

_UNAVAILABLE = 503
_WINDOW_SECONDS = 1.0
_ROOM = 4


class BrittleUpstreams(WithdrawingUpstreams):
    """Upstreams of one service with few places.

    Attributes
    ==========

    room : int
        Requests that may wait at an upstream beside those that it runs.
    limit : int or None
        Requests that it may turn away in a second; None while it is sound.
    falls : list of float
        Times at which an upstream fell over.
    """

    def __init__(self, clock, write, is_crashing, work=0.3):
        super().__init__(clock, write, is_crashing, work)
        self.room = _ROOM
        self.limit = None
        self.falls = []
        self.turned_away = {}

    def refusal(self, process, call):
        """Return the head with which an upstream turns a call away, or None."""
        if len(process.calls) < self.slots + self.room:
            return super().refusal(process, call)
        headers = self.answer_headers(process, call)
        headers[NAMES.not_run] = ['1']
        self._note_turned_away(process)
        return Head(_UNAVAILABLE, headers)

    def answer_headers(self, process, call):
        """Return the headers of an answer, with the upstream's load."""
        headers = super().answer_headers(process, call)
        waiting = len(process.waiting)
        load = process.running, waiting, self.slots
        headers[NAMES.load] = [','.join(map(str, load))]
        if self.limit is not None:
            headers[NAMES.brittle] = [str(self.limit)]
        return headers

    def _note_turned_away(self, process):
        now = self.clock.seconds()
        moments = self.turned_away.setdefault(process.ident, deque())
        moments.append(now)
        while moments[0] <= now - _WINDOW_SECONDS:
            moments.popleft()
        if self.limit is not None and len(moments) > self.limit:
            self.falls.append(now)
            self.crash(process)
