"""Attribution of upstream crashes to the requests that caused them."""

import math
from dataclasses import dataclass

# Processes that must have crashed while running a request before crashes are
# attributed to it. With one or two, every request that ran beside it is as
# likely a cause.
MIN_CRASHES = 3
# Maximum probability that a request which causes no crashes meets so many of
# them by chance. Above it, crashes are not attributed to a request.
_MAX_CHANCE = 1e-5
# Seconds before and after a crash over which the crash rate of the service's
# upstreams is measured.
_RATE_WINDOW_SECONDS = 5.0


@dataclass(slots=True, frozen=True)
class Attribution:
    """A request that has crashed upstreams.

    Parameters
    ==========

    suspect : Suspect
        The request, as one of the reports gives it.
    crashes : int
        Number of processes that crashed while running it.
    chance : float
        Probability of so many crashes for a request that does not cause any.
    """

    suspect: object
    crashes: int
    chance: float


def attribute_crashes(suspected, crashes, upstreams, now, held=()):
    """Return the requests that have crashed upstreams of a service.

    Explanation
    ===========

    A request that crashes upstreams does so soon after its start, each time.
    Requests that run beside it have run for longer; their run times and the
    crash rate of the upstreams give the number of crashes to expect by chance.
    Crashes are first attributed to the request for which they are least
    probable. They are then explained, and no longer count as evidence against
    other requests.

    Parameters
    ==========

    suspected : collection of str
        Fingerprints of requests with a newly reported crash.
    crashes : list of Crash
        Crashes of one service.
    upstreams : int
        Number of upstreams of the service.
    now : float
        Local clock time.
    held : collection of str
        Fingerprints in quarantine already; their crashes are explained.

    Returns
    =======

    list of Attribution
    """
    unexplained = [
        crash for crash in crashes if crash.suspects.keys().isdisjoint(held)
    ]
    attributions = []
    while True:
        attribution = _least_probable(suspected, unexplained, upstreams, now)
        if attribution is None:
            return attributions
        attributions.append(attribution)
        fingerprint = attribution.suspect.fingerprint
        unexplained = [
            crash for crash in unexplained if fingerprint not in crash.suspects
        ]


def _least_probable(suspected, crashes, upstreams, now):
    """Return the least probable attribution, or None if chance explains it."""
    rate = _crash_rate(crashes, upstreams, now)
    attributions = []
    for fingerprint in suspected:
        own = [crash for crash in crashes if fingerprint in crash.suspects]
        if len(own) >= MIN_CRASHES:
            attributions.append(_attribution(fingerprint, own, rate))
    least = min(
        attributions, key=lambda candidate: candidate.chance, default=None
    )
    if least is None or least.chance > _MAX_CHANCE:
        return None
    return least


def _crash_rate(crashes, upstreams, now):
    """Return a function that gives the crash rate per upstream at a time."""

    def rate(moment):
        near = sum(
            abs(crash.at - moment) <= _RATE_WINDOW_SECONDS for crash in crashes
        )
        known = _RATE_WINDOW_SECONDS + min(_RATE_WINDOW_SECONDS, now - moment)
        return near / (known * max(1, upstreams))

    return rate


def _attribution(fingerprint, own, rate):
    # A request that causes crashes does so soon after its start, each time. One
    # that ran for longer once may have been in flight by chance for as long at
    # each crash, so its longest run time counts for all of them.
    run_seconds = max(crash.suspects[fingerprint].run_seconds for crash in own)
    expected = run_seconds * sum(rate(crash.at) for crash in own)
    suspect = own[-1].suspects[fingerprint]
    return Attribution(suspect, len(own), poisson_tail(len(own), expected))


def poisson_tail(count, expected):
    """Return the Poisson probability of at least ``count`` events.

    Examples
    ========

    >>> from pollenstile.quarantine import poisson_tail
    >>> round(poisson_tail(1, 0.1), 4)
    0.0952
    >>> poisson_tail(3, 0.0)
    0.0
    >>> poisson_tail(3, 30.0) > 0.99
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
    # The tail is summed directly: one minus a sum close to one would cancel all
    # significant digits.
    above = 0.0
    number = count
    while term > above * 1e-12:
        above += term
        number += 1
        term *= expected / number
    return above
