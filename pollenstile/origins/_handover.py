"""Hand streams over to hosts that reach the store.

Explanation
===========

The store may leave the keepers of a failure domain unanswered while it serves
other hosts. What such a keeper knows would end with it, so another host writes
its streams, under its own name and failure domain.
"""

from functools import partial

from twisted.internet.defer import Deferred

from pollenstile.ops.logs import silent_log
from pollenstile.origins import events
from pollenstile.origins._asking import ask_peer
from pollenstile.origins._codec import (
    ToldOrigins,
    decode_origins,
    encode_origins,
)
from pollenstile.peer import Unanswered, rank_candidates

RECORD_SUBJECT = 'stream-record'
# Seconds for a peer to say whether it can write, and to write.
_PROBE_SECONDS = 0.4
_WRITE_SECONDS = 1.0
# Peers that are asked at once, while none is known that can write.
_PROBED = 4
# Half the minimum seconds between two attempts after one that failed. It
# doubles with each further one, up to 4 s.
_RETRY_SECONDS = 0.125
_MAX_DOUBLINGS = 5
_YES = b'1'
_NO = b''


class StreamHandover:
    """Lets peers write the streams that this host can't write in time.

    Parameters
    ==========

    hub : Hub
        Links to peers.
    hosts : dict
        The other hosts by name; the caller updates it as membership changes.
    recorder : StreamRecorder
        Writes the streams of this host, and those of peers.
    log : function
        Writes events.

    Attributes
    ==========

    writer : str
        The peer that wrote the last streams; empty if none did.
    is_asking : bool
        Whether an attempt is in progress.
    failures : int
        Consecutive failed attempts.
    due_at : float
        Time on the clock of the next attempt.
    """

    __slots__ = (
        'due_at',
        'failures',
        'hosts',
        'hub',
        'is_asking',
        'log',
        'recorder',
        'writer',
    )

    def __init__(self, hub, hosts, recorder, log=silent_log):
        self.hub = hub
        self.hosts = hosts
        self.recorder = recorder
        self.log = log
        self.writer = ''
        self.is_asking = False
        self.failures = 0
        self.due_at = 0.0
        hub.requests.subjects[RECORD_SUBJECT] = self._on_asked

    def review(self):
        """Hand over the streams that should have been written by now."""
        if self.is_asking or self.hub.clock.seconds() < self.due_at:
            return
        streams = self.recorder.late_streams()
        if streams:
            self.is_asking = True
            Deferred.fromCoroutine(self._hand_over(streams))

    async def _hand_over(self, streams):
        """Hand streams over; an error must not end all later attempts."""
        writer = ''
        try:
            writer = await self._write_elsewhere(streams)
        except Exception as error:
            self.log(events.HANDOVER_FAILED, level='error', error=repr(error))
        finally:
            self.is_asking = False
        self.writer = writer
        if writer:
            self.failures = 0
            self.recorder.note_written(streams)
            self.log(
                events.STREAMS_HANDED_OVER,
                peer=writer,
                streams=len(streams),
            )
            return
        self.failures += 1
        pause = _RETRY_SECONDS * 2 ** min(self.failures, _MAX_DOUBLINGS)
        self.due_at = self.hub.clock.seconds() + pause

    async def _write_elsewhere(self, streams):
        """Return the peer that has written streams; empty if none has."""
        writers = [self.writer] if self.writer else await self._find_writers()
        told = ToldOrigins(streams, frozenset())
        body = encode_origins(told, self.hub.clock.seconds())
        done = await self._ask_all(writers, body, _WRITE_SECONDS)
        return next(iter(done), '')

    def _find_writers(self):
        """Return a Deferred of peers that can write."""
        return self._ask_all(self._candidates(), b'', _PROBE_SECONDS)

    def _ask_all(self, peers, body, seconds):
        """Return a Deferred of the peers that say yes.

        Explanation
        ===========

        It fires when all have replied or are late, or, if they were to write,
        when the first one has written.
        """
        done = Deferred()
        replies = {}
        is_enough = bool(body)
        for peer in peers:
            reply = ask_peer(
                self.hub, self.hosts, peer, RECORD_SUBJECT, body, seconds
            )
            reply.addCallback(
                partial(_on_reply, done, replies, peer, len(peers), is_enough)
            )
        if not peers:
            done.callback([])
        return done

    def _candidates(self):
        """Return the peers to ask now: all are asked in turn."""
        peers = rank_candidates(
            self.hub.hello.host, self.hosts, len(self.hosts)
        )
        if not peers:
            return []
        first = self.failures * _PROBED % len(peers)
        return [*peers[first:], *peers[:first]][:_PROBED]

    def _on_asked(self, host, body):
        """Answer whether this host can write, or has written streams."""
        if not self.recorder.can_write():
            return _NO
        if not body:
            return _YES
        told = decode_origins(body, self.hub.clock.seconds())
        written = self.recorder.write_for_peer(told.streams)
        return written.addCallback(_encode_flag)


def _on_reply(done, replies, peer, count, is_enough, reply):
    """Take a peer's reply; end the question if there is nothing to wait for."""
    replies[peer] = not isinstance(reply, Unanswered) and reply == _YES
    is_last = len(replies) == count
    if not done.called and (is_last or (is_enough and replies[peer])):
        done.callback([name for name, is_yes in replies.items() if is_yes])


def _encode_flag(is_done):
    return _YES if is_done else _NO
