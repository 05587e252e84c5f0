"""Simulate entry hosts whose upstreams limit their request rates."""

from random import Random

from pollenstile.bench._crashworld import CrashWorld, is_deadly
from pollenstile.standin.limited import LimitedUpstreams, most_in_window


class RateWorld(CrashWorld):
    """Hosts over upstreams that may limit their request rates."""

    __slots__ = ('rng',)

    def __init__(
        self, hosts, upstreams, domains, route='repeated', seed=1, slots=0
    ):
        self.rng = Random(seed)
        super().__init__(hosts, upstreams, domains, route, slots)

    def make_upstreams(self):
        """Return the upstreams, none of them started."""
        return LimitedUpstreams(self.fleet.clock, self._write, is_deadly)

    def addresses(self):
        """Return the addresses of the upstreams, in the order of starting."""
        return list(self.upstreams.processes)

    def allocator(self, address):
        """Return the host that ranks first for an upstream's rate."""
        process = self.upstreams.processes[address]
        host = self.fleet.running()[0]
        name = f'{process.ident}/0'
        order = host.core.rates.ranking.order(name, process.domain)
        return self.fleet.hosts[order[0]]

    def schedule_traffic(self, rate, seconds, names=None):
        """Schedule requests at random times, each to a random host.

        Parameters
        ==========

        rate : float
            Requests a second of all callers together.
        names : list of str or None
            Hosts that get them; None for all hosts.
        """
        hosts = names or list(self.fleet.hosts)
        moment = self.rng.expovariate(rate)
        number = 0
        while moment < seconds:
            body = b'request %d' % number
            self.fleet.clock.callLater(
                moment, self._send_if_running, self.rng.choice(hosts), body
            )
            moment += self.rng.expovariate(rate)
            number += 1

    def _send_if_running(self, name, body):
        host = self.fleet.hosts[name]
        if not host.gone and host.configuration.table is not None:
            self.send_request(name, body)

    def most_arrivals(self, address, since, until, *, told_only=False):
        """Return the most arrivals at an upstream in any window of 4 s."""
        moments = self.upstreams.arrivals_at(
            address, since, until, told_only=told_only
        )
        return most_in_window(moments)
