"""Allocation of one upstream's rate to the hosts that want to use it.

Explanation
===========

A token bucket that is filled at the upstream's rate. Hosts get whole tokens in
advance, one for each request, and return those that they do not use. Tokens
that are still out count as filled, so that in any period no more requests are
sent than the rate allows in it, plus the capacity of the bucket.
"""

import math
from dataclasses import dataclass

# Capacity of the bucket: this many tokens, and those of this many seconds.
# Hosts hold tokens for requests that are yet to come, so a bucket of one token
# would leave the upstream idle while one host holds it.
_CAPACITY_TOKENS = 3.0
_CAPACITY_SECONDS = 1.0
# Bounds of the seconds after which a host may ask again, and requests for
# tokens of one upstream that all hosts together make in a second.
_MIN_WAIT_SECONDS = 0.5
_MAX_WAIT_SECONDS = 1.5
_REQUESTS_PER_SECOND = 100.0
# Tokens may be used until the host has asked again: a multiple of its wait, and
# a margin. One that was not returned by then counts as used.
_VALID_WAITS = 1.3
_VALID_MARGIN_SECONDS = 0.2
# Seconds after which no token of any allocator is valid any more.
MAX_VALID_SECONDS = _VALID_WAITS * _MAX_WAIT_SECONDS + _VALID_MARGIN_SECONDS
# Seconds for which a host that has wanted tokens counts as active.
_ACTIVE_SECONDS = 3.0
# Rounding tolerance of the number of whole tokens.
_TOLERANCE = 1e-6


@dataclass(slots=True)
class _Granted:
    """Tokens that a host holds."""

    count: int
    expires_at: float


@dataclass(slots=True)
class _Wanted:
    """What a host wanted when it asked last."""

    count: int
    at: float


class Allocation:
    """Tokens of one upstream, at the host that allocates them.

    Parameters
    ==========

    opens_at : float
        Time on the clock before which no token is given.

    Attributes
    ==========

    level : float
        Tokens that may be given now.
    granted : dict
        Tokens that hosts hold, by host.
    wanted : dict
        Recent wants of hosts, by host.
    """

    __slots__ = ('filled_at', 'granted', 'level', 'opens_at', 'wanted')

    def __init__(self, opens_at):
        self.opens_at = opens_at
        self.filled_at = opens_at
        self.level = 1.0
        self.granted = {}
        self.wanted = {}

    def allocate(self, host, rate, wanted, unused, now):
        """Return the number of tokens that a host gets.

        Parameters
        ==========

        host : str
            The host, whose earlier tokens are over with this request.
        rate : float
            Requests a second that the upstream accepts.
        wanted, unused : int
            Tokens that it could use, and those that it returns.
        now : float
            Seconds on the clock.
        """
        self._fill(rate, now)
        earlier = self.granted.pop(host, None)
        if earlier is not None:
            self.level += min(unused, earlier.count)
        self._note_wanted(host, wanted, now)
        self.level = max(0.0, min(self.level, self._room(rate)))
        if now < self.opens_at or not wanted:
            return 0
        count = min(
            wanted, int(self.level + _TOLERANCE), self._share(host, rate)
        )
        if count:
            self.level -= count
            wait = self.wait_seconds(rate, is_short=count < wanted)
            expires_at = now + valid_seconds(wait)
            self.granted[host] = _Granted(count, expires_at)
        return count

    def wait_seconds(self, rate, *, is_short):
        """Return after how many seconds a host may ask again.

        Parameters
        ==========

        is_short : bool
            Whether the host got fewer tokens than it wanted.
        """
        usual = len(self.wanted) / _REQUESTS_PER_SECOND
        if is_short:
            usual = max(usual, (1 - self.level) / rate)
        return min(_MAX_WAIT_SECONDS, max(_MIN_WAIT_SECONDS, usual))

    def spacing_seconds(self, rate):
        """Return the average seconds between two tokens of one host."""
        return max(1, len(self.wanted)) / rate

    def _fill(self, rate, now):
        for host, granted in list(self.granted.items()):
            if granted.expires_at <= now:
                self.granted.pop(host)
        self.level += rate * max(0.0, now - self.filled_at)
        self.filled_at = max(self.filled_at, now)

    def _room(self, rate):
        """Return the capacity that is not held by hosts."""
        held = sum(granted.count for granted in self.granted.values())
        return capacity(rate) - held

    def _note_wanted(self, host, count, now):
        if count:
            self.wanted[host] = _Wanted(count, now)
        oldest = now - _ACTIVE_SECONDS
        for other, wanted in list(self.wanted.items()):
            if wanted.at < oldest:
                self.wanted.pop(other)

    def _share(self, host, rate):
        """Return a host's part of the capacity by what it wants."""
        total = sum(wanted.count for wanted in self.wanted.values())
        part = capacity(rate) * self.wanted[host].count / total
        return max(1, math.ceil(part))


def valid_seconds(wait):
    """Return for how many seconds a host may use its tokens.

    Parameters
    ==========

    wait : float
        Seconds after which the host may ask again.
    """
    return _VALID_WAITS * wait + _VALID_MARGIN_SECONDS


def capacity(rate):
    """Return the tokens that may be unused at one time.

    Examples
    ========

    >>> from pollenstile.ratelimits import capacity
    >>> capacity(1.0), capacity(40.0)
    (4.0, 43.0)
    """
    return _CAPACITY_TOKENS + _CAPACITY_SECONDS * rate
