"""Stand-in of the platform's host list, which lags behind reality."""

from twisted.internet.defer import succeed
from twisted.web.resource import Resource

from pollenstile.platform import HostList, Unavailable
from pollenstile.standin._objectweb import reply


class MemoryHosts:
    """Hosts, and since when the list shows their changes.

    Parameters
    ==========

    clock : twisted.internet.interfaces.IReactorTime
        Measures the lag.
    lag : float
        Seconds until a change shows.

    Public state
    ============

    down : bool
        Whether the list can't be read.
    shown : dict
        What the list shows, by name.

    Examples
    ========

    >>> from twisted.internet.task import Clock
    >>> from pollenstile.platform import HostEntry
    >>> clock = Clock()
    >>> hosts = MemoryHosts(clock, lag=5.0)
    >>> hosts.change(HostEntry('e1', '10.0.0.1:80', 'clark', 1, 'live'))
    >>> sorted(hosts.shown)
    []
    >>> clock.advance(5.0)
    >>> sorted(hosts.shown)
    ['e1']
    """

    __slots__ = ('clock', 'down', 'lag', 'shown')

    def __init__(self, clock, lag=0.0):
        self.clock = clock
        self.lag = lag
        self.down = False
        self.shown = {}

    def change(self, entry):
        """Show a host's new entry after the lag."""
        self._later(self.shown.__setitem__, entry.name, entry)

    def remove(self, name):
        """Show a host no more after the lag."""
        self._later(self.shown.pop, name, None)

    def listed(self):
        """Return a Deferred of ``HostList`` or ``Unavailable``."""
        if self.down:
            return succeed(Unavailable('hosts', 'memory', 'refused'))
        return succeed(HostList(tuple(self.shown.values())))

    def _later(self, change, *arguments):
        if self.lag:
            self.clock.callLater(self.lag, change, *arguments)
            return
        change(*arguments)


class _HostsResource(Resource):
    isLeaf = True

    def __init__(self, hosts):
        super().__init__()
        self.hosts = hosts

    def render_GET(self, request):
        if self.hosts.down:
            return reply(request, 503, {'reason': 'down'})
        return reply(request, 200, list(self.hosts.shown.values()))


def hostlist_resource(hosts):
    """Return the resource to stand at ``/v1/hosts``."""
    return _HostsResource(hosts)
