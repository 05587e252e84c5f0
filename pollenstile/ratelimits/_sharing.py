"""Exchange of rates and tokens between hosts."""

from pollenstile.ops.logs import silent_log
from pollenstile.peer import Flood
from pollenstile.ratelimits import events
from pollenstile.ratelimits._codec import (
    RateNews,
    decode_news,
    decode_requests,
    encode_grants,
    encode_news,
)
from pollenstile.ratelimits._unlisted import LEAVING_ANSWER

TOKENS_SUBJECT = 'rate-tokens'
NEWS_SUBJECT = 'rate-news'
# Seconds for a peer to answer, the connection included.
_REQUEST_TIMEOUT_SECONDS = 0.8


class RateSharing:
    """Answers requests for tokens, and forwards which upstreams are limited.

    Explanation
    ===========

    Hosts tell each other that an upstream is limited or not any more. A change
    of the rate itself is not forwarded: the allocator knows it, and a host that
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

    addresses : dict
        Addresses of the other hosts, also of those that are missing from the
        list, by name.
    flood : Flood
        Forwards the news.
    """

    __slots__ = ('addresses', 'flood', 'hosts', 'hub', 'limits', 'log')

    def __init__(self, hub, limits, hosts, log=silent_log):
        self.hub = hub
        self.limits = limits
        self.hosts = hosts
        self.log = log
        self.addresses = {}
        limits.list_listeners.append(self._note_addresses)
        self.flood = Flood(
            hub,
            NEWS_SUBJECT,
            hosts,
            self._encode,
            self._apply,
            limits.stated.limited,
            self._log_unsent,
        )
        limits.reach.ask = self._ask
        limits.stated.listeners.append(self._rate_changed)
        hub.requests.subjects[TOKENS_SUBJECT] = self._on_requests

    def _ask(self, host, body):
        return self.hub.ask(
            host,
            TOKENS_SUBJECT,
            body,
            _REQUEST_TIMEOUT_SECONDS,
            self.addresses.get(host, ''),
        )

    def _note_addresses(self):
        missing = self.limits.unlisted.missing
        self.addresses = {
            host: address
            for host, address in self.addresses.items()
            if host in missing or host in self.limits.listed
        }
        for host, peer in self.hosts.items():
            self.addresses[host] = peer.address

    def _on_requests(self, host, body):
        if not body:
            is_leaving = self.limits.ranking.is_leaving
            return LEAVING_ANSWER if is_leaving else b''
        now = self.hub.clock.seconds()
        grants = [
            self.limits.allocators.answer(host, request)
            for request in decode_requests(body, now)
        ]
        return encode_grants(grants, now)

    def _apply(self, host, body):
        for news in decode_news(body, self.hub.clock.seconds()):
            self.limits.stated.update(news.name, news.rate, news.stated_at)

    def _encode(self, names):
        stated = self.limits.stated.by_name
        news = [
            RateNews(name, stated[name].rate, stated[name].stated_at)
            for name in names
            if name in stated
        ]
        return encode_news(news, self.hub.clock.seconds()) if news else b''

    def _rate_changed(self, name, before):
        if bool(before) != bool(self.limits.stated.rate(name)):
            self.flood.note_changed(name)

    def _log_unsent(self, host, reason):
        self.log(events.RATE_NEWS_UNSENT, peer=host, reason=reason)
