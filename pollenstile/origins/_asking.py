"""Peers are asked for the version at which a stream began."""

from dataclasses import replace
from functools import partial

from twisted.internet.defer import Deferred

from pollenstile.origins._codec import (
    OriginAnswer,
    OriginQuestion,
    decode_answer,
    decode_ask,
    encode_answer,
    encode_ask,
)
from pollenstile.origins._origins import PeerAnswers
from pollenstile.peer import LOST, REFUSED, BadMessageError, Unanswered
from pollenstile.platform import ReadResult

ASK_SUBJECT = 'stream-origin'
# Seconds for a peer to answer a question, for which a caller waits, and those
# of them for which the peer reads the registry.
_ASK_SECONDS = 0.4
_READ_SECONDS = 0.3


class OriginAsking:
    """Asks peers for the versions of streams, and answers them.

    Parameters
    ==========

    hub : Hub
        Links to peers.
    origins : Origins
        Streams that are known here.
    hosts : dict
        :class:`PeerHost` of each other host, by name.

    Attributes
    ==========

    keepers : dict
        Keepers by failure domain, this host included.
    reader : function
        Returns the name of the host that reads the store for this one; empty if
        it does so itself.
    """

    __slots__ = ('hosts', 'hub', 'keepers', 'origins', 'reader')

    def __init__(self, hub, origins, hosts):
        self.hub = hub
        self.origins = origins
        self.hosts = hosts
        self.keepers = {}
        self.reader = _no_reader
        origins.ask_peers = self.ask
        origins.ask_keepers = self.ask_keepers
        origins.ask_reader = self.ask_reader
        hub.requests.subjects[ASK_SUBJECT] = self._on_asked

    async def ask_reader(self, key, service):
        """Return the :class:`PeerAnswers` of the host that reads the store.

        Explanation
        ===========

        It reads the registry before it answers, and hosts that ask at the same
        time share this read.
        """
        peer = self.reader()
        if not peer:
            return PeerAnswers()
        question = OriginQuestion(key, service, must_read=True)
        return _peer_answers(await self._ask_all([peer], question))

    async def ask_keepers(self, key, service):
        """Return the :class:`PeerAnswers` of all keepers, as they know it now.

        Explanation
        ===========

        They know versions that have come and gone while this host heard
        nothing.
        """
        near, far = self._keepers()
        question = OriginQuestion(key, service, must_read=False)
        return _peer_answers(await self._ask_all([*near, *far], question))

    async def ask(self, key, service):
        """Return the :class:`PeerAnswers` on a stream.

        Explanation
        ===========

        The keepers of this host's domain are asked first: callers that lose
        their host mostly reach another one of its domain.
        """
        question = OriginQuestion(key, service, must_read=True)
        replies = {}
        for peers in self._keepers():
            replies.update(await self._ask_all(peers, question))
            answers = _peer_answers(replies)
            if answers.software is not None:
                return answers
        return replace(
            answers,
            is_everyone_heard=self._is_everyone_heard(service, replies),
        )

    def _keepers(self):
        """Return the other keepers of the own domain, and of all others."""
        hello = self.hub.hello
        near = []
        far = []
        for domain, keepers in self.keepers.items():
            chosen = near if domain == hello.domain else far
            chosen.extend(peer for peer in keepers if peer != hello.host)
        return near, far

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
        if self.origins.history.is_complete(service):
            unheard.discard(self.hub.hello.domain)
        return not unheard

    def _ask_all(self, peers, question):
        """Return a Deferred of the replies by peer.

        Explanation
        ===========

        It fires when all peers have replied or are late, or one of them knows
        the stream. A reply is an ``OriginAnswer`` or ``Unanswered``.
        """
        encoded = encode_ask(question)
        done = Deferred()
        replies = {}
        for peer in peers:
            reply = self._request(peer, encoded)
            reply.addCallback(self._ask_again, peer, encoded)
            reply.addCallback(_decode_reply, peer)
            reply.addCallback(partial(_on_reply, done, replies, peer, peers))
        if not peers:
            done.callback(replies)
        return done

    def _ask_again(self, reply, peer, encoded):
        """Ask a peer again whose link was lost: it may have ended."""
        if isinstance(reply, Unanswered) and reply.reason == LOST:
            return self._request(peer, encoded)
        return reply

    def _request(self, peer, encoded):
        return ask_peer(
            self.hub, self.hosts, peer, ASK_SUBJECT, encoded, _ASK_SECONDS
        )

    def _on_asked(self, host, body):
        return Deferred.fromCoroutine(self._answer(decode_ask(body)))

    async def _answer(self, question):
        origins = self.origins
        result = ReadResult.REFUSED
        is_known = origins.table.software(question.key) is not None
        if question.must_read and not is_known:
            result = await origins.read_versions(
                question.service, _READ_SECONDS
            )
        software = origins.table.software(question.key)
        witness = origins.witness(question.service, result)
        return encode_answer(OriginAnswer(software, witness))


def ask_peer(hub, hosts, peer, subject, body, seconds):
    """Send a request to a host; see :meth:`Hub.ask`.

    Parameters
    ==========

    hosts : dict
        :class:`PeerHost` of each other host, by name.
    """
    entry = hosts.get(peer)
    address = entry.address if entry else ''
    return hub.ask(peer, subject, body, seconds, address)


def _no_reader():
    """Return that the host reads the store itself."""
    return ''


def _peer_answers(replies):
    """Return the :class:`PeerAnswers` of replies, by peer."""
    for peer, reply in replies.items():
        if _is_known(reply):
            return PeerAnswers(reply.software, peer)
    return PeerAnswers(
        witnesses=tuple(
            reply.witness
            for reply in replies.values()
            if isinstance(reply, OriginAnswer)
        )
    )


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
