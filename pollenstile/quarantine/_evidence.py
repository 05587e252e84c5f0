"""Crash reports by incarnation, and the requests in flight at each crash."""

from dataclasses import dataclass, field

from pollenstile.ops.bounded import drop_oldest
from pollenstile.quarantine._types import Report, Suspect

# Seconds for which a report counts as evidence against a request.
KEPT_SECONDS = 600.0
# Crashes that are remembered, and suspects that are remembered of each: as many
# as two batches hold, and as many parts of their prompts.
_MAX_CRASHES = 256
_MAX_SUSPECTS = 128
_MAX_PARTS = 128
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
        :class:`Suspect` by fingerprint, each with its longest run time. A
        prompt part is a suspect as well as the requests that hold it.
    hosts : dict
        Hosts that reported a suspect, by fingerprint.
    requests : dict
        Fingerprints of the requests that hold a part, by the part's.
    """

    incarnation: str
    service: str
    at: float
    suspects: dict = field(default_factory=dict)
    hosts: dict = field(default_factory=dict)
    requests: dict = field(default_factory=dict)

    def has_room(self, fingerprint, *, is_part):
        """Return whether a suspect is known or can be added."""
        if fingerprint in self.suspects:
            return True
        if is_part:
            return len(self.requests) < _MAX_PARTS
        return len(self.suspects) - len(self.requests) < _MAX_SUSPECTS


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
        Incarnations that crashed while running a suspect, by fingerprint.
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

    def clear(self, fingerprint, service=''):
        """Drop the evidence against a suspect; return whether any existed.

        Parameters
        ==========

        service : str
            Only evidence of this service is dropped; empty for all.
        """
        cleared = [
            self.crashes[incarnation]
            for incarnation in self.incarnations.get(fingerprint, ())
            if service in ('', self.crashes[incarnation].service)
        ]
        for crash in cleared:
            crash.suspects.pop(fingerprint)
            crash.requests.pop(fingerprint, None)
            self._forget(fingerprint, crash.incarnation)
        return bool(cleared)

    def retract(self, incarnation):
        """Retract an incarnation's reports; return its suspects."""
        crash = self.crashes.get(incarnation)
        self.retracted[incarnation] = True
        drop_oldest(self.retracted, _MAX_RETRACTED)
        if crash is None:
            return ()
        self._drop(crash)
        return tuple(crash.suspects)

    def crash_count(self, fingerprint):
        """Return the number of processes that crashed running a suspect."""
        return len(self.incarnations.get(fingerprint, ()))

    def crashes_of(self, service):
        """Return the crashes of a service's upstreams."""
        return [
            crash for crash in self.crashes.values() if crash.service == service
        ]

    def reporters(self, fingerprint):
        """Return the hosts that reported a suspect."""
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
        is_new = self._add_entry(crash, report, suspect, is_part=False)
        for part in suspect.parts:
            entry = Suspect(part, suspect.team, suspect.run_seconds)
            if self._add_entry(crash, report, entry, is_part=True):
                is_new = True
            if part in crash.suspects:
                holders = crash.requests.setdefault(part, set())
                is_new = is_new or suspect.fingerprint not in holders
                holders.add(suspect.fingerprint)
        return is_new

    def _add_entry(self, crash, report, suspect, *, is_part):
        known = crash.suspects.get(suspect.fingerprint)
        if not crash.has_room(suspect.fingerprint, is_part=is_part):
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
            self._forget(fingerprint, crash.incarnation)

    def _forget(self, fingerprint, incarnation):
        incarnations = self.incarnations[fingerprint]
        incarnations.discard(incarnation)
        if not incarnations:
            self.incarnations.pop(fingerprint)
