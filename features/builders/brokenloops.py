"""Builders of a forwarding host, in virtual time, whose loops meet errors."""

from dataclasses import dataclass, field
from random import Random
from unittest.mock import patch

from twisted.internet.task import Clock

from features.builders.entrygrace import ListeningPort
from features.builders.loop import advance_in_steps, collect_result
from pollenstile.forward import (
    ForwardDaemon,
    HeaderNames,
    HostSettings,
    PlainCodec,
    Upstream,
)
from pollenstile.forward import _joining
from pollenstile.forward._drained import DRAINED
from pollenstile.forward._members import HOSTS
from pollenstile.forward._peerkey import PEER_KEY
from pollenstile.origins import SOFTWARE_KIND
from pollenstile.peer._dialer import Dialer
from pollenstile.quarantine import QUARANTINE_KIND, VerdictRecorder
from pollenstile.routes import RouteTable
from pollenstile.standin.objectapi import MemoryStore

_AT = ('127.0.0.1', 0)
_PEERS = ('127.0.0.1', 7)
_SERVICE = 'desk'
# Calls that meet an error before the others are let through.
_ERRORS = 2


class _Clock(Clock):
    """A virtual clock that listens without sockets and reaches nobody."""

    def listenTCP(self, number, factory, backlog=50, interface=''):
        """Return a port."""
        return ListeningPort(number, factory)

    def connectTCP(self, host, port, factory, timeout=30):
        """Open nothing: no peer answers."""


class Injected(RuntimeError):
    """The error that is injected."""


class Injection:
    """Calls that raise at first.

    Attributes
    ==========

    raised, passed : int
        Calls that raised, and later ones that were let through.
    """

    def __init__(self):
        self.raised = 0
        self.passed = 0
        self.is_on = False

    def check(self):
        """Raise if an error is due."""
        if not self.is_on:
            return
        if self.raised < _ERRORS:
            self.raised += 1
            raise Injected('injected')
        self.passed += 1

    def around(self, function):
        """Return a function that checks and then calls another one."""

        def call(*arguments, **options):
            self.check()
            return function(*arguments, **options)

        return call


class FailingStore:
    """A store whose calls on some kinds meet errors of the program.

    Parameters
    ==========

    store : MemoryStore
        The store behind it.
    injection : Injection
        Raises the errors.
    call, kind : str
        The call, and the kind of objects, that meet them.
    """

    def __init__(self, store, injection, call, kind):
        self.store = store
        self.injection = injection
        self.failing = call, kind

    def __getattr__(self, name):
        method = getattr(self.store, name)

        def call(kind, *arguments, **options):
            if (name, kind) == self.failing:
                self.injection.check()
            return method(kind, *arguments, **options)

        return call

    def is_answering(self):
        """Return whether a response body is being received."""
        return False


@dataclass(slots=True, frozen=True)
class _Adapter:
    names: HeaderNames = field(default_factory=HeaderNames)
    codec: PlainCodec = field(default_factory=PlainCodec)
    decode_table: object = RouteTable
    decode_upstream: object = None


def _upstream(name, value):
    return Upstream(name, _SERVICE, value['address'], 'here')


# Where the errors of a loop come from: a call of the store on a kind, or a
# function of a class.
STORE_CALLS = {
    'the list of upstreams': ('listed', 'upstreams'),
    'the watch of upstreams': ('watched', 'upstreams'),
    'the list of hosts': ('listed', HOSTS),
    'the watch of hosts': ('watched', HOSTS),
    'the watch of drained domains': ('watched', DRAINED),
    'the watch of quarantine': ('watched', QUARANTINE_KIND),
    'full reads of the configuration': ('listed', 'config'),
    'reads of the configuration': ('watched', 'config'),
    'the key of peers': ('get', 'pollenstile-keys'),
    'the registration': ('put', HOSTS),
    'the records of versions': ('get', SOFTWARE_KIND),
}
FUNCTIONS = {
    'the ports of peers': (_joining, 'tcp_listen'),
    'the looks at links': (Dialer, 'dial_due'),
    'the dials of peers': (_Clock, 'connectTCP'),
    'the periodic review': (VerdictRecorder, 'expire'),
}


class LoopHost:
    """A host with a store, an upstream and a peer that never answers.

    Parameters
    ==========

    loop : str
        What meets errors, of :data:`STORE_CALLS` or :data:`FUNCTIONS`.
    at_start : bool
        Whether it does from the start on.
    spoiled_key : object
        What another writer has put in place of the key of peers.

    Attributes
    ==========

    daemon : ForwardDaemon
        The host.
    injection : Injection
        The errors.
    lines : list of tuple
        Name and fields of each log line.
    """

    def __init__(self, loop, *, at_start, spoiled_key=None):
        self.clock = _Clock()
        self.store = MemoryStore(self.clock)
        self.injection = Injection()
        self.injection.is_on = at_start
        self.lines = []
        self._put('config', 'main', 1)
        self._put('upstreams', 'i-1', {'address': '10.0.0.1:1'})
        peer = {'address': '10.0.0.9:9', 'domain': 'here', 'capacity': 1.0}
        self._put(HOSTS, 'other', peer)
        if spoiled_key is not None:
            self._put(*PEER_KEY, spoiled_key)
        failing = STORE_CALLS.get(loop, ('', ''))
        self.patches = []
        function = FUNCTIONS.get(loop)
        if function is not None:
            self._patch(*function)
        self.daemon = ForwardDaemon(
            self.clock,
            HostSettings('own', 'here', _AT, _AT, _PEERS),
            FailingStore(self.store, self.injection, *failing),
            _Adapter(decode_upstream=_upstream),
            Random(1),
            self.clock.seconds,
            self._log,
        )
        self.daemon.start()

    def advance(self, seconds):
        """Let time pass."""
        advance_in_steps(self.clock, seconds)

    def change(self):
        """Write another configuration and another upstream."""
        self._put('config', 'main', 2)
        self._put('upstreams', 'i-2', {'address': '10.0.0.2:1'})

    def usable(self):
        """Return the identifiers of the upstreams that are used."""
        views = self.daemon.parts.core.registry.usable(_SERVICE)
        return sorted(view.ident for view in views)

    def close(self):
        """Undo what was replaced."""
        for replaced in self.patches:
            replaced.stop()

    def _patch(self, owner, name):
        function = self.injection.around(getattr(owner, name))
        replaced = patch.object(owner, name, function)
        replaced.start()
        self.patches.append(replaced)

    def _put(self, kind, name, value):
        collect_result(self.store.put(kind, name, value))

    def _log(self, event, level='info', **fields):
        self.lines.append((event.name, fields))
