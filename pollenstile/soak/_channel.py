"""Simulated links of hosts: partitions, and message loss or reordering."""

from pollenstile.standin.virtual import UP
from pollenstile.upstream import Chunk, NotRun

_MAX_DELAY_SECONDS = 2.5
_REORDER_DELAY_SECONDS = 0.02


class Links:
    """State of the links between hosts, upstreams and the platform.

    Attributes
    ==========

    cut : dict
        State of each cut link, by pair of host and upstream.
    no_platform : set of str
        Hosts that can't reach the platform.
    partitioned : set of frozenset
        Pairs of hosts' addresses that can't exchange messages.
    disturbed_share : float
        Probability that a message to a host is lost, duplicated, delayed,
        reordered or misdelivered.
    """

    __slots__ = ('cut', 'disturbed_share', 'no_platform', 'partitioned')

    def __init__(self):
        self.cut = {}
        self.no_platform = set()
        self.partitioned = set()
        self.disturbed_share = 0.0

    def is_partitioned(self, one, other):
        """Return whether two hosts' addresses can't exchange messages."""
        return frozenset((one, other)) in self.partitioned

    def state(self, host, upstream):
        """Return the state of a link."""
        return self.cut.get((host, upstream), UP)


class FaultyChannel:
    """Delivers messages to one host, with transport faults.

    Explanation
    ===========

    A transport guarantees that nothing reaches the sink after a cancel, and
    that each call ends once. The code above it must be correct without this
    guarantee, since upstreams and the network can violate it. So messages get
    lost, duplicated, delayed, reordered or delivered to the wrong call.

    Parameters
    ==========

    links : Links
        Holds the probability of a transport fault.
    rng : random.Random
        Seeded random generator.
    process : Process
        The host's process, which receives the messages.
    trace : Trace
        Records the faults.

    Attributes
    ==========

    refusal : NotRun or None
        The last refusal that was sent to this host.
    swapped : tuple or None
        Sink and message that wait to be swapped with another call's.
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
        """Return a sink that passes messages through this channel."""

        def receive(event):
            # Events of the transport itself carry no attempt; they are local.
            is_message = getattr(event, 'attempt', None) is not None
            if is_message and isinstance(event, NotRun):
                self.refusal = event
            if (
                not is_message
                or self.rng.random() >= self.links.disturbed_share
            ):
                self.deliver(sink, event)
                return
            fate = self.rng.choice(_MESSAGE_FAULTS)
            self.trace.note('astray', attempt=attempt, fate=fate.__name__)
            fate(self, sink, event)

        return receive

    def deliver(self, sink, event):
        """Deliver a message to the process."""
        self.process.deliver(sink, event)

    def deliver_later(self, seconds, sink, event):
        """Deliver a message after a delay, even if its call is cancelled."""
        self.process.clock.callLater(seconds, self.deliver, sink, event)


def _lost(channel, sink, event):
    """Drop the message."""


def _double(channel, sink, event):
    channel.deliver(sink, event)
    channel.deliver(sink, event)


def _late(channel, sink, event):
    channel.deliver_later(
        channel.rng.uniform(0, _MAX_DELAY_SECONDS), sink, event
    )


def _behind(channel, sink, event):
    channel.deliver_later(_REORDER_DELAY_SECONDS, sink, event)


def _swap(channel, sink, event):
    if isinstance(event, Chunk):
        channel.deliver(sink, event)
        return
    waiting = channel.swapped
    if waiting is None:
        channel.swapped = (sink, event)
        return
    channel.swapped = None
    channel.deliver(sink, waiting[1])
    channel.deliver(waiting[0], event)


def _old_refusal(channel, sink, event):
    # Replace the message by an earlier refusal, mostly of another call.
    if channel.refusal is not None and not isinstance(event, Chunk):
        channel.deliver(sink, channel.refusal)


_MESSAGE_FAULTS = (_lost, _double, _late, _behind, _swap, _swap, _old_refusal)
