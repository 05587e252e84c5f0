"""Adaptive concurrency limits of this host for each upstream."""

from pollenstile.limits import events
from pollenstile.ops.logs import silent_log

# Maximum ratio of a call's time to its expected time that a sample counts with.
_MAX_RATIO = 20.0
# Weight of the latest sample in the smoothed ratio, and of the target in a step
# of :func:`gradient`.
_SMOOTHING = 0.2
# A call that takes more than this many times its expected time is unlikely to
# be slow by chance. It gets the weight below, which is larger, so that one or
# two such calls, not ten, keep the next requests away from the upstream.
_SLOW_RATIO = 4.0
_SLOW_SMOOTHING = 0.5
# Ratio of a call's time to its expected time above which an upstream is full.
_FULL_RATIO = 1.4
# Running and queued calls per slot above which an upstream is full.
_FULL_CALLS_PER_SLOT = 1.0
# Factor of a reduction, and calls by which one sample raises a limit.
_DECREASE_FACTOR = 0.85
_INCREASE = 0.05
# Initial limit as a share of the slots.
_INITIAL_SHARE = 0.25
# Minimum limit of an upstream, in calls of this host.
_MIN_LIMIT = 0.25
# A limit grows only while calls in flight use at least this share of it.
_MIN_UTILIZATION = 0.6
# Half-life in seconds of an upstream's measured slowness.
_HALF_LIFE = 20.0


class Limit:
    """Concurrency limit and slowness of one upstream.

    Parameters
    ==========

    value : float
        Concurrent calls of this host. A value below 1 still counts towards the
        limit of the pool.
    """

    __slots__ = ('ratio', 'reduced_at', 'sampled_at', 'value')

    def __init__(self, value):
        self.value = value
        self.ratio = 1.0
        self.sampled_at = 0.0
        self.reduced_at = 0.0


def pressure(ratio, load, slots):
    """Return the load of an upstream relative to its limit; full above 1.

    Parameters
    ==========

    ratio : float
        Time of calls relative to their expected time.
    load : Load or None
        Its load report, which covers the calls of all hosts.
    slots : int
        Declared number of slots.

    Examples
    ========

    >>> from pollenstile.limits._concurrency import pressure
    >>> from pollenstile.upstream import Load
    >>> pressure(0.7, None, 8), pressure(2.8, None, 8)
    (0.5, 2.0)
    >>> pressure(0.7, Load(8, 8), 8) > 1
    True
    """
    ratio_pressure = ratio / _FULL_RATIO
    if load is None:
        return ratio_pressure
    return max(
        ratio_pressure,
        (load.running + load.queued) / (_FULL_CALLS_PER_SLOT * slots),
    )


def aimd(value, load_pressure, in_flight, slots):
    """Apply additive increase, multiplicative decrease to a limit.

    Examples
    ========

    >>> from pollenstile.limits._concurrency import aimd
    >>> aimd(2.0, 1.5, 2, 8), aimd(2.0, 0.5, 2, 8), aimd(2.0, 0.5, 0, 8)
    (1.7, 2.05, 2.0)
    """
    if load_pressure > 1:
        return max(_MIN_LIMIT, value * _DECREASE_FACTOR)
    if in_flight < _MIN_UTILIZATION * value:
        return value
    return min(slots, value + _INCREASE)


def gradient(value, load_pressure, in_flight, slots):
    """Adjust a limit in proportion to the free capacity of an upstream.

    Examples
    ========

    >>> from pollenstile.limits._concurrency import gradient
    >>> gradient(2.0, 2.0, 2, 8) < 2 < gradient(2.0, 0.5, 2, 8)
    True
    """
    if load_pressure <= 1 and in_flight < _MIN_UTILIZATION * value:
        return value
    target = value * min(1.5, max(0.5, 1 / max(load_pressure, 0.1)))
    adjusted = value + _SMOOTHING * (target - value)
    return min(slots, max(_MIN_LIMIT, adjusted))


class Concurrency:
    """Limits of all upstreams that this host has called.

    Explanation
    ===========

    Each host adjusts its limits independently. The calls of other hosts show
    only in an upstream's load report and in the time of calls, and both arrive
    with a delay. Limits therefore change in small steps. They are reduced at
    most once per expected call time; otherwise a burst of outdated samples
    would reduce them to the minimum.

    Parameters
    ==========

    clock : IReactorTime
        Times the decay of slowness and the interval between reductions.
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
        """Return an upstream's :class:`Limit`; create it if needed."""
        limit = self.limits.get(name)
        if limit is None:
            limit = Limit(max(1.0, slots * _INITIAL_SHARE))
            self.limits[name] = limit
        return limit

    def slowness(self, name):
        """Return how many times slower than expected an upstream is, from 1."""
        limit = self.limits.get(name)
        if limit is None:
            return 1.0
        age = self.clock.seconds() - limit.sampled_at
        return 1 + max(0.0, limit.ratio - 1) * 0.5 ** (age / _HALF_LIFE)

    def is_over(self, name, slots, in_flight):
        """Return whether one more call would exceed an upstream's limit."""
        return in_flight + 1 > max(1.0, self.limit(name, slots).value)

    def sample(self, name, slots, in_flight, took, expected, load=None):
        """Adjust an upstream's limit by the time of one call.

        Parameters
        ==========

        name : str
            The upstream.
        slots : int
            Declared number of slots.
        in_flight : int
            Calls of this host there, including this one.
        took, expected : float
            The call's time and its expected time, in seconds.
        load : Load or None
            The load report in the answer.
        """
        now = self.clock.seconds()
        limit = self.limit(name, slots)
        ratio = min(_MAX_RATIO, took / max(expected, 0.001))
        weight = _SLOW_SMOOTHING if ratio > _SLOW_RATIO else _SMOOTHING
        limit.ratio += weight * (ratio - limit.ratio)
        limit.sampled_at = now
        current_pressure = pressure(limit.ratio, load, slots)
        if current_pressure > 1 and now - limit.reduced_at < expected:
            return
        limit.value = self.rule(limit.value, current_pressure, in_flight, slots)
        if current_pressure > 1:
            limit.reduced_at = now
            self.log(
                events.LIMIT_CUT,
                level='debug',
                peer=name,
                limit=round(limit.value, 2),
                pressure=round(current_pressure, 2),
            )

    def total(self, pool, states):
        """Return the sum of a pool's limits on this host, at least 1.

        Parameters
        ==========

        pool : Pool
            The declared pool.
        states : function
            Returns the state of an upstream by name.
        """
        now = self.clock.seconds()
        total = 0.0
        for name, upstream in pool.upstreams.items():
            state = states(name)
            if state.leaving or state.ejected_until > now:
                continue
            total += self.limit(name, upstream.slots).value
        return max(1.0, total)
