"""Exchange of rates and tokens between hosts."""

from functools import partial

from pollenstile.ops.logs import silent_log
from pollenstile.peer import Unanswered, neighbours_of
from pollenstile.ratelimits import events
from pollenstile.ratelimits._codec import (
    RateNews,
    decode_news,
    decode_requests,
    encode_grants,
    encode_news,
)

TOKENS_SUBJECT = 'rate-tokens'
NEWS_SUBJECT = 'rate-news'
# Seconds over which news is collected before it is sent, and the minimum
# seconds between two messages about one upstream, whose rate may come and go
# with each answer.
_COLLECT_SECONDS = 0.02
_NEWS_PERIOD_SECONDS = 1.0
# Seconds for a peer to answer, the connection included.
_REQUEST_TIMEOUT_SECONDS = 0.8


class RateSharing:
    """Answers requests for tokens, and forwards which upstreams are limited.

    Explanation
    ===========

    A host forwards to its neighbours that an upstream is limited or not any
    more, except to the one that said so; those forward it in turn. A change of
    the rate itself is not forwarded: the allocator knows it, and a host that
    knows that an upstream is limited sends nothing without tokens.

    Parameters
    ==========

    hub : Hub
        Links to peers.
    limits : RateLimits
        Rates and tokens of this host.
    hosts : dict
        :class:`PeerHost` of each other host, by name; the caller updates it as
        membership changes.
    log : function
        Writes events.

    Attributes
    ==========

    pending : dict
        Incarnations of which neighbours are told next, and the host that this
        host heard it from.
    sent_at : dict
        Time at which neighbours were told of an incarnation.
    source : str
        The host whose news is being applied; empty otherwise.
    """

    __slots__ = (
        'hosts',
        'hub',
        'limits',
        'log',
        'pending',
        'sent_at',
        'source',
        'timer',
    )

    def __init__(self, hub, limits, hosts, log=silent_log):
        self.hub = hub
        self.limits = limits
        self.hosts = hosts
        self.log = log
        self.pending = {}
        self.sent_at = {}
        self.source = ''
        self.timer = None
        limits.reach.ask = self._ask
        limits.stated.listeners.append(self._rate_changed)
        hub.requests.subjects[TOKENS_SUBJECT] = self._on_requests
        hub.requests.subjects[NEWS_SUBJECT] = self._on_news
        hub.link_up_handlers.append(self._link_opened)

    def _ask(self, host, body):
        peer = self.hosts.get(host)
        address = peer.address if peer else ''
        return self.hub.ask(
            host, TOKENS_SUBJECT, body, _REQUEST_TIMEOUT_SECONDS, address
        )

    def _on_requests(self, host, body):
        if not body:
            return b''
        now = self.hub.clock.seconds()
        grants = [
            self.limits.allocators.answer(host, request)
            for request in decode_requests(body, now)
        ]
        return encode_grants(grants, now)

    def _on_news(self, host, body):
        received = decode_news(body, self.hub.clock.seconds())
        self.source = host
        for news in received:
            self.limits.stated.update(news.name, news.rate, news.stated_at)
        self.source = ''
        return b''

    def _rate_changed(self, name, before):
        if bool(before) == bool(self.limits.stated.rate(name)):
            return
        self.pending.setdefault(name, self.source)
        self._schedule()

    def _schedule(self):
        if self.timer is None and self.pending:
            now = self.hub.clock.seconds()
            due = min(
                self.sent_at.get(name, -_NEWS_PERIOD_SECONDS)
                for name in self.pending
            )
            delay = max(_COLLECT_SECONDS, due + _NEWS_PERIOD_SECONDS - now)
            self.timer = self.hub.clock.callLater(delay, self._send_pending)

    def _send_pending(self):
        self.timer = None
        now = self.hub.clock.seconds()
        due = {
            name: source
            for name, source in self.pending.items()
            if now - self.sent_at.get(name, -_NEWS_PERIOD_SECONDS)
            >= _NEWS_PERIOD_SECONDS
        }
        recent = now - _NEWS_PERIOD_SECONDS
        self.sent_at = {
            name: at for name, at in self.sent_at.items() if at > recent
        }
        for name in due:
            self.pending.pop(name)
            self.sent_at[name] = now
        for host in sorted(neighbours_of(self.hub.hello, self.hosts)):
            names = [name for name, source in due.items() if source != host]
            self._send(host, names)
        self._schedule()

    def _send(self, host, names):
        stated = self.limits.stated.by_name
        news = [
            RateNews(name, stated[name].rate, stated[name].stated_at)
            for name in names
            if name in stated
        ]
        peer = self.hosts.get(host)
        if not news or peer is None or self.hub.stopped:
            return
        answer = self.hub.ask(
            host,
            NEWS_SUBJECT,
            encode_news(news, self.hub.clock.seconds()),
            _REQUEST_TIMEOUT_SECONDS,
            peer.address,
        )
        answer.addCallback(partial(self._note_sent, host))

    def _note_sent(self, host, answer):
        if isinstance(answer, Unanswered):
            self.log(events.RATE_NEWS_UNSENT, peer=host, reason=answer.reason)

    def _link_opened(self, link):
        """Tell a peer that has started or was cut off what is limited."""
        self._send(link.host, list(self.limits.stated.limited()))
