"""A host that records streams, and its peers."""

from types import SimpleNamespace

from twisted.internet.defer import succeed
from twisted.internet.task import Clock

from features.builders.loop import result_of
from pollenstile.origins import (
    STREAMS_KIND,
    Origin,
    OriginTable,
    StreamRecorder,
    origin_key,
)
from pollenstile.standin.objectapi import MemoryStore


class StreamKeeper:
    """A host that records streams of its failure domain, in virtual time."""

    def __init__(self, name='h'):
        self.clock = Clock()
        self.store = MemoryStore(self.clock)
        self.recorder = StreamRecorder(
            self.store, self.clock, name, 'd', OriginTable(self.clock)
        )
        self.recorder.is_away = lambda: self.store.down
        self.streams = {origin_key('t', 's', 'a'): Origin('v1', 's', 60.0)}

    def advance(self, seconds):
        """Advance the clock while the host reviews its streams."""
        for _ in range(round(seconds * 20)):
            self.clock.advance(0.05)
            self.recorder.review()

    def written(self):
        """Return the streams that are in the store, by version."""
        listing = result_of(self.store.listed(f'{STREAMS_KIND}-d'))
        return [entry.value['streams'] for entry in listing.objects]


class DenyingHub:
    """A hub whose peers all answer no, and which notes what they are asked.

    Attributes
    ==========

    errors : list of Exception
        Raised by the next questions, one by each.
    """

    def __init__(self, clock):
        self.clock = clock
        self.requests = SimpleNamespace(subjects={})
        self.hello = SimpleNamespace(host='h')
        self.asked = []
        self.errors = []

    def ask(self, peer, subject, body, seconds, address):
        """Return a Deferred of a negative answer."""
        if self.errors:
            raise self.errors.pop()
        self.asked.append((peer, body))
        return succeed(b'')
