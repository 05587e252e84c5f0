"""Entry hosts of a live run: processes that are controlled by signals."""

import os
import signal
import sys

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.protocol import ProcessProtocol

from pollenstile.ops.http import disable_access_log
from pollenstile.ops.settings import address, format_address
from pollenstile.soak.live._latestore import LateStore
from pollenstile.soak.live._loopback import LOOPBACK
from pollenstile.soak.live._proxy import Proxy
from pollenstile.soak.live._records import Overload
from pollenstile.standin.objectapi import platform_site

COMMAND = (sys.executable, '-m', 'pollenstile.ops')
REVOKE_SECONDS = 3.0
DRAIN_SECONDS = 2.0
_KILL_MARGIN_SECONDS = 1.0
_OVERLOAD_EVENTS = frozenset(('overloaded', 'overload-ended'))
_START_EVENTS = ('forward-started', 'forward-ready', 'forward-joined')


class LiveHost(ProcessProtocol):
    """One entry host: a process, with proxies for its connections.

    Parameters
    ==========

    world : World
        Reactor, records and store of the run.
    name : str
        Name of the host.
    command : tuple of str
        Command that runs the program; the flags are appended.

    Attributes
    ==========

    callers, peers, store : Proxy
        Proxies for connections from callers, from peers and to the store.
    late_store : LateStore
        The store as this host reaches it.
    ready : bool
        Whether the last readiness probe succeeded.
    ready_address : tuple or None
        Address for readiness probes; None while the process doesn't run.
    paused, leaving, should_run : bool
        Whether the process is suspended, is shutting down, and is restarted
        when it ends.
    closed : int
        New connections that the process has closed unread, by its log.
    ended : Deferred
        Fires when the process has ended.
    output_tail : list of str
        Standard error, and lines of the log that are not JSON.
    """

    def __init__(self, world, name, command=COMMAND):
        self.world = world
        self.name = name
        self.command = command
        self.callers = Proxy(world.reactor)
        self.peers = Proxy(world.reactor)
        self.store = Proxy(world.reactor)
        self.late_store = LateStore(world.reactor, world.store)
        store_port = world.reactor.listenTCP(
            0, disable_access_log(platform_site(self.late_store)), 512, LOOPBACK
        )
        world.store_ports.append(store_port)
        self.store.target = (LOOPBACK, store_port.getHost().port)
        self.ready = False
        self.ready_address = None
        self.paused = False
        self.leaving = False
        self.should_run = True
        self.partial_line = b''
        self.closed = 0
        self.ended = Deferred()
        self.output_tail = []

    def start(self):
        """Start the process."""
        flags = {
            'host': self.name,
            'domain': 'here',
            'store': format_address(self.store.address),
            'callers': format_address((LOOPBACK, 0)),
            'ready': format_address((LOOPBACK, 0)),
            'peers': format_address((LOOPBACK, 0)),
            'peers-seen': format_address(self.peers.address),
            'revoke-seconds': str(REVOKE_SECONDS),
            'drain-seconds': str(DRAIN_SECONDS),
            'grace-seconds': str(self.world.lengths.grace),
        }
        arguments = [*self.command, 'forward']
        for name, content in flags.items():
            arguments.extend((f'--{name}', content))
        self.ended = Deferred()
        self.ready = False
        self.paused = False
        self.leaving = False
        self.callers.may_refuse = False
        self.partial_line = b''
        self.closed = 0
        self.world.reactor.spawnProcess(
            self, arguments[0], arguments, env=dict(os.environ)
        )

    def kill(self):
        """Kill the process."""
        self._signal(signal.SIGKILL)

    def pause(self):
        """Suspend the process."""
        self._signal(signal.SIGSTOP)
        self.paused = True

    def resume(self):
        """Resume the process."""
        self._signal(signal.SIGCONT)
        self.paused = False

    def stop(self):
        """Shut the process down; kill it when its grace time has passed."""
        if self.leaving or not self.is_running():
            return
        self.leaving = True
        self.callers.may_refuse = True
        self.transport.signalProcess(signal.SIGTERM)
        pid = self.transport.pid
        self.world.reactor.callLater(
            self.world.lengths.grace + _KILL_MARGIN_SECONDS,
            self._kill_if_running,
            pid,
        )

    def is_running(self):
        """Return whether the process is running."""
        return self.transport is not None and self.transport.pid is not None

    def end_permanently(self):
        """Kill the process without a restart; return a Deferred of its end."""
        self.should_run = False
        if self.is_running():
            self.kill()
            return self.ended
        done = Deferred()
        done.callback(None)
        return done

    def outReceived(self, data):
        """Read lines of the log; called by twisted."""
        *lines, partial_line = (self.partial_line + data).split(b'\n')
        self.partial_line = partial_line
        for line in lines:
            self._handle_log_line(line)

    def errReceived(self, data):
        """Keep standard error; called by twisted."""
        self.output_tail.append(data.decode(errors='replace'))

    def processEnded(self, reason):
        """Reset the proxies and schedule a restart; called by twisted."""
        expected = self.leaving or reason.value.signal == signal.SIGKILL
        if not expected:
            last = ''.join(self.output_tail)[-600:]
            self.world.records.broken.append(
                f'ended unexpectedly: {self.name}: {reason.value}: {last}'
            )
        self.ready_address = None
        self.callers.target = None
        self.peers.target = None
        self.callers.reset()
        self.peers.reset()
        self.ended.callback(None)
        if self.should_run:
            self.world.reactor.callLater(0.2, self._start_again)

    def _start_again(self):
        if self.should_run:
            self.start()

    def _signal(self, number):
        if self.is_running():
            self.transport.signalProcess(number)

    def _kill_if_running(self, pid):
        if self.is_running() and self.transport.pid == pid:
            self.world.records.broken.append(
                f'not stopped in time: {self.name}'
            )
            self.kill()

    def _handle_log_line(self, line):
        self.world.write_log_line(line)
        try:
            document = msgspec.json.decode(line)
        except msgspec.DecodeError:
            self.output_tail.append(line.decode(errors='replace'))
            return
        event = document.get('event')
        if event in _START_EVENTS:
            self._note_start(event, document)
        elif event in _OVERLOAD_EVENTS:
            self._note_overload(document)
        elif event in {'forward-crashed', 'peer-handler-failed'}:
            self.world.records.broken.append(f'crashed: {document}')
        elif _says_left(document):
            self.world.records.left.add(document['request'])

    def _note_overload(self, document):
        records = self.world.records
        now = self.world.reactor.seconds()
        if document['event'] == 'overloaded':
            records.overloads.append(Overload(self.name, now))
            return
        own = [each for each in records.overloads if each.host == self.name]
        own[-1].ended = now
        own[-1].closed = document['closed'] - self.closed
        self.closed = document['closed']

    def _note_start(self, event, document):
        if event == 'forward-started':
            self.callers.target = address(document['callers'])
            self.ready_address = address(document['ready'])
        elif event == 'forward-ready':
            self.world.records.ready_at.append(self.world.reactor.seconds())
        else:
            self.peers.target = address(document['peers'])


def _says_left(document):
    """Return whether a line says that a caller has closed its connection."""
    return (
        document.get('event') == 'caller-left'
        or document.get('outcome') == 'caller left'
    )
