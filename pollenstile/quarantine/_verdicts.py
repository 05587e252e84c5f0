"""Verdicts that a host knows; of two about one request the later one holds."""

import xxhash

# Seconds for which a verdict is kept: long enough that its caller has given up,
# or an operator has seen it.
HOLD_SECONDS = 600.0
# Verdicts that are kept; the oldest goes first.
_MOST_VERDICTS = 1024


class Verdicts:
    """Verdicts by fingerprint.

    Parameters
    ==========

    clock : IReactorTime
        Seconds.
    """

    __slots__ = ('by_fingerprint', 'clock', 'known_digest')

    def __init__(self, clock):
        self.clock = clock
        self.by_fingerprint = {}
        self.known_digest = None

    def take(self, verdict):
        """Take a verdict; return whether it is newer than what is known."""
        known = self.by_fingerprint.get(verdict.fingerprint)
        if verdict.ends <= self.clock.seconds():
            return False
        if known is not None and not _replaces(verdict, known):
            return False
        self.known_digest = None
        # Taken out first, it stands as the newest one.
        self.by_fingerprint.pop(verdict.fingerprint, None)
        self.by_fingerprint[verdict.fingerprint] = verdict
        if len(self.by_fingerprint) > _MOST_VERDICTS:
            self.by_fingerprint.pop(next(iter(self.by_fingerprint)))
        return True

    def held(self, fingerprint):
        """Return the verdict that holds a request, or None."""
        known = self.by_fingerprint.get(fingerprint)
        if known is None or not known.is_held:
            return None
        return known if known.ends > self.clock.seconds() else None

    def all_held(self):
        """Return the verdicts that hold requests."""
        found = map(self.held, self.by_fingerprint)
        return [one for one in found if one is not None]

    def expire(self):
        """Forget what has ended; return it."""
        now = self.clock.seconds()
        ended = [one for one in self.by_fingerprint.values() if one.ends <= now]
        for verdict in ended:
            self.by_fingerprint.pop(verdict.fingerprint)
            self.known_digest = None
        return ended

    def digest(self):
        """Return a sum that differs when two hosts' verdicts differ."""
        if self.known_digest is None:
            self.known_digest = 0
            for verdict in self.by_fingerprint.values():
                text = f'{verdict.fingerprint}/{verdict.is_held}'
                self.known_digest ^= xxhash.xxh64_intdigest(text.encode())
        return self.known_digest


def _replaces(verdict, known):
    """Return whether a verdict says something else, and later.

    Explanation
    ===========

    Hosts reach the same verdict at nearly the same time. Told apart, each
    would go round the fleet.
    """
    says_else = verdict.is_held != known.is_held
    return says_else and verdict.changed > known.changed
