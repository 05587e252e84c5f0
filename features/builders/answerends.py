"""Builders of hosts whose upstream is a process that ends in some way."""

import subprocess
import sys

from features.builders import endingupstream
from features.builders.bodyends import stream_event
from features.builders.forwardhost import ForwardHost
from features.builders.malformed import ROUTES, received_through
from features.builders.tunnels import TunnelStory
from pollenstile.forward import Upstream

# A body that is whole on each route, and a part that ends between events.
PART = stream_event(1, b'\n') + stream_event(2, b'\n')
WHOLE = PART + stream_event(3, b'\n')
_HEAD = b'HTTP/1.1 200 OK\r\nX-Attempt: a1\r\nX-Proof: p\r\n\r\n'
# Fits into the buffers of a system.
UPLOAD_BYTES = 20_000


class EndingUpstream:
    """A process that ends its answers in some way.

    Parameters
    ==========

    how : str
        Key of ``endingupstream.WAYS``.
    head : bytes
        Head of its answers.
    """

    def __init__(self, how, head=_HEAD):
        answers = [(head + body).hex() for body in (PART, WHOLE)]
        self.process = subprocess.Popen(
            (sys.executable, endingupstream.__file__, how, *answers),
            stdout=subprocess.PIPE,
            text=True,
            start_new_session=True,
        )
        self.address = f'127.0.0.1:{int(self.process.stdout.readline())}'

    def stop(self):
        """End the process."""
        self.process.kill()
        self.process.communicate()


def received_by_kind(how, path, upload=UPLOAD_BYTES):
    """Return what the caller of each kind of route gets of an upstream.

    Parameters
    ==========

    how : str
        Key of ``endingupstream.WAYS``.
    path : str
        ``'directly'``, ``'through a peer'`` or ``'through an older peer'``.
    upload : int
        Bytes of the caller's body.

    Returns
    =======

    dict
        :class:`~features.builders.malformed.Received` by kind.
    """
    return {
        kind: _received(how, path, route, upload)
        for kind, route in ROUTES.items()
    }


def _received(how, path, route, upload):
    upstream = EndingUpstream(how)
    host = ForwardHost(upstreams=0)
    core = host.factory.core
    core.registry.apply('i', Upstream('i', 'desk', upstream.address, 'd'))
    tunnel = TunnelStory(upstream.address)
    tunnel.is_older = path == 'through an older peer'
    if path != 'directly':
        core.client.paths = tunnel.client.paths
    got = received_through(host, route, body=bytes(upload))
    tunnel.stop()
    host.stop()
    upstream.stop()
    return got
