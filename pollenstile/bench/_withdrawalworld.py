"""Simulate entry hosts whose upstreams leave or ask for rest."""

from pollenstile.bench._crashworld import is_deadly
from pollenstile.bench._rateworld import RateWorld
from pollenstile.standin.withdrawing import Shedding, WithdrawingUpstreams


class WithdrawalWorld(RateWorld):
    """Hosts over upstreams that may state that they want no requests."""

    __slots__ = ()

    def make_upstreams(self):
        """Return the upstreams, none of them started."""
        return WithdrawingUpstreams(self.fleet.clock, self._write, is_deadly)

    def start_all(self, domains):
        """Start hosts again, which know nothing of earlier answers."""
        super().start_all(domains)
        self.upstreams.departures.clear()
        self.upstreams.asks.clear()

    def ident(self, address):
        """Return the incarnation that runs at an address."""
        return self.upstreams.processes[address].ident

    def state_leaving(self, address):
        """Let the answers of an upstream say from now on that it leaves."""
        self.upstreams.leaving.add(self.ident(address))

    def write_entry(self, address, *, leaving):
        """Write the entry of an upstream, without waiting for the store."""
        process = self.upstreams.processes[address]
        entry = {
            'address': address,
            'domain': process.domain,
            'leaving': leaving,
        }
        self._write(process.ident, entry)

    def delete_entry(self, address):
        """Delete the entry of an upstream, without waiting for the store."""
        self._write(self.ident(address), None)

    def shed(self, address, share, seconds, rest=None):
        """Let an upstream turn requests away and ask for rest.

        Parameters
        ==========

        share : float
            Share of its requests.
        seconds : float
            Seconds of rest that it asks for.
        rest : str or None
            Header value, if it differs from the seconds.
        """
        value = f'{seconds:g}' if rest is None else rest
        self.upstreams.shedding[address] = Shedding(share, value, seconds)

    def stop_shedding(self, address):
        """Let an upstream take all requests again."""
        self.upstreams.shedding.pop(address)
