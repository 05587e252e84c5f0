"""Builders of answers whose upstream ends while connections to it are few."""

import json
import os
import signal
import subprocess
import sys
from contextlib import suppress

from twisted.internet import reactor
from twisted.internet.task import deferLater

from features.builders import limitedupstream
from features.builders.bodyends import stream_event
from features.builders.forwardhost import ForwardHost, request
from features.builders.loop import result_of, run_reactor_until
from features.builders.malformed import ROUTES, received_through
from features.builders.processes import ROOT
from pollenstile.forward import Upstream

_HEAD = b'HTTP/1.1 200 OK\r\nX-Attempt: a1\r\nX-Proof: p\r\n\r\n'
FIRST = stream_event(1, b'\n') + stream_event(2, b'\n')
REST = stream_event(3, b'\n')
# Their answer fills the buffers on the way to a caller that reads nothing.
_EVENTS = 150_000
_NO_LIMIT = 10_000
_KILL_SECONDS = 0.2


class LimitedUpstream:
    """A process that answers without a length, in two parts.

    Parameters
    ==========

    first, rest : bytes
        Parts of its answers.
    repeats : int
        Events after the first part.
    pause_seconds : float
        Time between them.
    connections : int
        Connections that it keeps; it resets any other one.
    idle_seconds : float or None
        Time after which it closes a connection without a request.
    others : int
        Pairs of connections that it opens after its first answer began.
    is_sequential : bool
        Whether it accepts a connection only after it has served the last one.
    kill_seconds : float
        Time from the first part until it is killed; 0 if it is not.
    exits : bool
        Whether it ends after its first answer, ``exit_seconds`` later.
    successor : str
        ``'restart'`` for a process that listens at once when it has ended,
        ``'silent restart'`` for one that sends nothing, ``'parent'`` for one
        that had the listening socket all the time.
    """

    def __init__(self, **options):
        first = options.pop('first', FIRST)
        rest = options.pop('rest', REST)
        defaults = {
            'parts': [(_HEAD + first).hex(), rest.hex()],
            'repeats': 0,
            'pause_seconds': 0,
            'connections': _NO_LIMIT,
            'idle_seconds': None,
            'others': 0,
            'is_sequential': False,
            'kill_seconds': 0,
            'exits': False,
            'exit_seconds': 0,
            'successor': '',
        }
        self.process = subprocess.Popen(
            (
                sys.executable,
                '-m',
                limitedupstream.__name__,
                json.dumps(defaults | options),
            ),
            cwd=ROOT,
            stdout=subprocess.PIPE,
            text=True,
            start_new_session=True,
        )
        self.address = f'127.0.0.1:{int(self.process.stdout.readline())}'

    def stop(self):
        """End the process and its successor."""
        with suppress(ProcessLookupError):
            os.killpg(self.process.pid, signal.SIGKILL)
        self.process.communicate()


def host_of(upstream, born=0):
    """Return a host with an upstream."""
    host = ForwardHost(upstreams=0)
    entry = Upstream('i', 'desk', upstream.address, 'd', slots=100, born=born)
    host.factory.core.registry.apply('i', entry)
    return host


def received_of(options, upload=200, born=0):
    """Return what the caller of each kind of route gets, by kind."""
    results = {}
    for kind, route in ROUTES.items():
        upstream = LimitedUpstream(**options)
        host = host_of(upstream, born)
        results[kind] = received_through(host, route, body=bytes(upload))
        host.stop()
        upstream.stop()
    return results


def read_late(route, seconds):
    """Return what a caller gets that reads nothing for some seconds.

    Explanation
    ===========

    Its upstream is killed meanwhile, and another process takes its place.
    """
    upstream = LimitedUpstream(
        repeats=_EVENTS, successor='restart', kill_seconds=_KILL_SECONDS
    )
    host = host_of(upstream)
    caller = host.send(request(b'/%s/x' % route, b'Connection: close\r\n'))
    run_reactor_until(lambda: caller.transport)
    caller.transport.pauseProducing()
    wait(seconds)
    caller.transport.resumeProducing()
    run_reactor_until(lambda: caller.closed)
    host.stop()
    upstream.stop()
    return caller.received


def wait(seconds):
    """Iterate the reactor for some time."""
    result_of(deferLater(reactor, seconds))


def complete_streams(count, others, kills):
    """Return the number of streams that are complete after kills.

    Explanation
    ===========

    Several streams without a length are open at one upstream. It is killed in
    the middle of all of them, and nothing takes its place.
    """
    return sum(_complete_after_kill(count, others) for _ in range(kills))


def _complete_after_kill(count, others):
    upstream = LimitedUpstream(others=others, pause_seconds=20)
    host = host_of(upstream)
    sent = request(b'/stream/x', b'Connection: close\r\n')
    streams = [host.send(sent)]
    wait(0.1)
    streams.extend(host.send(sent) for _ in range(count - 1))
    run_reactor_until(
        lambda: all(REST[:1] in stream.received for stream in streams)
    )
    wait(0.2)
    os.kill(upstream.process.pid, signal.SIGKILL)
    run_reactor_until(lambda: all(stream.closed for stream in streams))
    host.stop()
    upstream.stop()
    return sum(stream.received.endswith(b'0\r\n\r\n') for stream in streams)
