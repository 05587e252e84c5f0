"""Exchange of the versions of streams between hosts."""

from functools import partial

from twisted.internet.defer import Deferred

from pollenstile.ops.logs import silent_log
from pollenstile.origins import events
from pollenstile.origins._codec import (
    OriginAnswer,
    decode_answer,
    decode_ask,
    decode_origins,
    encode_answer,
    encode_ask,
    encode_origins,
)
from pollenstile.origins._keepers import copy_candidates, keepers_by_domain
from pollenstile.origins._origins import PeerAnswers
from pollenstile.peer import LOST, REFUSED, BadMessageError, Unanswered

TELL_SUBJECT = 'stream-origins'
ASK_SUBJECT = 'stream-origin'
# Minimum seconds between two messages to one keeper. Streams that began in
# between are unknown to it when their host ends.
_COLLECT_SECONDS = 0.25
# Seconds for a keeper to take a message, the connection included, and for a
# peer to answer a question, for which a caller waits.
_TELL_SECONDS = 0.8
_ASK_SECONDS = 0.4
# Seconds after which all streams are told again that no keeper took.
_RETRY_SECONDS = 0.5


class _Copy:
    """One copy of this host's streams, at one of some keepers.

    Attributes
    ==========

    candidates : list of str
        Keepers in order; the first that answers is told.
    keeper : str
        The keeper that was told last; empty at first.
    is_resting : bool
        Whether no candidate has taken the last message, and none is sent until
        all streams are told again.
    """

    __slots__ = ('candidates', 'is_resting', 'keeper')

    def __init__(self, candidates):
        self.candidates = candidates
        self.keeper = ''
        self.is_resting = False


