"""Quarantine state of a host: crash evidence and the verdicts based on it."""

import time
from dataclasses import replace

from pollenstile.ops.logs import silent_log
from pollenstile.quarantine import events
from pollenstile.quarantine._evidence import Evidence
from pollenstile.quarantine._judgement import explained_by, judge
from pollenstile.quarantine._partproofs import PartProofs
from pollenstile.quarantine._recentevidence import RecentEvidence
from pollenstile.quarantine._types import (
    PartProof,
    QuarantineUpdate,
    Report,
    Verdict,
)
from pollenstile.quarantine._verdict import MIN_CRASHES
from pollenstile.quarantine._verdicts import HOLD_SECONDS, Verdicts

_MS = 1000
# Refusal reason of quarantined requests, for callers and between hosts.
HELD_REASON = 'crashes upstreams'
# A host retries a request by itself only while fewer upstreams than this have
# crashed under it; then retries are up to the caller. A request that does not
# cause crashes rarely meets two.
_MAX_CRASHES_TO_RETRY = 2


def unix_ms():
    """Return the time of day in Unix milliseconds."""
    return int(time.time() * _MS)


class Quarantine:
    """Quarantined requests and prompt parts, and the evidence against others.

    Parameters
    ==========

    clock : IReactorTime
        Seconds.
    host : str
        Name of this host.
    count_upstreams : function
        Returns the number of upstreams of a service.
    log : function
        Writes events.

    Attributes
    ==========

    key : bytes
        Secret shared by the fleet's hosts. While it is empty (unknown),
        requests have no fingerprints.
    now_ms : function
        Returns Unix milliseconds.
    on_update : function
        Called with each :class:`QuarantineUpdate` that originates here.
    on_verdict : function
        Called with each verdict that this host reaches, and with each release.
    on_held : function
        Called with each newly quarantined fingerprint.
    on_ended : function
        Called with the incarnation of each process that a host reports as
        crashed, for the first time.
    completed_runs : RecentEvidence
        Requests that recently ran to completion on some upstream.
    proofs : PartProofs
        Prompt parts on which upstreams have recently answered.
    """

    __slots__ = (
        'clock',
        'completed_runs',
        'count_upstreams',
        'evidence',
        'host',
        'key',
        'log',
        'now_ms',
        'on_ended',
        'on_held',
        'on_update',
        'on_verdict',
        'proofs',
        'verdicts',
    )

    def __init__(self, clock, host, count_upstreams, log=silent_log):
        self.clock = clock
        self.host = host
        self.count_upstreams = count_upstreams
        self.log = log
        self.now_ms = unix_ms
        self.key = b''
        self.evidence = Evidence(clock)
        self.verdicts = Verdicts(clock)
        self.completed_runs = RecentEvidence(clock)
        self.proofs = PartProofs(clock)
        self.on_update = _ignore
        self.on_verdict = _ignore
        self.on_held = _ignore
        self.on_ended = _ignore

    def is_held(self, fingerprint):
        """Return whether a request or a prompt part is in quarantine."""
        return self.verdicts.held_verdict(fingerprint) is not None

    def is_suspect(self, fingerprint):
        """Return whether an upstream has crashed while running a suspect."""
        return self.evidence.crash_count(fingerprint) > 0

    def may_repeat(self, fingerprint):
        """Return whether a host may retry a request without its caller."""
        return self.evidence.crash_count(fingerprint) < _MAX_CRASHES_TO_RETRY

    def note_crash(self, incarnation, service, suspects):
        """Report a crashed process and the requests in flight there."""
        report = Report(incarnation, service, self.host, tuple(suspects))
        self._announce(self.apply(QuarantineUpdate(reports=(report,))))
        # The report is not news if this incarnation was reported before.
        self.on_ended(incarnation)

    def note_completed(self, fingerprint):
        """Record that a request ran to completion on some upstream."""
        if not fingerprint:
            return
        self.completed_runs.add(fingerprint)
        if _is_doubted(self, fingerprint):
            self._announce(
                self.apply(QuarantineUpdate(cleared=(fingerprint,))),
            )

    def note_sound_parts(self, service, parts):
        """Record that an answer of a service on prompt parts goes on."""
        self.proofs.note_working(service)
        proven = []
        for part in parts:
            self.proofs.add(part, service)
            if _is_doubted(self, part):
                proven.append(PartProof(part, service))
        self._announce(self.apply(QuarantineUpdate(proofs=tuple(proven))))

    def note_answer(self, incarnation, sent_at):
        """Record that a process answered a call that was sent at a time."""
        crash = self.evidence.crashes.get(incarnation)
        if crash is not None and sent_at > crash.at:
            self._announce(self.apply(QuarantineUpdate(alive=(incarnation,))))

    def release(self, fingerprint, reason):
        """Release a request from quarantine."""
        held = self.verdicts.held_verdict(fingerprint)
        if held is None:
            return
        changed = max(self.now_ms(), held.changed + 1)
        released = replace(held, changed=changed, is_held=False)
        self._apply_release(released, reason)
        self._announce(QuarantineUpdate(verdicts=(released,)))

    def apply(self, update):
        """Apply an update; return the part of it that is new here."""
        added = [
            self.evidence.add(_without_proven(self, reported))
            for reported in update.reports
        ]
        reports = tuple(part for part in added if part is not None)
        fresh = QuarantineUpdate(
            reports,
            tuple(name for name in update.alive if self._retract(name)),
            tuple(digest for digest in update.cleared if self._clear(digest)),
            tuple(
                verdict
                for verdict in update.verdicts
                if self._apply_verdict(verdict)
            ),
            tuple(proof for proof in update.proofs if self._prove(proof)),
        )
        for report in reports:
            self.on_ended(report.incarnation)
            for attribution in judge(self, report):
                self._hold(report.service, attribution)
        return fresh

    def expire(self):
        """Drop old evidence and verdicts; return the expired verdicts."""
        self.evidence.expire()
        expired = self.verdicts.expire()
        for verdict in expired:
            if verdict.is_held:
                _log_release(self.log, verdict, 'its time is over')
        return expired

    def _hold(self, service, attribution):
        fingerprint = attribution.suspect.fingerprint
        known = self.verdicts.by_fingerprint.get(fingerprint)
        verdict = Verdict(
            fingerprint,
            attribution.suspect.team,
            service,
            attribution.crashes,
            max(self.now_ms(), known.changed + 1 if known else 0),
            is_held=True,
            expires_at=self.clock.seconds() + HOLD_SECONDS,
            is_part=attribution.is_part,
        )
        if not self._apply_verdict(verdict, chance=attribution.chance):
            return
        self._announce(QuarantineUpdate(verdicts=(verdict,)))
        if not self.is_held(fingerprint):
            return
        self.on_verdict(verdict)
        if verdict.is_part:
            for name in explained_by(self, fingerprint):
                self.release(name, 'a prompt part explains its crashes')

    def _apply_verdict(self, verdict, chance=None):
        """Apply a verdict; return whether it is new here."""
        if not verdict.is_held:
            return self._apply_release(verdict, 'another host has lifted it')
        if not self.verdicts.apply(verdict):
            return False
        self.log(
            events.REQUEST_QUARANTINED,
            level='warning',
            content=verdict.fingerprint,
            part=verdict.is_part,
            team=verdict.team,
            service=verdict.service,
            crashes=verdict.crashes,
            chance=chance,
            left_ms=int((verdict.expires_at - self.clock.seconds()) * _MS),
        )
        if _is_disproved(self, verdict):
            # The hosts that saw the crashes can't know of the answers at this
            # host.
            self.release(verdict.fingerprint, 'it was answered here')
        else:
            self.on_held(verdict.fingerprint)
        return True

    def _apply_release(self, verdict, reason):
        """Apply a release; return whether it is new here."""
        was_held = self.is_held(verdict.fingerprint)
        if not self.verdicts.apply(verdict):
            return False
        self.evidence.clear(verdict.fingerprint)
        if was_held:
            _log_release(self.log, verdict, reason)
        self.on_verdict(verdict)
        return True

    def _clear(self, fingerprint):
        """Clear a completed request; return whether that is new here.

        Explanation
        ===========

        A report may arrive after the clearing. If it made the request suspect
        again, hosts would pass both on to each other without end.
        """
        was_known = self.completed_runs.has_recent(fingerprint)
        self.completed_runs.add(fingerprint)
        is_doubt_over = _end_doubt(self, fingerprint, 'it ran to its end')
        return is_doubt_over or not was_known

    def _prove(self, proof):
        """Clear a part on which a service has answered; return if it is new.

        Explanation
        ===========

        An answer of one service doesn't clear crashes of another: its upstreams
        may run other software.
        """
        was_known = self.proofs.has_recent(proof.part, proof.service)
        self.proofs.add(proof.part, proof.service)
        is_doubt_over = _end_doubt(
            self, proof.part, 'an answer on it went on', proof.service
        )
        return is_doubt_over or not was_known

    def _retract(self, incarnation):
        """Void a live process's reports; return whether there were any."""
        suspects = self.evidence.retract(incarnation)
        if not suspects:
            return False
        self.log(events.CRASH_VOIDED, peer=incarnation, requests=len(suspects))
        for fingerprint in suspects:
            if self.evidence.crash_count(fingerprint) < MIN_CRASHES:
                self.release(fingerprint, 'its upstreams have not crashed')
        return True

    def _announce(self, update):
        if not update.is_empty():
            self.on_update(update)


