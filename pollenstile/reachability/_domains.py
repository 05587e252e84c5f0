"""Failure domains to which connections time out, without I/O of its own."""

from collections import Counter
from functools import partial

from pollenstile.ops.logs import silent_log
from pollenstile.ops.loops import guarded
from pollenstile.reachability import events

_LOOP = 'probes of domains'
_MS = 1000
# Upstreams of a failure domain from which it is judged as a whole. A host sends
# to each of a few upstreams often enough to find every one unreachable itself.
_MIN_UPSTREAMS = 16
# Upstreams of a domain whose connections must time out in a row, with none
# opened in between. One upstream may have crashed.
_MIN_TIMEOUTS = 2
# Time for which a timeout counts.
_TIMEOUT_TTL_SECONDS = 5.0
# Time between two probes of an unreachable domain. Requests don't have to
# find out that it is reachable again.
_PROBE_SECONDS = 1.0


class DomainReachability:
    """Knows which failure domains this host can't reach.

    Explanation
    ===========

    When the network between two failure domains is cut, every connection to
    the other domain times out. With dozens of upstreams there, a host sends to
    each one less often than a backoff lasts, so nearly each request lost the
    time of one or two connections, and those whose attempts were used up were
    refused. Timeouts of different upstreams therefore count for their domain.
    A refused connection shows that the domain is reached.

    Nothing is exchanged with other hosts: the cut may lie between this host
    and the domain only. A host never judges its own domain.

    Parameters
    ==========

    clock : IReactorTime
        Provides the time and timers.
    domain : str
        Failure domain of this host.
    registry : Registry
        Known upstreams.
    probe : function
        Takes an address and opens a connection to it, which reports its
        outcome to this object.
    random : random.Random
        Draws the upstream that is probed.
    log : function
        Writes events.

    Attributes
    ==========

    timeouts : dict
        By domain, the addresses whose connections have timed out since one was
        last opened, with the times on the clock.
    unreachable : dict
        Time since which a domain is unreachable, by its name.
    """

    __slots__ = (
        'clock',
        'domain',
        'log',
        'probe',
        'random',
        'registry',
        'timeouts',
        'unreachable',
    )

    def __init__(self, clock, domain, registry, probe, random, log=silent_log):
        self.clock = clock
        self.domain = domain
        self.registry = registry
        self.probe = probe
        self.random = random
        self.log = log
        self.timeouts = {}
        self.unreachable = {}

    def note_timed_out(self, address):
        """Record that a connection to an address timed out."""
        domain = self._domain_of(address)
        if not domain or domain in {self.domain, *self.unreachable}:
            return
        now = self.clock.seconds()
        recent = {
            other: at
            for other, at in self.timeouts.get(domain, {}).items()
            if now - at < _TIMEOUT_TTL_SECONDS
        }
        recent[address] = now
        self.timeouts[domain] = recent
        if len(recent) < _MIN_TIMEOUTS:
            return
        addresses = self._addresses(domain)
        if len(addresses) < _MIN_UPSTREAMS:
            return
        self.unreachable[domain] = now
        self.log(
            events.DOMAIN_UNREACHABLE,
            level='warning',
            domain=domain,
            upstreams=len(addresses),
            timed_out=sorted(recent),
        )
        self._schedule_probe(domain)

    def note_reached(self, address):
        """Record that a connection to an address was opened or refused."""
        if not self.timeouts:
            return
        domain = self._domain_of(address)
        self.timeouts.pop(domain, None)
        since = self.unreachable.pop(domain, None)
        if since is not None:
            self.log(
                events.DOMAIN_REACHABLE,
                domain=domain,
                after_ms=int((self.clock.seconds() - since) * _MS),
            )

    def reachable(self, views):
        """Return the upstreams of reachable domains; all if there are none.

        Parameters
        ==========

        views : list of UpstreamView
            Candidates.
        """
        if not self.unreachable:
            return views
        reached = [
            view for view in views if view.domain not in self.unreachable
        ]
        return reached or views

    def ages(self):
        """Return the seconds since each unreachable domain became so."""
        now = self.clock.seconds()
        return {domain: now - at for domain, at in self.unreachable.items()}

    def _schedule_probe(self, domain):
        self.clock.callLater(_PROBE_SECONDS, partial(self._probe, domain))

    def _probe(self, domain):
        if domain not in self.unreachable:
            return
        addresses = self._addresses(domain)
        if not addresses:
            # Nothing is left there that could be unreachable.
            self.unreachable.pop(domain)
            self.timeouts.pop(domain, None)
            return
        probe = guarded(self.log, _LOOP, self.probe)
        probe(self.random.choice(addresses))
        self._schedule_probe(domain)

    def _addresses(self, domain):
        return [
            upstream.address
            for upstream in self.registry.upstreams.values()
            if upstream.domain == domain
        ]

    def _domain_of(self, address):
        """Return the domain of an address; empty if it is not known for sure.

        Explanation
        ===========

        An address is used again by another upstream, so the registry may list
        it twice for a while.
        """
        domains = Counter(
            upstream.domain
            for upstream in self.registry.upstreams.values()
            if upstream.address == address
        )
        return next(iter(domains)) if len(domains) == 1 else ''


class _AllReachable:
    """Reachability of a host that does not judge domains."""

    __slots__ = ()

    def note_timed_out(self, address):
        """Do nothing."""

    def note_reached(self, address):
        """Do nothing."""

    def reachable(self, views):
        """Return all upstreams."""
        return views

    def ages(self):
        """Return no domains."""
        return {}


ALL_REACHABLE = _AllReachable()
