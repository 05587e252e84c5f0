"""News of crashes and verdicts, from host to host."""

from collections import defaultdict
from functools import partial

from twisted.internet.defer import Deferred

from pollenstile.ops.logs import silent_log
from pollenstile.peer import BadMessageError, Beat, Unanswered, neighbours
from pollenstile.platform import paused
from pollenstile.quarantine import events
from pollenstile.quarantine._codec import news_bytes, news_from
from pollenstile.quarantine._types import News, joined

TELL = 'quarantine-news'
COMPARE = 'quarantine-held'
# Seconds in which news are gathered: each host that had a request at a process
# reports it, within some round trips.
_GATHER = 0.01
# Seconds for a peer to take news, the connection included; tries, and the pause
# between them.
_TELL_SECONDS = 0.8
_TRIES = 3
_PAUSE = 0.3
# Seconds between two comparisons with one peer.
_COMPARE_PERIOD = 1.0


class VerdictSharing:
    """Tells neighbours what is new here, and compares verdicts with peers.

    Explanation
    ===========

    What a host hears for the first time it tells its neighbours, but not the
    one that it heard it from. Heartbeats carry a digest of the verdicts; where
    it differs, both hosts send what they hold.

    Parameters
    ==========

    hub : Hub
        Links to peers.
    quarantine : Quarantine
        What this host knows.
    hosts : dict
        :class:`PeerHost` of each other host, by name; it changes as they come
        and go.
    log : function
        Writes events.
    """

    __slots__ = (
        'compared_at',
        'gathered',
        'hosts',
        'hub',
        'log',
        'quarantine',
        'timer',
    )

    def __init__(self, hub, quarantine, hosts, log=silent_log):
        self.hub = hub
        self.quarantine = quarantine
        self.hosts = hosts
        self.log = log
        self.gathered = []
        self.compared_at = {}
        self.timer = None
        quarantine.on_news = self.tell
        hub.requests.subjects[TELL] = self._told
        hub.requests.subjects[COMPARE] = self._compared
        hub.message_handlers[Beat] = self._beaten

    def tell(self, news, source=''):
        """Tell the neighbours something, but not the host it came from."""
        self.gathered.append((news, source))
        if self.timer is None:
            clock = self.hub.clock
            self.timer = clock.callLater(_GATHER, self._send_gathered)

    def _send_gathered(self):
        self.timer = None
        gathered = self.gathered
        self.gathered = []
        for host in sorted(self._neighbours()):
            parts = [news for news, source in gathered if source != host]
            if parts:
                Deferred.fromCoroutine(self._send(host, joined(parts)))

    def _neighbours(self):
        hello = self.hub.hello
        domains = defaultdict(list)
        for name, host in self.hosts.items():
            domains[host.domain].append(name)
        return neighbours(hello.host, hello.domain, domains)

    async def _send(self, host, news):
        clock = self.hub.clock
        answer = None
        for attempt in range(_TRIES):
            if attempt:
                await paused(clock, _PAUSE)
            peer = self.hosts.get(host)
            if peer is None or self.hub.stopped:
                return
            answer = await self.hub.ask(
                host,
                TELL,
                news_bytes(news, clock.seconds()),
                _TELL_SECONDS,
                peer.address,
            )
            if not isinstance(answer, Unanswered):
                return
        self.log(events.NEWS_UNTOLD, peer=host, reason=answer.reason)

    def _told(self, host, body):
        fresh = self._taken(body)
        if not fresh.is_empty():
            self.tell(fresh, host)
        return b''

    def _taken(self, body):
        now = self.hub.clock.seconds()
        return self.quarantine.take(news_from(body, now))

    def _beaten(self, link, beat):
        """Compare verdicts with a peer whose digest differs."""
        if beat.quarantine == self.quarantine.verdicts.digest():
            return
        now = self.hub.clock.seconds()
        last = self.compared_at.get(link.host, -_COMPARE_PERIOD)
        if now - last < _COMPARE_PERIOD:
            return
        self.compared_at[link.host] = now
        answer = self.hub.ask(link.host, COMPARE, self._own(), _TELL_SECONDS)
        answer.addCallback(partial(self._answered, link.host))

    def _answered(self, host, answer):
        if isinstance(answer, Unanswered):
            self.log(events.NEWS_UNTOLD, peer=host, reason=answer.reason)
            return
        try:
            self._told(host, answer)
        except BadMessageError as error:
            self.log(events.NEWS_UNTOLD, peer=host, reason=str(error))

    def _compared(self, host, body):
        self._told(host, body)
        return self._own()

    def _own(self):
        verdicts = self.quarantine.verdicts.by_fingerprint.values()
        news = News(verdicts=tuple(verdicts))
        return news_bytes(news, self.hub.clock.seconds())
