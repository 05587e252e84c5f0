"""Builders of hosts whose connections to a failure domain time out."""

from dataclasses import dataclass, field
from random import Random

from twisted.internet.task import Clock

from pollenstile.forward import Registry, Upstream
from pollenstile.reachability import DomainReachability

_SEND_SECONDS = 0.5
_AFTER_SECONDS = 2.0


@dataclass(slots=True)
class Sends:
    """Domains of a host's sends during a cut and after it."""

    during: list = field(default_factory=list)
    after: list = field(default_factory=list)
    timed_out: int = 0


class ReachabilityHost:
    """A host and the upstreams that it knows."""

    def __init__(self, own, domains, count, seed=1):
        self.clock = Clock()
        self.random = Random(seed)
        self.registry = Registry(self.clock)
        self.cut = set()
        for domain in domains:
            for place in range(count):
                ident = f'{domain}{place}'
                upstream = Upstream(ident, 'model', f'{ident}:1', domain)
                self.registry.apply(ident, upstream)
        self.reachability = DomainReachability(
            self.clock, own, self.registry, self.connect, self.random
        )
        self.backing_off = set()
        self.after_timeout = _ignore

    def connect(self, address):
        """Open a connection; return whether it timed out."""
        if address[0] in self.cut:
            self.backing_off.add(address)
            self.reachability.note_timed_out(address)
            return True
        self.reachability.note_reached(address)
        return False

    def time_out(self, domain, count):
        """Cut a domain off, and connect to some of its upstreams."""
        self.cut.add(domain)
        for place in range(count):
            self.connect(f'{domain}{place}:1')
            self.after_timeout(domain)

    def open_one(self, domain):
        """Open a connection to an upstream of a domain."""
        self.reachability.note_reached(f'{domain}0:1')

    def reachable_domains(self):
        """Return the domains from whose upstreams a choice is made."""
        views = self.reachability.reachable(self.registry.usable('model'))
        return sorted({view.domain for view in views})

    def next_upstream(self):
        """Return a reachable upstream that is not backing off."""
        views = self.reachability.reachable(self.registry.usable('model'))
        return self.random.choice(
            [view for view in views if view.address not in self.backing_off]
        )


def play_cut(host, domain, seconds):
    """Return the :class:`Sends` of a host while a domain is cut, and after."""
    sends = Sends()
    host.cut.add(domain)
    while host.clock.seconds() < seconds:
        view = host.next_upstream()
        sends.during.append(view.domain)
        sends.timed_out += host.connect(view.address)
        host.clock.advance(_SEND_SECONDS)
    host.cut.discard(domain)
    host.backing_off.clear()
    host.clock.advance(1.0)
    while host.clock.seconds() < seconds + 1.0 + _AFTER_SECONDS:
        sends.after.append(host.next_upstream().domain)
        host.clock.advance(_SEND_SECONDS)
    return sends


def _ignore(domain):
    """Do nothing after a timeout."""
