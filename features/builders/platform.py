"""Builders of platform clients over stand-ins."""

from random import Random

from twisted.internet import reactor
from twisted.internet.task import Clock
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

from pollenstile.platform import (
    Budget,
    ServerClient,
    HttpStore,
    PacedStore,
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
    """Log lines and changes, in their order."""

    __slots__ = ('changes', 'events')

    def __init__(self):
        self.events = []
        self.changes = []

    def log(self, event, level='info', **fields):
        """Note a log line."""
        self.events.append(event.name)

    def newest(self):
        """Return the newest value of each name, deleted ones left out."""
        values = {change.name: change.value for change in self.changes}
        return {name: value for name, value in values.items() if value}


class World:
    """A store in memory on a virtual clock, and what clients of it saw."""

    __slots__ = ('clock', 'random', 'recorder', 'store')

    def __init__(self, seed=1):
        self.clock = Clock()
        self.random = Random(seed)
        self.store = MemoryStore(self.clock)
        self.recorder = Recorder()

    def paced(self, rate=1000.0, burst=100.0, seed=1):
        """Return a paced client of the store."""
        return PacedStore(
            self.store,
            self.clock,
            Random(seed),
            Budget(rate, burst, self.clock.seconds()),
            self.recorder.log,
        )

    def settled(self, writer, if_version, store=None):
        """Return the coroutine of a settled write with a writer's mark."""
        return put_with_readback(
            store or self.store,
            'config',
            'manifest',
            {'writer': writer},
            if_version,
            WRITER_MARK,
            make_pause(self.clock, self.random),
        )

    def watching(self, store=None, callback=None, **timing):
        """Return a running watch on configuration."""
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
    """Lists come from one store, all else from another."""

    __slots__ = ('lists', 'rest')

    def __init__(self, lists, rest):
        self.lists = lists
        self.rest = rest

    def listed(self, *arguments):
        """Return the lists' store's answer."""
        return self.lists.listed(*arguments)

    def watched(self, *arguments):
        """Return the other store's answer."""
        return self.rest.watched(*arguments)


class Silence(Resource):
    """Takes every request and never answers."""

    isLeaf = True

    def __init__(self):
        super().__init__()
        self.taken = 0
        self.lost = 0

    def render(self, request):
        """Keep the request."""
        self.taken += 1
        request.notifyFinish().addErrback(self._count)
        return NOT_DONE_YET

    def _count(self, _failure):
        self.lost += 1


class Trickle(Resource):
    """Answers in parts, as a link that is full does.

    Attributes
    ==========

    requests : list
        Those that wait for their next part.
    """

    isLeaf = True

    def __init__(self):
        super().__init__()
        self.requests = []

    def render(self, request):
        """Begin the answer."""
        request.write(b'[')
        self.requests.append(request)
        return NOT_DONE_YET

    def part(self):
        """Send a further part of each answer."""
        for request in self.requests:
            request.write(b'1,')

    def end(self):
        """Send the last part of each answer."""
        for request in self.requests:
            request.write(b'1]')
            request.finish()
        self.requests = []


class Forgetful(Resource):
    """Answers as an object API without objects, until connections are lost.

    Requests on connections that were open when ``forget`` was called get no
    answer; those on new ones do.
    """

    isLeaf = True

    def __init__(self):
        super().__init__()
        self.open = set()
        self.forgotten = set()
        self.unanswered = 0

    def forget(self):
        """Lose track of all connections so far."""
        self.forgotten = set(self.open)

    def render(self, request):
        """Answer that the object is absent, or keep the request."""
        port = request.getClientAddress().port
        self.open.add(port)
        if port in self.forgotten:
            self.unanswered += 1
            return NOT_DONE_YET
        request.setResponseCode(404)
        return b'{"kind":"config","name":"m"}'


class Page(Resource):
    """Answers every request with one page, as a wrong balancer does."""

    isLeaf = True

    def __init__(self, status, body):
        super().__init__()
        self.status = status
        self.body = body

    def render(self, request):
        """Return the page."""
        request.setResponseCode(self.status)
        return self.body


def listen_on_loopback(site):
    """Return a port of the real loopback that serves a site."""
    return reactor.listenTCP(0, site, interface=LOOPBACK)


def serving(resource):
    """Return a port that serves one resource for all paths."""
    return listen_on_loopback(Site(resource))


def http_caller(port, clock=reactor, timeout=20.0):
    """Return a caller of a listening port; timeouts are on ``clock``."""
    number = port.getHost().port
    return ServerClient(reactor, clock, LOOPBACK, number, timeout)


def http_store(port, clock=reactor, timeout=20.0):
    """Return an HTTP store of a listening port."""
    return HttpStore(http_caller(port, clock, timeout))
