"""Which requests crash the upstreams that run them, without I/O."""

import math
from dataclasses import dataclass

# Processes that must have ended under a request before it is blamed: with one
# or two, all that ran beside it are as likely.
LEAST_CRASHES = 3
# A request is blamed when chance would bring so many crashes more rarely.
_MOST_CHANCE = 1e-5
# Seconds before and after a crash in which others tell how often upstreams of
# the service crash at that time.
_NEAR_SECONDS = 5.0


@dataclass(slots=True, frozen=True)
class Blame:
    """A request that has crashed upstreams.

    Parameters
    ==========

    suspect : Suspect
        The request, as one of the reports has it.
    crashes : int
        Processes that ended under it.
    chance : float
        How likely that is for one that is not to blame.
    """

    suspect: object
    crashes: int
    chance: float


def blamed(suspected, crashes, upstreams, now, held=()):
    """Return those of some requests that have crashed upstreams of a service.

    Explanation
    ===========

    What crashes an upstream does so as it begins, time after time. What ran
    beside it ran for longer: for that time, and the rate at which upstreams
    crash, some crashes are to be expected. The request whose crashes are least
    to be expected is blamed first. They are explained then, and speak against
    nobody else.

    Parameters
    ==========

    suspected : collection of str
        Fingerprints of those under which another upstream has crashed.
    crashes : list of Crash
        Of one service.
    upstreams : int
        That the service has.
    now : float
        On the clock.
    held : collection of str
        Fingerprints that are blamed already; their crashes are explained.

    Returns
    =======

    list of Blame
    """
    left = [
        crash for crash in crashes if crash.suspects.keys().isdisjoint(held)
    ]
    found = []
    while True:
        first = _first_to_blame(suspected, left, upstreams, now)
        if first is None:
            return found
        found.append(first)
        fingerprint = first.suspect.fingerprint
        left = [crash for crash in left if fingerprint not in crash.suspects]


def _first_to_blame(suspected, crashes, upstreams, now):
    """Return the request that chance explains least, if it is to blame."""
    rate = _rates(crashes, upstreams, now)
    found = []
    for content in suspected:
        own = [crash for crash in crashes if content in crash.suspects]
        if len(own) >= LEAST_CRASHES:
            found.append(_blame(content, own, rate))
    first = min(found, key=lambda one: one.chance, default=None)
    if first is None or first.chance > _MOST_CHANCE:
        return None
    return first


def _rates(crashes, upstreams, now):
    """Return a function of how often each upstream crashes about a moment."""

    def rate(moment):
        near = sum(abs(one.at - moment) <= _NEAR_SECONDS for one in crashes)
        known = _NEAR_SECONDS + min(_NEAR_SECONDS, now - moment)
        return near / (known * max(1, upstreams))

    return rate


def _blame(fingerprint, own, rate):
    # What crashes its upstreams does so as it begins; one that once ran for
    # longer could have been met by chance for as long each time.
    run_seconds = max(crash.suspects[fingerprint].run_seconds for crash in own)
    expected = run_seconds * sum(rate(crash.at) for crash in own)
    suspect = own[-1].suspects[fingerprint]
    return Blame(suspect, len(own), chance_of(len(own), expected))


def chance_of(count, expected):
    """Return how likely so many events or more are (Poisson).

    Examples
    ========

    >>> from pollenstile.quarantine import chance_of
    >>> round(chance_of(1, 0.1), 4)
    0.0952
    >>> chance_of(3, 0.0)
    0.0
    >>> chance_of(3, 30.0) > 0.99
    True
    """
    if expected <= 0:
        return 0.0
    below = 0.0
    term = math.exp(-expected)
    for number in range(count):
        below += term
        term *= expected / (number + 1)
    if 2 * below < 1:
        return 1 - below
    # Summed from above: one less a sum near one would lose all digits.
    above = 0.0
    number = count
    while term > above * 1e-12:
        above += term
        number += 1
        term *= expected / number
    return above
