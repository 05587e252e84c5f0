"""Builders of platform clients of stand-in servers."""

from random import Random

from twisted.internet import reactor
from twisted.internet.task import Clock
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

from pollenstile.platform import (
    Budget,
    HttpStore,
    PacedStore,
    ServerClient,
    WatchTiming,
    field_mark,
    make_pause,
    put_with_readback,
    watch,
)
from pollenstile.standin.objectapi import MemoryStore

LOOPBACK = '127.0.0.1'
WRITER_MARK = field_mark('writer')


class Recorder:
    """Records names of logged events and reported changes, in order."""

    __slots__ = ('changes', 'events')

    def __init__(self):
        self.events = []
        self.changes = []

    def log(self, event, level='info', **fields):
        """Record the name of a logged event."""
        self.events.append(event.name)

    def newest_values(self):
        """Return the newest value of each name without deleted objects."""
        values = {change.name: change.value for change in self.changes}
        return {name: value for name, value in values.items() if value}


class World:
    """A memory store on a virtual clock, with a recorder of its clients."""

    __slots__ = ('clock', 'random', 'recorder', 'store')

    def __init__(self, seed=1):
        self.clock = Clock()
        self.random = Random(seed)
        self.store = MemoryStore(self.clock)
        self.recorder = Recorder()

    def make_paced(self, rate=1000.0, burst=100.0, seed=1):
        """Return a paced client of the store."""
        return PacedStore(
            self.store,
            self.clock,
            Random(seed),
            Budget(rate, burst, self.clock.seconds()),
            self.recorder.log,
        )

    def put_manifest(self, writer, if_version, store=None):
        """Return a coroutine that writes with a mark and reads back."""
        return put_with_readback(
            store or self.store,
            'config',
            'manifest',
            {'writer': writer},
            if_version,
            WRITER_MARK,
            make_pause(self.clock, self.random),
        )

    def start_watch(self, store=None, callback=None, **timing):
        """Return a running watch of the configuration."""
        return watch(
            store or self.store,
            'config',
            callback or self.recorder.changes.append,
            self.clock,
            self.random,
            self.recorder.log,
            timing=WatchTiming(**timing),
        )


class SplitStore:
    """Store that lists from one store and watches another."""

    __slots__ = ('lists', 'rest')

    def __init__(self, lists, rest):
        self.lists = lists
        self.rest = rest

    def listed(self, *arguments):
        """Return the outcome of the store that answers lists."""
        return self.lists.listed(*arguments)

    def watched(self, *arguments):
        """Return the outcome of the store that answers watches."""
        return self.rest.watched(*arguments)


class UnresponsiveServer(Resource):
    """Server that accepts every request and never answers."""

    isLeaf = True

    def __init__(self):
        super().__init__()
        self.received = 0
        self.disconnected = 0

    def render(self, request):
        """Count the request and leave it unanswered."""
        self.received += 1
        request.notifyFinish().addErrback(self._count)
        return NOT_DONE_YET

    def _count(self, _failure):
        self.disconnected += 1


class PartwiseServer(Resource):
    """Server that sends its response in parts, as over a saturated link.

    Attributes
    ==========

    requests : list
        Requests whose response is not complete.
    """

    isLeaf = True

    def __init__(self):
        super().__init__()
        self.requests = []

    def render(self, request):
        """Send the first part of the response."""
        request.write(b'[')
        self.requests.append(request)
        return NOT_DONE_YET

    def send_part(self):
        """Send a further part of each response."""
        for request in self.requests:
            request.write(b'1,')

    def send_last_part(self):
        """Send the last part of each response."""
        for request in self.requests:
            request.write(b'1]')
            request.finish()
        self.requests = []


class StateDroppingServer(Resource):
    """Object API without objects, with a path that drops connection state.

    Requests on connections that were open at the call of
    ``drop_connections`` get no response; requests on new connections do.
    """

    isLeaf = True

    def __init__(self):
        super().__init__()
        self.open = set()
        self.dropped = set()
        self.unanswered = 0

    def drop_connections(self):
        """Leave all further requests on open connections unanswered."""
        self.dropped = set(self.open)

    def render(self, request):
        """Respond that the object is absent, or leave it unanswered."""
        port = request.getClientAddress().port
        self.open.add(port)
        if port in self.dropped:
            self.unanswered += 1
            return NOT_DONE_YET
        request.setResponseCode(404)
        return b'{"kind":"config","name":"m"}'


class FixedResponse(Resource):
    """Server with a fixed response, such as a misconfigured balancer."""

    isLeaf = True

    def __init__(self, status, body):
        super().__init__()
        self.status = status
        self.body = body

    def render(self, request):
        """Return the fixed body."""
        request.setResponseCode(self.status)
        return self.body


def listen_on_loopback(site):
    """Return a listening loopback port that serves a site."""
    return reactor.listenTCP(0, site, interface=LOOPBACK)


def serve_resource(resource):
    """Return a listening port that serves a resource for all paths."""
    return listen_on_loopback(Site(resource))


def http_client(port, clock=reactor, timeout=20.0):
    """Return a client of a listening port with timeouts on ``clock``."""
    number = port.getHost().port
    return ServerClient(reactor, clock, LOOPBACK, number, timeout)


def http_store(port, clock=reactor, timeout=20.0):
    """Return an HTTP store client of a listening port."""
    return HttpStore(http_client(port, clock, timeout))
