"""The way between hosts and upstreams: cuts, and messages gone astray."""

from pollenstile.standin.virtual import UP
from pollenstile.upstream import Chunk, NotRun

_LATEST = 2.5
_SMALL_DELAY = 0.02


class Links:
    """Which links are cut.

    Attributes
    ==========

    cut : dict
        Pair of host and upstream to the state of the link.
    no_platform : set of str
        Hosts that can't reach the platform.
    parted : set of frozenset
        Pairs of hosts' addresses between which nothing passes.
    astray : float
        Chance that a message to a host goes astray.
    """

    __slots__ = ('astray', 'cut', 'no_platform', 'parted')

    def __init__(self):
        self.cut = {}
        self.no_platform = set()
        self.parted = set()
        self.astray = 0.0

    def is_parted(self, one, other):
        """Return whether nothing passes between two hosts' addresses."""
        return frozenset((one, other)) in self.parted

    def state(self, host, upstream):
        """Return the state of a link."""
        return self.cut.get((host, upstream), UP)


class Wire:
    """Messages that reach one host.

    Explanation
    ===========

    A transport promises that nothing reaches the sink after a cancel, and one
    end of each call. The code above it must hold without this promise, since
    upstreams and what lies between can break it. So messages get lost, come
    twice, late, in the wrong order, or at the wrong call.

    Parameters
    ==========

    links : Links
        Tells how often.
    rng : random.Random
        Seeded.
    process : Process
        Takes the messages.
    trace : Trace
        Notes them.
    """

    __slots__ = ('links', 'process', 'refusal', 'rng', 'swapped', 'trace')

    def __init__(self, links, rng, process, trace):
        self.links = links
        self.rng = rng
        self.process = process
        self.trace = trace
        self.swapped = None
        self.refusal = None

    def sink_for(self, attempt, sink):
        """Return a sink that goes through the wire."""

        def take(event):
            # What the transport itself says does not travel.
            travels = getattr(event, 'attempt', None) is not None
            if travels and isinstance(event, NotRun):
                self.refusal = event
            if not travels or self.rng.random() >= self.links.astray:
                self.hand(sink, event)
                return
            fate = self.rng.choice(_FATES)
            self.trace.note('astray', attempt=attempt, fate=fate.__name__)
            fate(self, sink, event)

        return take

    def hand(self, sink, event):
        """Hand a message to the process."""
        self.process.deliver(sink, event)

    def later(self, seconds, sink, event):
        """Hand it over after a time, cancelled or not."""
        self.process.clock.callLater(seconds, self.hand, sink, event)


def _lost(wire, sink, event):
    """Hand over nothing."""


def _double(wire, sink, event):
    wire.hand(sink, event)
    wire.hand(sink, event)


def _late(wire, sink, event):
    wire.later(wire.rng.uniform(0, _LATEST), sink, event)


def _behind(wire, sink, event):
    wire.later(_SMALL_DELAY, sink, event)


def _swap(wire, sink, event):
    if isinstance(event, Chunk):
        wire.hand(sink, event)
        return
    waiting = wire.swapped
    if waiting is None:
        wire.swapped = (sink, event)
        return
    wire.swapped = None
    wire.hand(sink, waiting[1])
    wire.hand(waiting[0], event)


def _old_refusal(wire, sink, event):
    # The refusal of another call, sent again.
    if wire.refusal is not None and not isinstance(event, Chunk):
        wire.hand(sink, wire.refusal)


_FATES = (_lost, _double, _late, _behind, _swap, _swap, _old_refusal)
