"""Rate limits for cold upstreams, divided among hosts without coordination.

Explanation
===========

An upstream that has just started, or became cold later, accepts a limited
number of requests a second and crashes well above it. All hosts together must
respect this limit, including hosts that are partitioned from each other, and a
round trip for each request would be too slow. So each upstream's rate is
divided among the hosts of its domain by rendezvous hashing: hosts with the same
list of hosts compute the same shares. Hosts with different lists may claim the
same share.

The limit matters when a domain returns or a service restarts: its upstreams are
idle, and all hosts would prefer them at once.
"""

from pollenstile.ops.rendezvous import rendezvous_weight

# Seconds over which a rate is counted.
_WINDOW_SECONDS = 1.0


class ColdShares:
    """This host's shares of the request rates of cold upstreams.

    Parameters
    ==========

    host, domain : str
        Name and failure domain of this host.

    Attributes
    ==========

    peers : dict
        Failure domain of each other host by name; None while unknown, so that
        a host without the list does not use the full rate alone.
    shares : dict
        Computed shares, by identifier and rate of the upstream.
    """

    __slots__ = ('domain', 'host', 'peers', 'shares')

    def __init__(self, host, domain):
        self.host = host
        self.domain = domain
        self.peers = None
        self.shares = {}

    def update_hosts(self, peers):
        """Set the failure domains of the other hosts, by name."""
        self.peers = dict(peers)
        self.shares = {}

    def may_send(self, view, rate, now):
        """Return whether a request may be sent to an upstream now.

        Parameters
        ==========

        view : UpstreamView
            State of the upstream.
        rate : float
            Requests a second that a cold upstream accepts; 0 for no limit.
        now : float
            Seconds on the clock.
        """
        if not rate or view.cold_until <= now:
            return True
        count, seconds = self._share(view, rate)
        sends = view.cold_sends
        while sends and now - sends[0] >= seconds:
            sends.popleft()
        return len(sends) < count

    def seconds_until_send(self, view, rate, now):
        """Return the seconds until a request may be sent to a cold upstream."""
        warm_in = max(0.0, view.cold_until - now)
        count, seconds = self._share(view, rate)
        if not count:
            return warm_in
        sends = view.cold_sends
        return min(warm_in, sends[0] + seconds - now) if sends else 0.0

    def note_sent(self, view, rate, now):
        """Count a send to an upstream if it is cold."""
        if rate and view.cold_until > now:
            view.cold_sends.append(now)

    def _share(self, view, rate):
        share = self.shares.get((view.ident, rate))
        if share is None:
            share = send_share(
                self.host, self._sharing_hosts(view), view.ident, rate
            )
            self.shares[view.ident, rate] = share
        return share

    def _sharing_hosts(self, view):
        if self.peers is None:
            return ()
        domains = {**self.peers, self.host: self.domain}
        same_domain = [
            host for host, domain in domains.items() if domain == view.domain
        ]
        return same_domain or list(domains)


def send_share(host, hosts, upstream, rate):
    """Return a host's share of the request rate of a cold upstream.

    Parameters
    ==========

    host : str
        The host whose share is computed.
    hosts : list of str
        Hosts that share the rate; empty when they are unknown.
    upstream : str
        Identifier of the upstream.
    rate : float
        Requests a second that the upstream accepts.

    Returns
    =======

    tuple
        Number of requests, and the seconds in which they may be sent.

    Examples
    ========

    >>> send_share('a', ['a', 'b'], 'i', 10.0)
    (5, 1.0)
    >>> sorted(send_share(one, ['a', 'b', 'c'], 'i', 2.0)[0] for one in 'abc')
    [0, 1, 1]
    >>> send_share('a', ['a'], 'i', 0.5)
    (1, 2.0)
    >>> send_share('a', [], 'i', 10.0)
    (0, 1.0)
    """
    sharers = max(1, min(len(hosts), int(rate)))

    def weight(sharer):
        return rendezvous_weight(upstream, sharer)

    selected = sorted(hosts, key=weight)[:sharers]
    if host not in selected:
        return 0, _WINDOW_SECONDS
    return max(1, int(rate / sharers)), max(_WINDOW_SECONDS, 1 / rate)
