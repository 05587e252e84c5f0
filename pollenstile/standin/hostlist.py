"""Fake of the platform's host list, which shows changes with a delay."""

from twisted.internet.defer import succeed
from twisted.web.resource import Resource

from pollenstile.platform import HostList, Unavailable
from pollenstile.standin._objectweb import reply


class MemoryHosts:
    """In-memory host list that shows changes after a delay.

    Parameters
    ==========

    clock : twisted.internet.interfaces.IReactorTime
        Times the delay.
    lag : float
        Time until a change is visible, in seconds.

    Public state
    ============

    down : bool
        Whether the list can't be read.
    visible : dict
        Entries that the list shows, by host name.

    Examples
    ========

    >>> from twisted.internet.task import Clock
    >>> from pollenstile.platform import HostEntry
    >>> clock = Clock()
    >>> hosts = MemoryHosts(clock, lag=5.0)
    >>> hosts.change(HostEntry('e1', '10.0.0.1:80', 'clark', 1, 'live'))
    >>> sorted(hosts.visible)
    []
    >>> clock.advance(5.0)
    >>> sorted(hosts.visible)
    ['e1']
    """

    __slots__ = ('clock', 'down', 'lag', 'visible')

    def __init__(self, clock, lag=0.0):
        self.clock = clock
        self.lag = lag
        self.down = False
        self.visible = {}

    def change(self, entry):
        """Add or replace a host's entry after the delay."""
        self._apply_later(self.visible.__setitem__, entry.name, entry)

    def remove(self, name):
        """Remove a host's entry after the delay."""
        self._apply_later(self.visible.pop, name, None)

    def listed(self):
        """Return a Deferred of ``HostList`` or ``Unavailable``."""
        if self.down:
            return succeed(Unavailable('hosts', 'memory', 'refused'))
        return succeed(HostList(tuple(self.visible.values())))

    def _apply_later(self, change, *arguments):
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
        return reply(request, 200, list(self.hosts.visible.values()))


def hostlist_resource(hosts):
    """Return the resource to mount at ``/v1/hosts``."""
    return _HostsResource(hosts)
