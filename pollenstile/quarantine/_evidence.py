"""Crash reports by incarnation, and the requests in flight at each crash."""

from dataclasses import dataclass, field

from pollenstile.quarantine._types import Report

# Seconds for which a report counts as evidence against a request.
KEPT_SECONDS = 600.0
# Crashes that are remembered, and suspects that are remembered of each: as many
# as two batches hold.
_MAX_CRASHES = 256
_MAX_SUSPECTS = 128
# Incarnations that are remembered because reports of them were retracted.
_MAX_RETRACTED = 256


@dataclass(slots=True)
class Crash:
    """A crashed upstream process, merged from the reports of all hosts.

    Attributes
    ==========

    at : float
        Local clock time at which this host received the first report.
    suspects : dict
        :class:`Suspect` by fingerprint, each with its longest run time.
    hosts : dict
        Hosts that reported a suspect, by fingerprint.
    """

    incarnation: str
    service: str
    at: float
    suspects: dict = field(default_factory=dict)
    hosts: dict = field(default_factory=dict)


class Evidence:
    """Crash reports of all hosts, merged by incarnation.

    Parameters
    ==========

    clock : IReactorTime
        Seconds.

    Attributes
    ==========

    crashes : dict
        :class:`Crash` by incarnation, oldest first.
    incarnations : dict
        Incarnations that crashed while running a request, by fingerprint.
    retracted : dict
        Incarnations whose reports were retracted, oldest first.
    """

    __slots__ = ('clock', 'crashes', 'incarnations', 'retracted')

    def __init__(self, clock):
        self.clock = clock
        self.crashes = {}
        self.incarnations = {}
        self.retracted = {}

    def add(self, report):
        """Record a report; return the part of it that is new, or None."""
        if report.incarnation in self.retracted:
            return None
        crash = self.crashes.get(report.incarnation)
        is_new = crash is None
        if is_new:
            now = self.clock.seconds()
            crash = Crash(report.incarnation, report.service, now)
            self.crashes[report.incarnation] = crash
        fresh = tuple(
            suspect
            for suspect in report.suspects
            if self._add_suspect(crash, report, suspect)
        )
        if not (is_new or fresh):
            return None
        self._drop_oldest()
        return Report(report.incarnation, report.service, report.host, fresh)

    def clear(self, fingerprint):
        """Drop the evidence against a request; return whether any existed."""
        incarnations = self.incarnations.pop(fingerprint, ())
        for incarnation in incarnations:
            self.crashes[incarnation].suspects.pop(fingerprint)
        return bool(incarnations)

    def retract(self, incarnation):
        """Retract an incarnation's reports; return its suspects."""
        crash = self.crashes.get(incarnation)
        self.retracted[incarnation] = True
        if len(self.retracted) > _MAX_RETRACTED:
            self.retracted.pop(next(iter(self.retracted)))
        if crash is None:
            return ()
        self._drop(crash)
        return tuple(crash.suspects)

    def crash_count(self, fingerprint):
        """Return the number of processes that crashed running a request."""
        return len(self.incarnations.get(fingerprint, ()))

    def crashes_of(self, service):
        """Return the crashes of a service's upstreams."""
        return [
            crash for crash in self.crashes.values() if crash.service == service
        ]

    def reporters(self, fingerprint):
        """Return the hosts that reported a request as a suspect."""
        reporting = set()
        for incarnation in self.incarnations.get(fingerprint, ()):
            reporting.update(
                self.crashes[incarnation].hosts.get(fingerprint, ())
            )
        return reporting

    def expire(self):
        """Drop crashes older than :data:`KEPT_SECONDS`."""
        oldest = self.clock.seconds() - KEPT_SECONDS
        for crash in list(self.crashes.values()):
            if crash.at < oldest:
                self._drop(crash)

    def _add_suspect(self, crash, report, suspect):
        """Add a suspect to a crash; return whether that changed the crash."""
        known = crash.suspects.get(suspect.fingerprint)
        if known is None and len(crash.suspects) >= _MAX_SUSPECTS:
            return False
        hosts = crash.hosts.setdefault(suspect.fingerprint, set())
        hosts.add(report.host)
        if known is not None and known.run_seconds >= suspect.run_seconds:
            return False
        crash.suspects[suspect.fingerprint] = suspect
        incarnations = self.incarnations.setdefault(suspect.fingerprint, set())
        incarnations.add(crash.incarnation)
        return True

    def _drop_oldest(self):
        if len(self.crashes) > _MAX_CRASHES:
            self._drop(next(iter(self.crashes.values())))

    def _drop(self, crash):
        self.crashes.pop(crash.incarnation)
        for fingerprint in crash.suspects:
            incarnations = self.incarnations[fingerprint]
            incarnations.discard(crash.incarnation)
            if not incarnations:
                self.incarnations.pop(fingerprint)
