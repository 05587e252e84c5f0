"""Entry hosts of a live run: processes that signals strike."""

import os
import signal
import sys

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.protocol import ProcessProtocol

from pollenstile.ops.settings import address, shown
from pollenstile.soak.live._proxy import LOOPBACK, Proxy

COMMAND = (sys.executable, '-m', 'pollenstile.ops')
# Seconds that a host has to finish after SIGTERM until it is killed.
GRACE_SECONDS = 5.0
REVOKE_SECONDS = 3.0
DRAIN_SECONDS = 2.0
_KILL_MARGIN_SECONDS = 1.0


class LiveHost(ProcessProtocol):
    """One entry host: a process, and proxies before its addresses.

    Parameters
    ==========

    world : World
        Reactor, records and store.
    name : str
        Of the host.
    command : tuple of str
        Runs the program; its flags follow.

    Attributes
    ==========

    callers, peers, store : Proxy
        Before the callers' and the peers' address, and towards the store.
    ready : bool
        Whether it said so when it was asked last.
    ready_address : tuple or None
        Where it is asked; None while it does not run.
    paused, leaving, wanted : bool
        Whether it stands still, was told to stop, is to run at all.
    """

    def __init__(self, world, name, command=COMMAND):
        self.world = world
        self.name = name
        self.command = command
        self.callers = Proxy(world.reactor)
        self.peers = Proxy(world.reactor)
        self.store = Proxy(world.reactor)
        self.store.target = world.store_address
        self.ready = False
        self.ready_address = None
        self.paused = False
        self.leaving = False
        self.should_run = True
        self.partial_line = b''
        self.ended = Deferred()
        self.output_tail = []

    def start(self):
        """Start the process."""
        flags = {
            'host': self.name,
            'domain': 'here',
            'store': shown(self.store.address),
            'callers': shown((LOOPBACK, 0)),
            'ready': shown((LOOPBACK, 0)),
            'peers': shown((LOOPBACK, 0)),
            'peers-seen': shown(self.peers.address),
            'revoke-seconds': str(REVOKE_SECONDS),
            'drain-seconds': str(DRAIN_SECONDS),
            'grace-seconds': str(GRACE_SECONDS),
        }
        arguments = [*self.command, 'forward']
        for name, content in flags.items():
            arguments.extend((f'--{name}', content))
        self.ended = Deferred()
        self.ready = False
        self.paused = False
        self.leaving = False
        self.partial_line = b''
        self.world.reactor.spawnProcess(
            self, arguments[0], arguments, env=dict(os.environ)
        )

    def kill(self):
        """End it at once."""
        self._signal(signal.SIGKILL)

    def pause(self):
        """Let it stand still."""
        self._signal(signal.SIGSTOP)
        self.paused = True

    def resume(self):
        """Let it go on."""
        self._signal(signal.SIGCONT)
        self.paused = False

    def stop(self):
        """Tell it to stop; it is killed when its grace time is over."""
        if self.leaving or not self.is_running():
            return
        self.leaving = True
        self.transport.signalProcess(signal.SIGTERM)
        pid = self.transport.pid
        self.world.reactor.callLater(
            GRACE_SECONDS + _KILL_MARGIN_SECONDS, self._kill_if_running, pid
        )

    def is_running(self):
        """Return whether the process lives."""
        return self.transport is not None and self.transport.pid is not None

    def end_permanently(self):
        """Kill it and start it no more; return a Deferred of its end."""
        self.should_run = False
        if self.is_running():
            self.kill()
            return self.ended
        done = Deferred()
        done.callback(None)
        return done

    def outReceived(self, data):
        """Read its log; called by twisted."""
        *lines, partial_line = (self.partial_line + data).split(b'\n')
        self.partial_line = partial_line
        for line in lines:
            self._handle_log_line(line)

    def errReceived(self, data):
        """Keep what it says last; called by twisted."""
        self.output_tail.append(data.decode(errors='replace'))

    def processEnded(self, reason):
        """Start it again; called by twisted."""
        expected = self.leaving or reason.value.signal == signal.SIGKILL
        if not expected:
            last = ''.join(self.output_tail)[-600:]
            self.world.records.broken.append(
                f'ended by itself: {self.name}: {reason.value}: {last}'
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
            self.world.records.broken.append(f'not stopped: {self.name}')
            self.kill()

    def _handle_log_line(self, line):
        self.world.write_log_line(line)
        try:
            document = msgspec.json.decode(line)
        except msgspec.DecodeError:
            self.output_tail.append(line.decode(errors='replace'))
            return
        event = document.get('event')
        if event == 'forward-started':
            self.callers.target = address(document['callers'])
            self.ready_address = address(document['ready'])
        elif event == 'forward-joined':
            self.peers.target = address(document['peers'])
        elif event in {'forward-crashed', 'peer-handler-failed'}:
            self.world.records.broken.append(f'crashed: {document}')
