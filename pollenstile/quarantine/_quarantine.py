"""What a host knows of requests that crash upstreams, and what follows."""

import time
from dataclasses import replace

from pollenstile.ops.logs import silent_log
from pollenstile.quarantine import events
from pollenstile.quarantine._evidence import Evidence
from pollenstile.quarantine._fingerprint import fingerprint
from pollenstile.quarantine._types import News, Report, Verdict
from pollenstile.quarantine._verdict import LEAST_CRASHES, blamed
from pollenstile.quarantine._verdicts import HOLD_SECONDS, Verdicts
from pollenstile.quarantine._wholeruns import WholeRuns

_MS = 1000
# Why a request in quarantine is refused, for callers and between hosts.
HELD_REASON = 'crashes upstreams'
# Upstreams that may crash under a request before a host leaves it to the caller
# whether it is sent again: a victim seldom meets two.
_MOST_REPEATED = 2


def unix_ms():
    """Return the time of day in milliseconds."""
    return int(time.time() * _MS)


class Quarantine:
    """Requests that are kept from upstreams, and what speaks against others.

    Parameters
    ==========

    clock : IReactorTime
        Seconds.
    host : str
        The own name.
    count_upstreams : function
        Returns how many upstreams a service has.
    log : function
        Writes events.

    Attributes
    ==========

    key : bytes
        Secret of the fleet's hosts; empty while it isn't known, and no request
        has a fingerprint.
    now_ms : function
        Returns Unix milliseconds.
    on_news : function
        Called with :class:`News` that this host has found itself.
    on_verdict : function
        Called with a verdict that this host has reached, or that lifts one.
    on_held : function
        Called with the fingerprint of a request that is held from now on.
    """

    __slots__ = (
        'clock',
        'count_upstreams',
        'evidence',
        'host',
        'key',
        'log',
        'now_ms',
        'on_held',
        'on_news',
        'on_verdict',
        'verdicts',
        'whole_runs',
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
        self.whole_runs = WholeRuns(clock)
        self.on_news = _nobody
        self.on_verdict = _nobody
        self.on_held = _nobody

    def fingerprint(self, *parts):
        """Return a content's fingerprint; empty while there is no key."""
        return fingerprint(self.key, *parts)

    def is_held(self, content):
        """Return whether a request is kept from upstreams, by fingerprint."""
        return self.verdicts.held(content) is not None

    def is_suspect(self, content):
        """Return whether an upstream has crashed under a request."""
        return self.evidence.count(content) > 0

    def may_repeat(self, content):
        """Return whether a host sends a request again by itself."""
        return self.evidence.count(content) < _MOST_REPEATED

    def note_crash(self, incarnation, service, suspects):
        """Take what this host had at a process that has ended."""
        fresh = tuple(
            one
            for one in suspects
            if not self.whole_runs.is_shown(one.fingerprint)
        )
        report = Report(incarnation, service, self.host, fresh)
        self._tell(self.take(News(reports=(report,))))

    def note_completed(self, content):
        """Note that a request ran to its end on some upstream."""
        if not content:
            return
        self.whole_runs.note(content)
        if self.is_suspect(content) or self.is_held(content):
            self._tell(self.take(News(cleared=(content,))))

    def note_answer(self, incarnation, asked_at):
        """Note that a process answered what it was asked at some time."""
        crash = self.evidence.crashes.get(incarnation)
        if crash is not None and asked_at > crash.at:
            self._tell(self.take(News(alive=(incarnation,))))

    def lift(self, content, reason):
        """Let a request go to upstreams again."""
        held = self.verdicts.held(content)
        if held is None:
            return
        changed = max(self.now_ms(), held.changed + 1)
        lifted = replace(held, changed=changed, is_held=False)
        self._take_lifted(lifted, reason)
        self._tell(News(verdicts=(lifted,)))

    def take(self, news):
        """Take what was told; return the part of it that is new here."""
        added = [self.evidence.add(one) for one in news.reports]
        reports = tuple(one for one in added if one is not None)
        fresh = News(
            reports,
            tuple(one for one in news.alive if self._retract(one)),
            tuple(one for one in news.cleared if self._clear(one)),
            tuple(one for one in news.verdicts if self._take_verdict(one)),
        )
        for report in reports:
            self._judge(report)
        return fresh

    def expire(self):
        """Forget what is too old; return the verdicts that have ended."""
        self.evidence.expire()
        ended = self.verdicts.expire()
        for verdict in ended:
            if verdict.is_held:
                _log_lifted(self.log, verdict, 'its time is over')
        return ended

    def _judge(self, report):
        """Hold those of a report's requests that have crashed too many."""
        suspected = [
            one.fingerprint
            for one in report.suspects
            if self.evidence.count(one.fingerprint) >= LEAST_CRASHES
        ]
        if not suspected:
            return
        held = {one.fingerprint for one in self.verdicts.all_held()}
        found = blamed(
            suspected,
            self.evidence.of(report.service),
            self.count_upstreams(report.service),
            self.clock.seconds(),
            held,
        )
        for blame in found:
            self._hold(report.service, blame)

    def _hold(self, service, blame):
        content = blame.suspect.fingerprint
        known = self.verdicts.by_fingerprint.get(content)
        verdict = Verdict(
            content,
            blame.suspect.team,
            service,
            blame.crashes,
            max(self.now_ms(), known.changed + 1 if known else 0),
            is_held=True,
            ends=self.clock.seconds() + HOLD_SECONDS,
        )
        if not self._take_verdict(verdict, chance=blame.chance):
            return
        self._tell(News(verdicts=(verdict,)))
        if self.is_held(content):
            self.on_verdict(verdict)

    def _take_verdict(self, verdict, chance=None):
        """Take a verdict; return whether it is news."""
        if not verdict.is_held:
            return self._take_lifted(verdict, 'another host has lifted it')
        if not self.verdicts.take(verdict):
            return False
        self.log(
            events.REQUEST_QUARANTINED,
            level='warning',
            content=verdict.fingerprint,
            team=verdict.team,
            service=verdict.service,
            crashes=verdict.crashes,
            chance=chance,
            left_ms=int((verdict.ends - self.clock.seconds()) * _MS),
        )
        if self.whole_runs.is_shown(verdict.fingerprint):
            # Those that saw the crashes can't know that it ran to its end here.
            self.lift(verdict.fingerprint, 'it ran to its end here')
        else:
            self.on_held(verdict.fingerprint)
        return True

    def _take_lifted(self, verdict, reason):
        """Take that a request is released; return whether it is news."""
        was_held = self.is_held(verdict.fingerprint)
        if not self.verdicts.take(verdict):
            return False
        self.evidence.clear(verdict.fingerprint)
        if was_held:
            _log_lifted(self.log, verdict, reason)
        self.on_verdict(verdict)
        return True

    def _clear(self, content):
        """Take that a request ran to its end; return whether it mattered."""
        was_suspect = self.evidence.clear(content)
        was_held = self.is_held(content)
        if was_suspect:
            self.log(events.SUSPECT_CLEARED, content=content)
        self.lift(content, 'it ran to its end')
        return was_suspect or was_held

    def _retract(self, incarnation):
        """Take that a process is alive; return whether reports fall by it."""
        fallen = self.evidence.retract(incarnation)
        if not fallen:
            return False
        self.log(events.CRASH_VOID, peer=incarnation, requests=len(fallen))
        for content in fallen:
            if self.evidence.count(content) < LEAST_CRASHES:
                self.lift(content, 'its upstreams have not crashed')
        return True

    def _tell(self, news):
        if not news.is_empty():
            self.on_news(news)


def _log_lifted(log, verdict, reason):
    log(
        events.QUARANTINE_LIFTED,
        content=verdict.fingerprint,
        team=verdict.team,
        service=verdict.service,
        reason=reason,
    )


def _nobody(told):
    """Stand for nobody who is told."""
