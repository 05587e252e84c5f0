"""Crashes that were reported, and which requests were under way in each."""

from dataclasses import dataclass, field

from pollenstile.quarantine._types import Report

# Seconds for which a report speaks against a request.
KEPT_SECONDS = 600.0
# Crashes that are remembered, and suspects of each: two batches.
_MOST_CRASHES = 256
_MOST_SUSPECTS = 128
# Incarnations of which reports were found void.
_MOST_VOID = 256


@dataclass(slots=True)
class Crash:
    """A process that has ended, as all hosts together report it.

    Attributes
    ==========

    at : float
        On the clock: when this host heard of it first.
    suspects : dict
        :class:`Suspect` by fingerprint, each with its longest time.
    hosts : dict
        Hosts that reported a suspect, by fingerprint.
    """

    incarnation: str
    service: str
    at: float
    suspects: dict = field(default_factory=dict)
    hosts: dict = field(default_factory=dict)


class Evidence:
    """Reports of all hosts, put together by incarnation.

    Parameters
    ==========

    clock : IReactorTime
        Seconds.

    Attributes
    ==========

    crashes : dict
        By incarnation, oldest first.
    under : dict
        Incarnations that ended under each request, by fingerprint.
    """

    __slots__ = ('clock', 'crashes', 'under', 'void')

    def __init__(self, clock):
        self.clock = clock
        self.crashes = {}
        self.under = {}
        self.void = {}

    def add(self, report):
        """Take a report; return the part of it that is new, or None."""
        if report.incarnation in self.void:
            return None
        crash = self.crashes.get(report.incarnation)
        is_new = crash is None
        if is_new:
            now = self.clock.seconds()
            crash = Crash(report.incarnation, report.service, now)
            self.crashes[report.incarnation] = crash
        fresh = tuple(
            one for one in report.suspects if self._add(crash, report, one)
        )
        if not (is_new or fresh):
            return None
        self._drop_oldest()
        return Report(report.incarnation, report.service, report.host, fresh)

    def clear(self, fingerprint):
        """Forget what speaks against a request; return whether any did."""
        incarnations = self.under.pop(fingerprint, ())
        for incarnation in incarnations:
            self.crashes[incarnation].suspects.pop(fingerprint)
        return bool(incarnations)

    def retract(self, incarnation):
        """Void the reports of an incarnation; return whose they were."""
        crash = self.crashes.get(incarnation)
        self.void[incarnation] = True
        if len(self.void) > _MOST_VOID:
            self.void.pop(next(iter(self.void)))
        if crash is None:
            return ()
        self._drop(crash)
        return tuple(crash.suspects)

    def count(self, fingerprint):
        """Return how many processes have ended under a request."""
        return len(self.under.get(fingerprint, ()))

    def of(self, service):
        """Return the crashes of a service's upstreams."""
        return [
            crash for crash in self.crashes.values() if crash.service == service
        ]

    def reporters(self, fingerprint):
        """Return the hosts that had a request where a process ended."""
        found = set()
        for incarnation in self.under.get(fingerprint, ()):
            found.update(self.crashes[incarnation].hosts.get(fingerprint, ()))
        return found

    def expire(self):
        """Forget what is too old."""
        oldest = self.clock.seconds() - KEPT_SECONDS
        for crash in list(self.crashes.values()):
            if crash.at < oldest:
                self._drop(crash)

    def _add(self, crash, report, suspect):
        """Add a suspect to a crash; return whether it is new there."""
        known = crash.suspects.get(suspect.fingerprint)
        if known is None and len(crash.suspects) >= _MOST_SUSPECTS:
            return False
        hosts = crash.hosts.setdefault(suspect.fingerprint, set())
        hosts.add(report.host)
        if known is not None and known.run_seconds >= suspect.run_seconds:
            return False
        crash.suspects[suspect.fingerprint] = suspect
        under = self.under.setdefault(suspect.fingerprint, set())
        under.add(crash.incarnation)
        return True

    def _drop_oldest(self):
        if len(self.crashes) > _MOST_CRASHES:
            self._drop(next(iter(self.crashes.values())))

    def _drop(self, crash):
        self.crashes.pop(crash.incarnation)
        for fingerprint in crash.suspects:
            under = self.under[fingerprint]
            under.discard(crash.incarnation)
            if not under:
                self.under.pop(fingerprint)
