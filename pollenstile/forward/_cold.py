"""What a host may send to an upstream that is cold, without asking the others.

Explanation
===========

An upstream that has just started, or became cold since, bears so many requests
a second and crashes well above. All hosts together must keep to that, also
those that are cut off from each other, and asking for each request would cost a
trip. So each upstream's rate is dealt among the hosts of its domain by
rendezvous: every host finds the same shares from the same entries. Two hosts
that disagree on who there is may count on the same part of it.

The load that this answers is a domain that returns, or a service that restarts:
its upstreams are empty, and all hosts would prefer them at once.
"""

from pollenstile.ops.rendezvous import rendezvous_weight

# Seconds over which a rate is counted.
_WINDOW = 1.0


class ColdShares:
    """This host's shares of what cold upstreams bear.

    Parameters
    ==========

    host, domain : str
        This host.

    Attributes
    ==========

    peers : dict
        Failure domain by name of each other host; None while unknown. A host
        that took itself for the only one would use the whole rate.
    """

    __slots__ = ('domain', 'host', 'peers', 'shares')

    def __init__(self, host, domain):
        self.host = host
        self.domain = domain
        self.peers = None
        self.shares = {}

    def update_hosts(self, peers):
        """Take the failure domains of the other hosts, by name."""
        self.peers = dict(peers)
        self.shares = {}

    def admits(self, view, rate, now):
        """Return whether a request may be sent to an upstream now.

        Parameters
        ==========

        view : EngineView
            What is known of the upstream.
        rate : float
            Requests a second that a cold one bears; 0 for no bound.
        """
        if not rate or view.cold_until <= now:
            return True
        count, seconds = self._share(view, rate)
        sends = view.cold_sends
        while sends and now - sends[0] >= seconds:
            sends.popleft()
        return len(sends) < count

    def opens_in(self, view, rate, now):
        """Return seconds until a request may be sent to a cold upstream."""
        warm_in = max(0.0, view.cold_until - now)
        count, seconds = self._share(view, rate)
        if not count:
            return warm_in
        sends = view.cold_sends
        return min(warm_in, sends[0] + seconds - now) if sends else 0.0

    def note_sent(self, view, rate, now):
        """Count a send to an upstream, if it is cold."""
        if rate and view.cold_until > now:
            view.cold_sends.append(now)

    def _share(self, view, rate):
        known = self.shares.get((view.ident, rate))
        if known is None:
            known = share_of(self.host, self._sharers(view), view.ident, rate)
            self.shares[view.ident, rate] = known
        return known

    def _sharers(self, view):
        if self.peers is None:
            return ()
        domains = {**self.peers, self.host: self.domain}
        near = [host for host, one in domains.items() if one == view.domain]
        return near or list(domains)


def share_of(host, hosts, upstream, rate):
    """Return how many requests a host may send to a cold upstream, in how long.

    Parameters
    ==========

    hosts : list of str
        Those that share it; none when they are unknown.
    upstream : str
        Its identifier.
    rate : float
        Requests a second that it bears.

    Returns
    =======

    tuple
        Requests, and the seconds in which so many may be sent.

    Examples
    ========

    >>> share_of('a', ['a', 'b'], 'i', 10.0)
    (5, 1.0)
    >>> sorted(share_of(one, ['a', 'b', 'c'], 'i', 2.0)[0] for one in 'abc')
    [0, 1, 1]
    >>> share_of('a', ['a'], 'i', 0.5)
    (1, 2.0)
    >>> share_of('a', [], 'i', 10.0)
    (0, 1.0)
    """
    sharers = max(1, min(len(hosts), int(rate)))

    def weight(one):
        return rendezvous_weight(upstream, one)

    chosen = sorted(hosts, key=weight)[:sharers]
    if host not in chosen:
        return 0, _WINDOW
    return max(1, int(rate / sharers)), max(_WINDOW, 1 / rate)