def _is_doubted(quarantine, fingerprint):
    """Return whether it matters to other hosts that something is sound."""
    if quarantine.is_suspect(fingerprint) or quarantine.is_held(fingerprint):
        return True
    return fingerprint in quarantine.verdicts.lapsed


def _end_doubt(quarantine, fingerprint, reason, service=''):
    """Clear what has turned out to be sound; return whether it was doubted.

    Parameters
    ==========

    reason : str
        Why it is released, if it is in quarantine.
    service : str
        The service at which it is sound; empty for all.
    """
    verdicts = quarantine.verdicts
    was_lapsed = verdicts.forget_lapsed(fingerprint)
    was_suspect = quarantine.evidence.clear(fingerprint, service)
    held = verdicts.held_verdict(fingerprint)
    is_lifted = held is not None and service in {'', held.service}
    if was_suspect:
        quarantine.log(events.SUSPECT_CLEARED, content=fingerprint)
    if is_lifted:
        quarantine.release(fingerprint, reason)
    return was_suspect or is_lifted or was_lapsed


def _is_disproved(quarantine, verdict):
    """Return whether this host has seen what a verdict excludes."""
    name = verdict.fingerprint
    if verdict.is_part:
        return quarantine.proofs.has_recent(name, verdict.service)
    return quarantine.completed_runs.has_recent(name)


def _without_proven(quarantine, report):
    """Return a report without what is known not to crash upstreams."""
    suspects = tuple(
        replace(
            suspect,
            parts=quarantine.proofs.unproven(suspect.parts, report.service),
        )
        for suspect in report.suspects
        if not quarantine.completed_runs.has_recent(suspect.fingerprint)
    )
    return replace(report, suspects=suspects)


def _log_release(log, verdict, reason):
    log(
        events.QUARANTINE_LIFTED,
        content=verdict.fingerprint,
        team=verdict.team,
        service=verdict.service,
        reason=reason,
    )


def _ignore(argument):
    """Ignore a notification; the default of the callbacks."""
