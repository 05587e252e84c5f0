"""Verdicts that a host knows; the later of two about one request wins."""

import xxhash

from pollenstile.ops.bounded import drop_oldest

# Seconds for which a verdict is kept: long enough for the caller to give up, or
# for an operator to notice it.
HOLD_SECONDS = 600.0
# Seconds after the end of a verdict for which one crash renews it.
_LAPSED_SECONDS = HOLD_SECONDS
# Verdicts that are kept, and lapsed ones; the oldest is dropped first.
_MAX_VERDICTS = 1024


class Verdicts:
    """Verdicts by fingerprint.

    Parameters
    ==========

    clock : IReactorTime
        Seconds.

    Attributes
    ==========

    lapsed : dict
        Time until which one crash renews a verdict that has expired, by
        fingerprint. Nothing has shown since that it was wrong.
    """

    __slots__ = ('by_fingerprint', 'cached_digest', 'clock', 'lapsed')

    def __init__(self, clock):
        self.clock = clock
        self.by_fingerprint = {}
        self.cached_digest = None
        self.lapsed = {}

    def apply(self, verdict):
        """Apply a verdict; return whether it replaces what is known."""
        known = self.by_fingerprint.get(verdict.fingerprint)
        if verdict.expires_at <= self.clock.seconds():
            return False
        if known is not None and not _replaces(verdict, known):
            return False
        self.cached_digest = None
        # Removed first, so that the new verdict becomes the newest entry.
        self.by_fingerprint.pop(verdict.fingerprint, None)
        self.by_fingerprint[verdict.fingerprint] = verdict
        drop_oldest(self.by_fingerprint, _MAX_VERDICTS)
        return True

    def held_verdict(self, fingerprint):
        """Return the verdict that quarantines a request, or None."""
        known = self.by_fingerprint.get(fingerprint)
        if known is None or not known.is_held:
            return None
        return known if known.expires_at > self.clock.seconds() else None

    def all_held(self):
        """Return the verdicts of all quarantined requests."""
        found = map(self.held_verdict, self.by_fingerprint)
        return [verdict for verdict in found if verdict is not None]

    def held_fingerprints(self):
        """Return the fingerprints in quarantine."""
        return {verdict.fingerprint for verdict in self.all_held()}

    def first_held(self, fingerprints):
        """Return the first fingerprint in quarantine; empty if none is."""
        for fingerprint in fingerprints:
            if self.held_verdict(fingerprint) is not None:
                return fingerprint
        return ''

    def expire(self):
        """Drop expired verdicts; return them."""
        now = self.clock.seconds()
        expired = [
            candidate
            for candidate in self.by_fingerprint.values()
            if candidate.expires_at <= now
        ]
        for verdict in expired:
            self.by_fingerprint.pop(verdict.fingerprint)
            self.cached_digest = None
            if verdict.is_held:
                self._note_lapsed(verdict.fingerprint, now)
        for fingerprint, until in list(self.lapsed.items()):
            if until <= now:
                self.lapsed.pop(fingerprint)
        return expired

    def forget_lapsed(self, fingerprint):
        """Let a lapsed verdict not be renewed; return whether there was one."""
        return self.lapsed.pop(fingerprint, None) is not None

    def _note_lapsed(self, fingerprint, now):
        self.lapsed[fingerprint] = now + _LAPSED_SECONDS
        drop_oldest(self.lapsed, _MAX_VERDICTS)

    def digest(self):
        """Return a checksum that differs when two hosts' verdicts differ."""
        if self.cached_digest is None:
            self.cached_digest = 0
            for verdict in self.by_fingerprint.values():
                text = f'{verdict.fingerprint}/{verdict.is_held}'
                self.cached_digest ^= xxhash.xxh64_intdigest(text.encode())
        return self.cached_digest


def _replaces(verdict, known):
    """Return whether a verdict contradicts a known one and is later.

    Explanation
    ===========

    Several hosts reach the same verdict at nearly the same time. If these
    counted as different, each of them would be forwarded through the fleet.
    """
    contradicts = verdict.is_held != known.is_held
    return contradicts and verdict.changed > known.changed