class OriginSharing:
    """Tells keepers of this host's streams, and asks them for those of others.

    Explanation
    ===========

    Nothing is told while one version of a service is seen. When a second one
    appears, and when a keeper starts again, all streams are told.

    Parameters
    ==========

    hub : Hub
        Links to peers.
    origins : Origins
        Streams that are known here.
    hosts : dict
        :class:`PeerHost` of each other host, by name; the caller updates it as
        membership changes, and calls :meth:`update_hosts`.
    log : function
        Writes events.

    Attributes
    ==========

    keepers : dict
        Keepers by failure domain, this host included.
    copies : list of _Copy
        Where this host's streams are kept.
    pending : dict
        Streams that keepers have not been told of, by key.
    record : function
        Called with streams, by key, that this host records in the store for its
        domain.
    """

    __slots__ = (
        'copies',
        'hosts',
        'hub',
        'keepers',
        'log',
        'origins',
        'pending',
        'record',
        'sent_at',
        'timer',
    )

    def __init__(self, hub, origins, hosts, log=silent_log):
        self.hub = hub
        self.origins = origins
        self.hosts = hosts
        self.log = log
        self.keepers = {}
        self.copies = []
        self.pending = {}
        self.record = _ignore_streams
        self.timer = None
        self.sent_at = -_COLLECT_SECONDS
        origins.on_began = self._began
        origins.ask_peers = self.ask
        origins.history.listeners.append(self._version_seen)
        hub.requests.subjects[TELL_SUBJECT] = self._on_told
        hub.requests.subjects[ASK_SUBJECT] = self._on_asked
        hub.link_up_handlers.append(self._link_opened)

    def update_hosts(self):
        """Choose the keepers among the current hosts."""
        hello = self.hub.hello
        domains = {name: peer.domain for name, peer in self.hosts.items()}
        domains[hello.host] = hello.domain
        self.keepers = keepers_by_domain(domains)
        chosen = copy_candidates(hello.host, hello.domain, self.keepers)
        if [copy.candidates for copy in self.copies] != list(chosen):
            self.copies = [_Copy(candidates) for candidates in chosen]
            self._tell_all()

    async def ask(self, key, service):
        """Return the :class:`PeerAnswers` on a stream.

        Explanation
        ===========

        The keepers of this host's domain are asked first: callers that lose
        their host mostly reach another one of its domain.
        """
        hello = self.hub.hello
        replies = {}
        for is_near in (True, False):
            peers = [
                peer
                for domain, keepers in self.keepers.items()
                for peer in keepers
                if (domain == hello.domain) is is_near and peer != hello.host
            ]
            replies.update(await self._ask_all(peers, encode_ask(key, service)))
            for peer, reply in replies.items():
                if _is_known(reply):
                    return PeerAnswers(reply.software, peer)
        return PeerAnswers(
            witnesses=tuple(
                reply.witness
                for reply in replies.values()
                if isinstance(reply, OriginAnswer)
            ),
            is_everyone_heard=self._is_everyone_heard(service, replies),
        )

    def _is_everyone_heard(self, service, replies):
        """Return whether a keeper of each domain is a witness, or has ended.

        Explanation
        ===========

        A host whose address refuses connections is not cut off: it serves no
        callers either.
        """
        if not self.keepers:
            # This host does not know the others yet.
            return False
        heard = {peer for peer in replies if _is_heard(replies[peer])}
        unheard = {
            domain
            for domain, keepers in self.keepers.items()
            if heard.isdisjoint(keepers)
        }
        if self.origins.witness(service).is_complete:
            unheard.discard(self.hub.hello.domain)
        return not unheard

    def _ask_all(self, peers, encoded):
        """Return a Deferred of the replies by peer.

        Explanation
        ===========

        It fires when all peers have replied or are late, or one of them knows
        the stream. A reply is an ``OriginAnswer`` or ``Unanswered``.
        """
        done = Deferred()
        replies = {}
        for peer in peers:
            reply = self._request(peer, ASK_SUBJECT, encoded, _ASK_SECONDS)
            reply.addCallback(self._ask_again, peer, encoded)
            reply.addCallback(_decode_reply, peer)
            reply.addCallback(partial(_on_reply, done, replies, peer, peers))
        if not peers:
            done.callback(replies)
        return done

    def _ask_again(self, reply, peer, encoded):
        """Ask a peer again whose link was lost: it may have ended."""
        if isinstance(reply, Unanswered) and reply.reason == LOST:
            return self._request(peer, ASK_SUBJECT, encoded, _ASK_SECONDS)
        return reply

    def _request(self, peer, subject, body, seconds):
        entry = self.hosts.get(peer)
        address = entry.address if entry else ''
        return self.hub.ask(peer, subject, body, seconds, address)

    def _began(self, key):
        origin = self.origins.table.by_key[key]
        if self.origins.history.is_mixed(origin.service):
            self._tell({key: origin})

    def _version_seen(self, service):
        history = self.origins.history
        if not history.is_mixed(service):
            return
        versions = sorted(history.versions(service))
        self.log(events.SOFTWARE_MIXED, service=service, versions=versions)
        self._tell_all()

    def _told_streams(self):
        return self.origins.table.own(self.origins.history.is_mixed)

    def _tell_all(self):
        self._tell(self._told_streams())

    def _tell(self, streams):
        if _records_own(self):
            self.record(streams)
        self.pending.update(streams)
        if self.timer is None and self.pending:
            clock = self.hub.clock
            due = self.sent_at + _COLLECT_SECONDS - clock.seconds()
            self.timer = clock.callLater(max(0, due), self._send_pending)

    def _send_pending(self):
        self.timer = None
        self.sent_at = self.hub.clock.seconds()
        streams = self.pending
        self.pending = {}
        for copy in self.copies:
            if not copy.is_resting:
                Deferred.fromCoroutine(self._send(copy, streams))

    async def _send(self, copy, streams):
        reason = 'no keeper'
        for keeper in copy.candidates:
            if self.hub.stopped:
                return
            if keeper != copy.keeper:
                streams = self._told_streams()
            body = encode_origins(streams, self.hub.clock.seconds())
            answer = await self._request(
                keeper, TELL_SUBJECT, body, _TELL_SECONDS
            )
            if not isinstance(answer, Unanswered):
                copy.keeper = keeper
                return
            reason = answer.reason
        if copy.is_resting or not copy.candidates:
            return
        copy.keeper = ''
        copy.is_resting = True
        if copy is self.copies[0]:
            self.record(self._told_streams())
        self.log(
            events.ORIGINS_UNSENT,
            peer=copy.candidates[0],
            reason=reason,
            streams=len(streams),
        )
        self.hub.clock.callLater(_RETRY_SECONDS, self._retry, copy)

    def _retry(self, copy):
        copy.is_resting = False
        streams = self._told_streams()
        if streams and not self.hub.stopped:
            Deferred.fromCoroutine(self._send(copy, streams))

    def _link_opened(self, link):
        """Tell a keeper again whose link was lost: it may have started anew."""
        streams = self._told_streams()
        for copy in self.copies:
            if copy.keeper == link.host and streams:
                Deferred.fromCoroutine(self._send(copy, streams))

    def _on_told(self, host, body):
        streams = decode_origins(body, self.hub.clock.seconds())
        for key, origin in streams.items():
            self.origins.table.add(key, origin)
        entry = self.hosts.get(host)
        is_near = entry is not None and entry.domain == self.hub.hello.domain
        if is_near and not _is_keeper(self, host):
            self.record(streams)
        return b''

    def _on_asked(self, host, body):
        key, service = decode_ask(body)
        software = self.origins.table.software(key)
        witness = self.origins.witness(service)
        return encode_answer(OriginAnswer(software, witness))


def _is_keeper(sharing, host):
    """Return whether a host is a keeper of the own failure domain."""
    return host in sharing.keepers.get(sharing.hub.hello.domain, ())


def _records_own(sharing):
    """Return whether no keeper records the streams of this host."""
    if _is_keeper(sharing, sharing.hub.hello.host) or not sharing.copies:
        return True
    near = sharing.copies[0]
    return near.is_resting or not near.candidates


def _ignore_streams(streams):
    """Record nothing; the default of a host without a store."""


def _decode_reply(reply, peer):
    if isinstance(reply, Unanswered):
        return reply
    try:
        return decode_answer(reply)
    except BadMessageError as error:
        return Unanswered('ask', peer, str(error))


def _on_reply(done, replies, peer, peers, reply):
    """Take a peer's reply; end the question if there is nothing to wait for."""
    replies[peer] = reply
    is_last = len(replies) == len(peers)
    if not done.called and (is_last or _is_known(reply)):
        done.callback(dict(replies))


def _is_heard(reply):
    if isinstance(reply, OriginAnswer):
        return reply.witness.is_complete
    return reply.reason == REFUSED


def _is_known(reply):
    return isinstance(reply, OriginAnswer) and reply.software is not None
