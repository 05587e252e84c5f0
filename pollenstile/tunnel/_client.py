"""Asks peers to open connections to upstreams."""

from pollenstile.ops.logs import silent_log
from pollenstile.ops.rendezvous import rendezvous_weight
from pollenstile.peer import BadMessageError, Unanswered
from pollenstile.tunnel import events
from pollenstile.tunnel._messages import (
    OpenAnswer,
    OpenAsk,
    OpenResult,
    decode_answer,
    encode_ask,
)
from pollenstile.tunnel._server import TUNNEL_SUBJECT

# Time in which a peer answers: it may connect for 0.35 s, and open a link.
_ASK_SECONDS = 0.7
# Number of peers that are asked for one connection, one after the other.
_MAX_ASKED = 3
# Number of peers among which a host chooses, so that its links stay few.
_MAX_CANDIDATES = 8
# Time for which a peer that could not help is not asked again.
_REST_SECONDS = 2.0
# Results after which a peer is not asked again for some time. An upstream that
# does not answer it may be down.
_UNHELPFUL = (OpenResult.FULL, OpenResult.CUT_OFF)


class Tunnels:
    """Connections to upstreams through peers.

    Parameters
    ==========

    host : str
        Name of this host.
    clock : IReactorTime
        Provides the time.
    rng : random.Random
        Chooses among the peers, to spread the load.
    ask : function
        Sends a request to a peer; see :meth:`pollenstile.peer.Hub.ask`.
    hosts : dict
        :class:`PeerHost` of each other host, by name; the caller updates it.
    is_linked : function
        Takes the name of a host; returns whether a link to it is open.
    log : function
        Writes events.

    Attributes
    ==========

    rest_until : dict
        Time before which a peer is not asked, by name of the host.
    """

    __slots__ = (
        'ask',
        'clock',
        'host',
        'hosts',
        'is_linked',
        'log',
        'rest_until',
        'rng',
    )

    def __init__(self, host, clock, rng, ask, hosts, is_linked, log=silent_log):
        self.host = host
        self.clock = clock
        self.rng = rng
        self.ask = ask
        self.hosts = hosts
        self.is_linked = is_linked
        self.log = log
        self.rest_until = {}

    async def open(self, address):
        """Return the :class:`OpenAnswer` of a peer that opened a connection.

        Explanation
        ===========

        The result is not ``OPENED`` if no peer opened one. A peer that has no
        path either is not asked again for some time, nor is one that was
        refused where another one opened the connection.

        Parameters
        ==========

        address : str
            ``IP:PORT`` of the upstream.
        """
        peers = self._candidates()
        answer = await self._ask_peers(peers, OpenAsk(address, keep=True))
        if answer.result is not OpenResult.OPENED:
            self.log(
                events.TUNNEL_FAILED,
                address=address,
                reason=answer.result.value,
            )
        return answer

    async def check(self, address):
        """Return the :class:`OpenResult` of a connection by a peer.

        Explanation
        ===========

        Peers with an open link are asked first: requests wait for the answer,
        and a peer that has ended would not give one.
        """
        peers = sorted(self._candidates(), key=self.is_linked, reverse=True)
        answer = await self._ask_peers(peers, OpenAsk(address, keep=False))
        return answer.result

    async def _ask_peers(self, peers, ask):
        """Return the answer of the first peer that opens a connection.

        Explanation
        ===========

        A network that refuses connections may have cut off a peer too, and it
        can't tell that from an upstream that is down. So its refusal only
        counts if no other peer opens one.
        """
        refused = []
        answer = OpenAnswer(OpenResult.UNREACHABLE)
        for peer in peers[:_MAX_ASKED]:
            answer = await self._ask_peer(peer, ask)
            if answer.result is OpenResult.OPENED:
                self._rest(*refused)
                return answer
            if answer.result is OpenResult.REFUSED:
                refused.append(peer)
            elif answer.result in _UNHELPFUL:
                self._rest(peer)
        return OpenAnswer(OpenResult.REFUSED) if refused else answer

    async def _ask_peer(self, peer, ask):
        if peer not in self.hosts:
            # It has left while another one was asked.
            return OpenAnswer(OpenResult.UNREACHABLE)
        reply = await self.ask(
            peer,
            TUNNEL_SUBJECT,
            encode_ask(ask),
            _ASK_SECONDS,
            self.hosts[peer].address,
        )
        if isinstance(reply, Unanswered):
            self._rest(peer)
            return OpenAnswer(OpenResult.UNREACHABLE)
        try:
            answer = decode_answer(reply)
        except BadMessageError:
            self._rest(peer)
            return OpenAnswer(OpenResult.UNREACHABLE)
        if ask.keep and answer.result is OpenResult.OPENED:
            self.log(events.TUNNEL_OPENED, peer=peer, address=ask.address)
        return answer

    def _rest(self, *peers):
        until = self.clock.seconds() + _REST_SECONDS
        self.rest_until.update(dict.fromkeys(peers, until))

    def _candidates(self):
        """Return the peers to ask, in order."""
        now = self.clock.seconds()
        peers = [
            peer for peer in self.hosts if self.rest_until.get(peer, 0.0) <= now
        ]
        peers.sort(key=lambda peer: rendezvous_weight(self.host, peer))
        nearest = peers[-_MAX_CANDIDATES:]
        self.rng.shuffle(nearest)
        return nearest
