"""How many calls this host keeps at each upstream."""

from pollenstile.limits import events
from pollenstile.ops.logs import silent_log

_MOST_RATIO = 20.0
_SMOOTHING = 0.2
# A call that took so many times the usual says more than chance does: one or
# two of them, not ten, must be enough to spare the next requests.
_SLOW = 4.0
_ALARM = 0.5
# Ratio of a call's time to the usual one, above which the upstream is full.
_TOLERANCE = 1.4
# Calls at an upstream, running and queued, above which it is full; in slots.
_FULL = 1.0
_CUT = 0.85
_GROWTH = 0.05
_START = 0.25
_LEAST = 0.25
# A limit grows only while calls use this share of it.
_IN_USE = 0.6
# Seconds in which half of what is known of an upstream's slowness fades.
_FADING = 20.0


class Limit:
    """One upstream's limit and how slow it is.

    Parameters
    ==========

    value : float
        Calls of this host; below 1 it shares a pool's sum with others.
    """

    __slots__ = ('cut_at', 'ratio', 'sampled', 'value')

    def __init__(self, value):
        self.value = value
        self.ratio = 1.0
        self.sampled = 0.0
        self.cut_at = 0.0


def pressure(ratio, load, slots):
    """Return how full an upstream is; above 1 it is too full.

    Parameters
    ==========

    ratio : float
        Time of calls over their usual time.
    load : Load or None
        What it reports, all hosts' calls together.
    slots : int
        As declared.

    Examples
    ========

    >>> from pollenstile.limits._concurrency import pressure
    >>> from pollenstile.upstream import Load
    >>> pressure(0.7, None, 8), pressure(2.8, None, 8)
    (0.5, 2.0)
    >>> pressure(0.7, Load(8, 8), 8) > 1
    True
    """
    found = ratio / _TOLERANCE
    if load is None:
        return found
    return max(found, (load.running + load.queued) / (_FULL * slots))


def aimd(value, found, in_flight, slots):
    """Return a limit after a sample: additive growth, multiplicative cut.

    Examples
    ========

    >>> from pollenstile.limits._concurrency import aimd
    >>> aimd(2.0, 1.5, 2, 8), aimd(2.0, 0.5, 2, 8), aimd(2.0, 0.5, 0, 8)
    (1.7, 2.05, 2.0)
    """
    if found > 1:
        return max(_LEAST, value * _CUT)
    if in_flight < _IN_USE * value:
        return value
    return min(slots, value + _GROWTH)


def gradient(value, found, in_flight, slots):
    """Return a limit after a sample: in proportion to the room found.

    Examples
    ========

    >>> from pollenstile.limits._concurrency import gradient
    >>> gradient(2.0, 2.0, 2, 8) < 2 < gradient(2.0, 0.5, 2, 8)
    True
    """
    if found <= 1 and in_flight < _IN_USE * value:
        return value
    wanted = value * min(1.5, max(0.5, 1 / max(found, 0.1)))
    moved = value + _SMOOTHING * (wanted - value)
    return min(slots, max(_LEAST, moved))


class Concurrency:
    """Limits of all upstreams that this host has called.

    Explanation
    ===========

    Each host decides alone. What the others do shows in an upstream's load
    report and in the time of calls, and both are older than one would like:
    limits move by steps, and are cut at most once in a call's usual time, so
    that one burst of old news does not cut them to nothing.

    Parameters
    ==========

    clock : IReactorTime
        For fading and for the pace of cuts.
    rule : function
        :func:`aimd` or :func:`gradient`.
    log : function
        Writes events.
    """

    __slots__ = ('clock', 'limits', 'log', 'rule')

    def __init__(self, clock, rule=aimd, log=silent_log):
        self.clock = clock
        self.log = log
        self.rule = rule
        self.limits = {}

    def limit(self, name, slots):
        """Return an upstream's :class:`Limit`, a new one at first."""
        found = self.limits.get(name)
        if found is None:
            found = Limit(max(1.0, slots * _START))
            self.limits[name] = found
        return found

    def slowness(self, name):
        """Return how many times slower than usual an upstream is, from 1."""
        found = self.limits.get(name)
        if found is None:
            return 1.0
        age = self.clock.seconds() - found.sampled
        return 1 + max(0.0, found.ratio - 1) * 0.5 ** (age / _FADING)

    def is_over(self, name, slots, in_flight):
        """Return whether one more call would pass an upstream's limit."""
        return in_flight + 1 > max(1.0, self.limit(name, slots).value)

    def sample(self, name, slots, in_flight, took, usual, load=None):
        """Take in one call's time.

        Parameters
        ==========

        name : str
            The upstream.
        slots : int
            As declared.
        in_flight : int
            Own calls there, this one included.
        took, usual : float
            The call's time and its usual time, in seconds.
        load : Load or None
            The report that came with the answer.
        """
        now = self.clock.seconds()
        found = self.limit(name, slots)
        ratio = min(_MOST_RATIO, took / max(usual, 0.001))
        weight = _ALARM if ratio > _SLOW else _SMOOTHING
        found.ratio += weight * (ratio - found.ratio)
        found.sampled = now
        full = pressure(found.ratio, load, slots)
        if full > 1 and now - found.cut_at < usual:
            return
        found.value = self.rule(found.value, full, in_flight, slots)
        if full > 1:
            found.cut_at = now
            self.log(
                events.LIMIT_CUT,
                level='debug',
                peer=name,
                limit=round(found.value, 2),
                pressure=round(full, 2),
            )

    def total(self, pool, states):
        """Return calls of this host that a pool takes, at least 1.

        Parameters
        ==========

        pool : Pool
            As declared.
        states : function
            Returns an upstream's state by name.
        """
        now = self.clock.seconds()
        total = 0.0
        for name, upstream in pool.upstreams.items():
            state = states(name)
            if state.leaving or state.ejected_until > now:
                continue
            total += self.limit(name, upstream.slots).value
        return max(1.0, total)
