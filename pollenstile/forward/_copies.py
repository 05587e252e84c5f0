"""Turns of identical requests that may crash the upstreams that run them.

Explanation
===========

Copies of a request that crashes upstreams would each crash another one if they
were sent before the first crash is known. A request counts as proven once an
upstream has begun to answer it. Until then a host sends one copy at a time, and
all hosts send to the same few upstreams; see
:func:`~pollenstile.forward._selection.candidates_of_unproven`.
"""

from twisted.internet.defer import Deferred, succeed

from pollenstile.quarantine import RecentEvidence


class Copies:
    """Copies of requests that this host sends, by fingerprint.

    Parameters
    ==========

    clock : IReactorTime
        Makes the timers.
    quarantine : Quarantine
        Requests that ran to completion, and those that are suspect.

    Attributes
    ==========

    begun : RecentEvidence
        Requests that an upstream has begun to answer.
    running : dict
        Number of copies that have their turn, by fingerprint.
    waiting : dict
        Deferreds of the copies that wait for theirs, by fingerprint.
    """

    __slots__ = ('begun', 'clock', 'quarantine', 'running', 'waiting')

    def __init__(self, clock, quarantine):
        self.clock = clock
        self.quarantine = quarantine
        self.begun = RecentEvidence(clock)
        self.running = {}
        self.waiting = {}

    def is_proven(self, fingerprint):
        """Return whether a request is known not to crash its upstream.

        Explanation
        ===========

        One without a fingerprint can't be recognised, so it counts as proven.
        """
        if not fingerprint:
            return True
        if self.quarantine.completed_runs.has_recent(fingerprint):
            return True
        if self.quarantine.is_suspect(fingerprint):
            return False
        return self.begun.has_recent(fingerprint)

    def must_wait(self, fingerprint):
        """Return whether another copy has its turn, and nothing is proven."""
        return fingerprint in self.running and not self.is_proven(fingerprint)

    def note_begun(self, fingerprint):
        """Record that an upstream has begun to answer a request."""
        if not fingerprint:
            return
        self.begun.add(fingerprint)
        self._wake(fingerprint)

    def turn(self, fingerprint, seconds):
        """Return a Deferred that fires when a copy may be sent.

        Parameters
        ==========

        fingerprint : str
            The request. Each turn is ended by :meth:`end_turn`.
        seconds : float
            Time after which it may be sent in any case.
        """
        if seconds <= 0 or not self.must_wait(fingerprint):
            self._add(fingerprint)
            return succeed(None)
        woken = Deferred(lambda _: self._remove(fingerprint, woken))
        self.waiting.setdefault(fingerprint, []).append(woken)
        return woken.addTimeout(
            seconds,
            self.clock,
            onTimeoutCancel=lambda *_: self._add(fingerprint),
        )

    def end_turn(self, fingerprint):
        """Record that a copy has been answered, or was not sent."""
        if not fingerprint:
            return
        self.running[fingerprint] -= 1
        if not self.running[fingerprint]:
            self.running.pop(fingerprint)
        self._wake(fingerprint)

    def _wake(self, fingerprint):
        """Let those copies go on that need not wait any longer."""
        while fingerprint in self.waiting and not self.must_wait(fingerprint):
            self._start(fingerprint, self.waiting[fingerprint][0])

    def _start(self, fingerprint, woken):
        self._remove(fingerprint, woken)
        self._add(fingerprint)
        woken.callback(None)

    def _add(self, fingerprint):
        if fingerprint:
            self.running[fingerprint] = self.running.get(fingerprint, 0) + 1

    def _remove(self, fingerprint, woken):
        waiting = self.waiting[fingerprint]
        waiting.remove(woken)
        if not waiting:
            self.waiting.pop(fingerprint)
