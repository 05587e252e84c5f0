"""Estimated speed ratios of engines, measured by all hosts of a domain."""

import math
from dataclasses import dataclass

import xxhash

from pollenstile.conditions._mean import DecayingMean, bounded
from pollenstile.ops.bounded import drop_oldest

# Weight of the assumption that an engine takes the usual time, in measurements.
_PRIOR_WEIGHT = 1.0
# Maximum weight of one host's measurements of an engine among those of all, so
# that a host that measures wrongly is outvoted.
_MAX_HOST_WEIGHT = 4.0
# Maximum number of incarnations with measurements of one kind; about four times
# the engines of the largest fleet.
_MAX_INCARNATIONS = 4096
# Maximum number of incarnations whose measurements wait to be sent.
_MAX_UNSENT = 64


@dataclass(slots=True, frozen=True)
class SpeedRow:
    """Speed of one incarnation, on its way between hosts.

    Parameters
    ==========

    key : bytes
        Key of the incarnation; see :func:`incarnation_key`.
    ratio : float
        Mean time of the measurements, as a multiple of the expected time.
    weight : float
        Number of measurements, older ones counting less.
    """

    key: bytes
    ratio: float
    weight: float


def incarnation_key(name):
    """Return the eight bytes that stand for an incarnation in messages."""
    return xxhash.xxh64_digest(name.encode())


class SpeedEstimates:
    """Ratio of the measured to the expected time, by incarnation.

    Explanation
    ===========

    A host measures one or two requests a minute at an engine, so measurements
    of all hosts of a domain count: those of the others arrive as they are at
    the reader of the domain, and as merged estimates at the others. The weight
    of all of them decays, and the ratio tends to 1 with it.

    Parameters
    ==========

    clock : IReactorTime
        Seconds.

    Attributes
    ==========

    own : dict
        :class:`DecayingMean` of this host's measurements, by key.
    unsent : dict
        The same of the measurements that the reader has not been told.
    peers : dict
        Dictionaries of means by host, by key, at a reader.
    received : dict
        Merged estimates of the current reader, by key. Their weight does not
        decay while it answers, as it tells what has changed.
    former : dict
        Merged estimates of former readers.
    source : object
        Process lifetime of the current reader.
    on_change : function
        Called with each key whose measurements changed.

    Examples
    ========

    >>> from twisted.internet.task import Clock
    >>> from pollenstile.conditions import SpeedEstimates
    >>> estimates = SpeedEstimates(Clock())
    >>> estimates.ratio('i/1')
    1.0
    >>> for _ in range(19):
    ...     estimates.learn('i/1', 2.0)
    >>> round(estimates.ratio('i/1'), 1)
    1.9
    >>> estimates.ratio('i/2')
    1.0
    """

    __slots__ = (
        'clock',
        'former',
        'on_change',
        'own',
        'peers',
        'received',
        'source',
        'unsent',
    )

    def __init__(self, clock):
        self.clock = clock
        self.own = {}
        self.unsent = {}
        self.peers = {}
        self.received = {}
        self.former = {}
        self.source = None
        self.on_change = _ignore_key

    def learn(self, name, ratio):
        """Add a ratio that this host has measured at an incarnation."""
        now = self.clock.seconds()
        key = incarnation_key(name)
        for means, limit in (
            (self.own, _MAX_INCARNATIONS),
            (self.unsent, _MAX_UNSENT),
        ):
            mean = _kept(means, key, limit, DecayingMean(now))
            mean.add(ratio, 1.0, now)
        self.on_change(key)

    def ratio(self, name):
        """Return the estimated ratio, which tends to 1 without measurements."""
        key = incarnation_key(name)
        merged = self._merge(key, math.inf)
        return _shrunk(merged.ratio, merged.weight)

    def known_ratio(self, name):
        """Return the same, or None if nothing was measured or received."""
        merged = self._merge(incarnation_key(name), math.inf)
        return _shrunk(merged.ratio, merged.weight) if merged.weight else None

    def published_row(self, key):
        """Return the merged estimate that this host, as a reader, tells."""
        return self._merge(key, _MAX_HOST_WEIGHT)

    def take_unsent(self, limit):
        """Return rows for the reader, oldest first, which are unsent no more.

        Parameters
        ==========

        limit : int
            Maximum number of rows.
        """
        rows = []
        for key in list(self.unsent)[:limit]:
            mean = self.unsent.pop(key)
            weight = mean.weight_at(self.clock.seconds())
            rows.append(SpeedRow(key, math.exp(mean.logarithm), weight))
        return rows

    def add_measured(self, host, rows):
        """Add measurements of another host."""
        now = self.clock.seconds()
        for row in rows:
            by_host = _kept(self.peers, row.key, _MAX_INCARNATIONS, {})
            mean = by_host.setdefault(host, DecayingMean(now))
            mean.add(row.ratio, min(row.weight, _MAX_HOST_WEIGHT), now)
            mean.weight = min(mean.weight, _MAX_HOST_WEIGHT)
            self.on_change(row.key)

    def receive(self, source, rows):
        """Replace merged estimates by those that a reader has told.

        Parameters
        ==========

        source : object
            The reader's process lifetime.
        rows : list of SpeedRow
            What has changed.
        """
        now = self.clock.seconds()
        if source != self.source:
            self.source = source
            self.former.update(self.received)
            self.received = {}
        for mean in self.received.values():
            mean.weighed_at = now
        for row in rows:
            self.former.pop(row.key, None)
            self.received.pop(row.key, None)
            mean = DecayingMean(now, row.weight, row.ratio)
            _kept(self.received, row.key, _MAX_INCARNATIONS, mean)

    def forget_old(self):
        """Forget measurements of negligible weight."""
        now = self.clock.seconds()
        for means in (self.own, self.unsent, self.former, self.received):
            _forget_negligible(means, now)
        for by_host in self.peers.values():
            _forget_negligible(by_host, now)
        self.peers = {
            key: by_host for key, by_host in self.peers.items() if by_host
        }

    def _merge(self, key, limit):
        """Return the mean of all measurements of an incarnation.

        Parameters
        ==========

        limit : float
            Maximum weight of this host's own measurements.
        """
        now = self.clock.seconds()
        total = 0.0
        weight = 0.0
        for mean, most in self._means(key, limit):
            share = min(most, mean.weight_at(now))
            weight += share
            total += share * mean.logarithm
        if not weight:
            return SpeedRow(key, 1.0, 0.0)
        return SpeedRow(key, bounded(math.exp(total / weight)), weight)

    def _means(self, key, limit):
        """Return the means of an incarnation and their maximum weights."""
        found = [(mean, math.inf) for mean in self.peers.get(key, {}).values()]
        own = self.own.get(key)
        if own is not None:
            found.append((own, limit))
        merged = self.received.get(key) or self.former.get(key)
        if merged is not None:
            found.append((merged, math.inf))
        return found


def shrunk_ratio(row):
    """Return the ratio of a row, nearer to 1 the less its weight is."""
    return _shrunk(row.ratio, row.weight)


def _ignore_key(key):
    """Ignore a key; the default of ``on_change``."""


def _shrunk(ratio, weight):
    return ratio ** (weight / (weight + _PRIOR_WEIGHT))


def _kept(entries, key, limit, default):
    """Return an entry, adding the default; forget the oldest over a limit."""
    entry = entries.setdefault(key, default)
    drop_oldest(entries, limit)
    return entry


def _forget_negligible(means, now):
    negligible = [key for key in means if means[key].is_negligible(now)]
    for key in negligible:
        means.pop(key)
