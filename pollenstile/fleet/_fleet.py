"""Assembly of one host's configuration, membership and peer components."""

from pollenstile.fleet._census import Census, HostStatus
from pollenstile.fleet._hosts import Hosts
from pollenstile.fleet._platform_reader import PlatformReader
from pollenstile.fleet._record import HOST, by_domain
from pollenstile.fleet._relay import Relay
from pollenstile.fleet._sharing import Sharing
from pollenstile.fleet._table import Table
from pollenstile.fleet._upstreams import Upstreams
from pollenstile.fleet._watchers import Watchers
from pollenstile.ops.loops import guarded
from pollenstile.ops.timers import cancel_timer
from pollenstile.peer import Beat, neighbours

_LOOP = 'fleet'
_TICK_SECONDS = 0.5
# Seconds between two dials of hosts that are gone.
_PROBE_SECONDS = 5.0


class Fleet:
    """Configuration, membership and peers of one host.

    Parameters
    ==========

    hub : Hub
        Links to peers; not started.
    in_force : InForce
        The configuration in force.
    tracker : Tracker
        State of upstreams for routing.
    store : Store or None
        The object API, rate limited.
    read_hosts : function or None
        Reads the platform's host list.
    read_load : function
        Asks an upstream for its load.
    log : function
        Writes events.

    Attributes
    ==========

    live_listeners : list of function
        Called with the records of the live hosts, by name, when they change.
    """

    __slots__ = (
        'assigned_live',
        'census',
        'hosts',
        'hub',
        'in_force',
        'live_listeners',
        'platform_reader',
        'probe_at',
        'relay',
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
        self.platform_reader = PlatformReader(
            store,
            read_hosts,
            in_force,
            self.upstreams,
            hub.random,
        )
        self.timer = None
        self.probe_at = 0.0
        self.assigned_live = None
        self.live_listeners = []
        hub.beat = self._beat
        hub.message_handlers[Beat] = self._on_beat
        in_force.listeners.append(self._on_snapshot)

    def start(self):
        """Announce this host and start all loops."""
        self.hosts.announce()
        self.hub.start()
        self.watchers.start()
        self._tick()

    def leave(self):
        """Announce to the peers that this host is leaving; links stay open."""
        self.hosts.leaving = True
        self.hosts.announce()
        self.hub.send_beats()

    def stop(self):
        """End all loops and close all links."""
        cancel_timer(self.timer)
        self.platform_reader.stop()
        self.watchers.stop()
        self.sharing.stop()
        self.hub.stop()

    def ask(self, host, subject, body, timeout):
        """Send a request to a host; see :meth:`pollenstile.peer.Hub.ask`."""
        address = self.table.record(HOST, host).address
        return self.hub.ask(host, subject, body, timeout, address)

    def answer(self, subject, function):
        """Register the handler of a subject of peer requests.

        Parameters
        ==========

        subject : str
            Subject of the requests; ``'config'`` and ``'status'`` are reserved.
        function : function
            Takes the peer's name and the body; returns bytes or a Deferred
            of them.
        """
        self.hub.requests.subjects[subject] = function

    def document(self, seconds):
        """Return a Deferred of the fleet's status document for operators."""
        statuses = self.census.collect(seconds)
        return statuses.addCallback(self._document)

    def _document(self, statuses):
        versions = {status.host: status.version for status in statuses}
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
            'hosts': sorted(hosts, key=lambda row: row['host']),
            'upstreams': self.upstreams.document(),
        }

    def _beat(self):
        return Beat(
            self.in_force.version,
            self.table.total(),
            self.hosts.leaving,
        )

    def _on_beat(self, link, beat):
        self.relay.on_beat(link, beat)
        self.sharing.on_beat(link, beat)

    def _admits(self, record):
        if record.kind == HOST:
            return self.hosts.admits(record)
        return self.upstreams.admits(record)

    def _on_snapshot(self, snapshot):
        self.upstreams.apply_snapshot(snapshot)
        self.assigned_live = None

    def _own_status(self):
        hello = self.hub.hello
        return HostStatus(
            hello.host,
            hello.domain,
            self.in_force.version,
            self.hosts.leaving,
        )

    def _tick(self):
        guarded(self.hub.log, _LOOP, self._review)(self.hub.clock.seconds())
        pause = _TICK_SECONDS * self.hub.random.uniform(0.8, 1.2)
        self.timer = self.hub.clock.callLater(pause, self._tick)

    def _review(self, now):
        self.hosts.witness_unreached()
        self.hosts.refresh()
        if self.hosts.live is not self.assigned_live:
            self.assigned_live = self.hosts.live
            self._assign_neighbours()
            for listener in self.live_listeners:
                listener(self.assigned_live)
        self.upstreams.eject_unreachable()
        self.platform_reader.tick()
        if now >= self.probe_at:
            self.probe_at = now + _PROBE_SECONDS
            self.hosts.remove_gone(now)
            self._probe_absent()

    def _assign_neighbours(self):
        hello = self.hub.hello
        live = self.hosts.live
        chosen = neighbours(hello.host, hello.domain, by_domain(live.values()))
        wanted = {}
        for name in sorted(chosen):
            wanted[name] = live[name].address
        self.hub.dialer.wanted = wanted
        self.watchers.assign()

    def _probe_absent(self):
        # After a partition, each side considers the hosts of the other side as
        # gone and has no links to them. One dial every few seconds, to a host
        # that is gone or to a seed address, joins the sides again.
        absent = {record.name: record.address for record in self.hosts.absent()}
        for address in self.hub.dialer.seeds:
            absent.setdefault(address, address)
        live = {record.address for record in self.hosts.live.values()}
        addresses = [
            candidate for candidate in absent.values() if candidate not in live
        ]
        if addresses:
            address = self.hub.random.choice(sorted(addresses))
            self.hub.dialer.dial(address)
