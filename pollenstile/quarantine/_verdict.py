"""Attribution of upstream crashes to requests and prompt parts."""

import math
from dataclasses import dataclass

# Processes that must have crashed while running a suspect before crashes are
# attributed to it. With one or two, every request that ran beside it is as
# likely a cause.
MIN_CRASHES = 3
# Maximum probability that a suspect which causes no crashes meets so many of
# them by chance. Above it, crashes are not attributed to it.
_MAX_CHANCE = 1e-5
# Maximum probability that those crashes under a part which its most frequent
# request does not explain are chance. That one of the two is to blame is shown
# already; this decides which.
_MAX_CHANCE_BEYOND_REQUEST = 1e-3
# Seconds before and after a crash over which the crash rate of the service's
# upstreams is measured.
_RATE_WINDOW_SECONDS = 5.0
# Crashes within this time count once for a part, which many requests share: a
# rack that fails ends all that runs there.
_MOMENT_SECONDS = 0.25


@dataclass(slots=True, frozen=True)
class Attribution:
    """A request or a prompt part that has crashed upstreams.

    Parameters
    ==========

    suspect : Suspect
        The request or part, as one of the reports gives it.
    crashes : int
        Number of processes that crashed while running it.
    chance : float
        Probability of so many crashes for a suspect that does not cause any.
    is_part : bool
        Whether it is a prompt part.
    """

    suspect: object
    crashes: int
    chance: float
    is_part: bool = False


def attribute_crashes(suspected, crashes, upstreams, now, held=()):
    """Return the requests and parts that have crashed upstreams of a service.

    Explanation
    ===========

    A request that crashes upstreams does so soon after its start, each time.
    Requests that run beside it have run for longer; their run times and the
    crash rate of the upstreams give the number of crashes to expect by chance.
    Crashes are first attributed to the suspect for which they are least
    probable. They are then explained, and no longer count as evidence against
    other suspects.

    Parameters
    ==========

    suspected : collection of str
        Fingerprints of suspects with a newly reported crash.
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
    explaining = set(held)
    attributions = []
    while True:
        attribution = _least_probable(
            suspected, crashes, upstreams, now, explaining
        )
        if attribution is None:
            return attributions
        attributions.append(attribution)
        explaining.add(attribution.suspect.fingerprint)


def _least_probable(suspected, crashes, upstreams, now, explaining):
    """Return the least probable attribution, or None if chance explains it."""
    unexplained = [
        crash
        for crash in crashes
        if crash.suspects.keys().isdisjoint(explaining)
    ]
    candidates = []
    for fingerprint in suspected:
        if fingerprint in explaining:
            continue
        own = _evidence_against(fingerprint, crashes, explaining)
        if len(own) < MIN_CRASHES:
            continue
        candidates.append(
            _attribution(fingerprint, own, unexplained, upstreams, now)
        )
    least = min(
        candidates, key=lambda candidate: candidate.chance, default=None
    )
    if least is None or least.chance > _MAX_CHANCE:
        return None
    return least


def _evidence_against(fingerprint, crashes, explaining):
    """Return the crashes under a suspect that nothing else explains."""
    return [
        crash
        for crash in crashes
        if fingerprint in crash.suspects
        and not _is_explained(crash, fingerprint, explaining)
    ]


def _is_explained(crash, fingerprint, explaining):
    """Return whether something else explains a crash under a suspect.

    Explanation
    ===========

    A request in quarantine does not explain a crash under one of its own parts:
    the part may be what makes it crash upstreams.
    """
    others = explaining & crash.suspects.keys()
    return bool(others - crash.requests.get(fingerprint, set()))


def _attribution(fingerprint, own, unexplained, upstreams, now):
    is_part = any(fingerprint in crash.requests for crash in own)
    chance = _part_chance if is_part else _request_chance
    return Attribution(
        own[-1].suspects[fingerprint],
        len(own),
        chance(fingerprint, own, unexplained, upstreams, now),
        is_part,
    )


def _request_chance(fingerprint, own, unexplained, upstreams, now):
    rate = _crash_rate(unexplained, upstreams, now)
    expected = _longest_run(fingerprint, own) * sum(
        rate(crash.at) for crash in own
    )
    return poisson_tail(len(own), expected)


def _part_chance(fingerprint, own, unexplained, upstreams, now):
    """Return the probability of the crashes under a part that causes none.

    Explanation
    ===========

    Many requests may hold the part, so it may have caused most crashes of the
    service. The rate of the others is what it would meet by chance; one more
    crash than was seen is assumed. If one request explains as much as the part
    that it holds, the request is to blame.

    Returns
    =======

    float
        1 if the crashes don't show that it is the part.
    """
    moments = _distinct_moments(own)
    if len(moments) < MIN_CRASHES:
        return 1.0
    own_names = {crash.incarnation for crash in own}
    others = [
        crash for crash in unexplained if crash.incarnation not in own_names
    ]
    rate = _crash_rate(others, upstreams, now, assumed=1)
    run_seconds = _longest_run(fingerprint, own)

    def chance(times):
        return poisson_tail(len(times), run_seconds * sum(map(rate, times)))

    beyond = _distinct_moments(_beyond_one_request(fingerprint, own))
    if chance(beyond) > _MAX_CHANCE_BEYOND_REQUEST:
        return 1.0
    return chance(moments)


def _beyond_one_request(fingerprint, own):
    """Return the crashes under a part without its most frequent request."""
    requests = set().union(*(crash.requests[fingerprint] for crash in own))
    without = [
        [crash for crash in own if request not in crash.requests[fingerprint]]
        for request in requests
    ]
    return min(without, key=len)


def _distinct_moments(crashes):
    """Return the times of crashes, some time apart from each other."""
    moments = []
    for moment in sorted(crash.at for crash in crashes):
        if not moments or moment - moments[-1] > _MOMENT_SECONDS:
            moments.append(moment)
    return moments


def _longest_run(fingerprint, own):
    """Return the longest time for which a suspect had run at a crash.

    Explanation
    ===========

    A suspect that causes crashes does so soon after its start, each time. One
    that ran for longer once may have been in flight by chance for as long at
    each crash, so its longest run time counts for all of them.
    """
    return max(crash.suspects[fingerprint].run_seconds for crash in own)


def _crash_rate(crashes, upstreams, now, assumed=0):
    """Return a function that gives the crash rate per upstream at a time.

    Parameters
    ==========

    assumed : int
        Number of crashes that are added to those in the window.
    """

    def rate(moment):
        near = sum(
            abs(crash.at - moment) <= _RATE_WINDOW_SECONDS for crash in crashes
        )
        known = _RATE_WINDOW_SECONDS + min(_RATE_WINDOW_SECONDS, now - moment)
        return (near + assumed) / (known * max(1, upstreams))

    return rate


def poisson_tail(count, expected):
    """Return the Poisson probability of at least ``count`` events.

    Examples
    ========

    >>> from pollenstile.quarantine import poisson_tail
    >>> round(poisson_tail(1, 0.1), 4)
    0.0952
    >>> poisson_tail(3, 0.0)
    0.0
    >>> poisson_tail(0, 0.0)
    1.0
    >>> poisson_tail(3, 30.0) > 0.99
    True
    """
    if not count:
        return 1.0
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
