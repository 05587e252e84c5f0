"""One host's part in the fleet, put together."""

from pollenstile.fleet._census import Census, HostStatus
from pollenstile.fleet._hosts import Hosts
from pollenstile.fleet._platformnews import PlatformNews
from pollenstile.fleet._record import HOST, by_domain
from pollenstile.fleet._relay import Relay
from pollenstile.fleet._sharing import Sharing
from pollenstile.fleet._table import Table
from pollenstile.fleet._upstreams import Upstreams
from pollenstile.fleet._watchers import Watchers
from pollenstile.peer import Beat, neighbours

_TICK = 0.5
_PROBE_SECONDS = 5.0


class Fleet:
    """Configuration, membership and peers of one host.

    Parameters
    ==========

    hub : Hub
        Links to peers; not started.
    in_force : InForce
        The configuration.
    tracker : Tracker
        What routing reads.
    store : Store or None
        The object API, paced.
    read_hosts : function or None
        Reads the platform's host list.
    read_load : function
        Asks an upstream for its load.
    log : function
        Writes events.
    """

    __slots__ = (
        'census',
        'hosts',
        'hub',
        'in_force',
        'news',
        'probe_at',
        'relay',
        'seen',
        'sharing',
        'table',
        'timer',
        'upstreams',
        'watchers',
    )

    def __init__(
        self,
        hub,
        in_force,
        tracker,
        store,
        read_hosts,
        read_load,
        log,
    ):
        self.hub = hub
        self.in_force = in_force
        self.table = Table()
        self.hosts = Hosts(hub, self.table, log)
        self.upstreams = Upstreams(
            self.table,
            self.hosts,
            tracker,
            hub.clock,
            log,
        )
        self.sharing = Sharing(hub, self.table, self._admits)
        self.relay = Relay(hub, in_force, log)
        self.census = Census(hub, self._own_status)
        self.watchers = Watchers(self.upstreams, read_load, hub.random)
        self.news = PlatformNews(
            store,
            read_hosts,
            in_force,
            self.upstreams,
            hub.random,
        )
        self.timer = None
        self.probe_at = 0.0
        self.seen = None
        hub.beat = self._beat
        hub.message_handlers[Beat] = self._heard
        in_force.listeners.append(self._configured)

    def start(self):
        """Take part from now on."""
        self.hosts.announce()
        self.hub.start()
        self.watchers.start()
        self._tick()

    def leave(self):
        """Tell the peers that this host is leaving; links stay."""
        self.hosts.leaving = True
        self.hosts.announce()
        self.hub.send_beats()

    def stop(self):
        """End all loops and close all links."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.news.stop()
        self.watchers.stop()
        self.sharing.stop()
        self.hub.stop()

    def ask(self, host, subject, body, timeout):
        """Ask a host something; see :meth:`pollenstile.peer.Hub.ask`."""
        address = self.table.record(HOST, host).address
        return self.hub.ask(host, subject, body, timeout, address)

    def answer(self, subject, function):
        """Answer what peers ask under a subject.

        Parameters
        ==========

        subject : str
            As the peers name it; ``'config'`` and ``'status'`` are taken.
        function : function
            Takes the peer's name and the body; returns bytes or a Deferred
            of them.
        """
        self.hub.requests.subjects[subject] = function

    def document(self, seconds):
        """Return a Deferred of what operators ask for, of the whole fleet."""
        taken = self.census.taken(seconds)
        return taken.addCallback(self._document)

    def _document(self, statuses):
        versions = {one.host: one.version for one in statuses}
        hosts = []
        for record in self.table.of_kind(HOST):
            hosts.append(
                {
                    'host': record.name,
                    'domain': record.domain,
                    'answers': record.name in versions,
                    'version': versions.get(record.name, 0),
                    'leaving': record.leaving,
                    'live': record.name in self.hosts.live,
                },
            )
        return {
            'asked': self.hub.hello.host,
            'version': self.in_force.version,
            'hosts': sorted(hosts, key=lambda one: one['host']),
            'upstreams': self.upstreams.document(),
        }

    def _beat(self):
        return Beat(
            self.in_force.version,
            self.table.total(),
            self.hosts.leaving,
        )

    def _heard(self, link, beat):
        self.relay.heard(link, beat)
        self.sharing.heard(link, beat)

    def _admits(self, record):
        if record.kind == HOST:
            return self.hosts.admits(record)
        return self.upstreams.admits(record)

    def _configured(self, snapshot):
        self.upstreams.configured(snapshot)
        self.seen = None

    def _own_status(self):
        hello = self.hub.hello
        return HostStatus(
            hello.host,
            hello.domain,
            self.in_force.version,
            self.hosts.leaving,
        )

    def _tick(self):
        now = self.hub.clock.seconds()
        self.hosts.doubt_unreached()
        self.hosts.refresh()
        if self.hosts.live is not self.seen:
            self.seen = self.hosts.live
            self._assign()
        self.upstreams.bar_down()
        self.news.tick()
        if now >= self.probe_at:
            self.probe_at = now + _PROBE_SECONDS
            self.hosts.forget_gone(now)
            self._probe()
        pause = _TICK * self.hub.random.uniform(0.8, 1.2)
        self.timer = self.hub.clock.callLater(pause, self._tick)

    def _assign(self):
        hello = self.hub.hello
        live = self.hosts.live
        chosen = neighbours(hello.host, hello.domain, by_domain(live.values()))
        wanted = {}
        for name in sorted(chosen):
            wanted[name] = live[name].address
        self.hub.dialer.wanted = wanted
        self.watchers.assign()

    def _probe(self):
        # After a partition each side thinks that the other's hosts are gone
        # and links to none of them. One try every few seconds, at a host
        # that is gone or at an address known from the start, joins them.
        absent = {one.name: one.address for one in self.hosts.absent()}
        for address in self.hub.dialer.seeds:
            absent.setdefault(address, address)
        known = {one.address for one in self.hosts.live.values()}
        addresses = [one for one in absent.values() if one not in known]
        if addresses:
            address = self.hub.random.choice(sorted(addresses))
            self.hub.dialer.dial(address)
