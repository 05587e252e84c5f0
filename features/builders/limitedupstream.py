"""An upstream that is a process of its own, with few or short connections.

Explanation
===========

``python -m features.builders.limitedupstream OPTIONS`` prints its port. The
options are in JSON; see :class:`~features.builders.endraces.LimitedUpstream`.
"""

import json
import os
import resource
import signal
import socket
import struct
import sys
import threading
import time

from features.builders.endingupstream import read_request

_HOST = '127.0.0.1'
# Longer than any scenario.
_ALIVE_SECONDS = 30
_FIRST_EVENT = 3
_RESET = struct.pack('ii', 1, 0)


class _Upstream:
    """Answers each request with two parts, some time apart."""

    def __init__(self, options):
        self.options = options
        self.open = 0
        self.others = []

    def listen(self, port=0):
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((_HOST, port))
        listener.listen(128)
        return listener

    def accept(self, listener):
        while listener:
            connection, _ = listener.accept()
            if self.options['others'] and self.open and not self.others:
                self.open_others()
            if self.open >= self.options['connections']:
                reset(connection)
                continue
            self.open += 1
            if self.options['is_sequential']:
                self.serve(connection)
                continue
            threading.Thread(
                target=self.serve, args=(connection,), daemon=True
            ).start()

    def serve(self, connection):
        try:
            self.answer(connection)
        except OSError:
            connection.close()
        self.open -= 1

    def answer(self, connection):
        connection.settimeout(self.options['idle_seconds'])
        if not read_request(connection):
            connection.close()
            return
        first, second = map(bytes.fromhex, self.options['parts'])
        connection.settimeout(None)
        connection.sendall(first)
        repeats = self.options['repeats']
        connection.sendall(events(repeats))
        if self.options['kill_seconds']:
            time.sleep(self.options['kill_seconds'])
            os.kill(os.getpid(), signal.SIGKILL)
        time.sleep(self.options['pause_seconds'])
        connection.sendall(second)
        connection.shutdown(socket.SHUT_RDWR)
        connection.close()
        if self.options['exits']:
            time.sleep(self.options['exit_seconds'])
            os._exit(0)

    def open_others(self):
        """Open connections between the first answer's and the next one's."""
        most = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
        resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))
        listener = self.listen()
        for _ in range(self.options['others']):
            self.others.append(socket.create_connection(listener.getsockname()))
            self.others.append(listener.accept()[0])


def reset(connection):
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    connection.close()


def events(count):
    """Return events of a stream that go on after the second one."""
    numbers = range(_FIRST_EVENT, _FIRST_EVENT + count)
    return b''.join(
        b': %d\nid: %d\ndata: {}\n\n' % (number, number) for number in numbers
    )


def refuse(connection, is_silent):
    """Answer nothing: reset a connection with a request, or keep it."""
    try:
        if is_silent:
            time.sleep(_ALIVE_SECONDS)
        elif read_request(connection):
            reset(connection)
    except OSError:
        connection.close()


def succeed(listener, is_silent):
    while listener:
        connection, _ = listener.accept()
        threading.Thread(
            target=refuse, args=(connection, is_silent), daemon=True
        ).start()


def main(options):
    """Serve as an upstream until the process is ended."""
    upstream = _Upstream(options)
    listener = upstream.listen()
    port = listener.getsockname()[1]
    sys.stdout.write(f'{port}\n')
    sys.stdout.flush()
    successor = options['successor']
    if successor == 'parent' and (worker := os.fork()):
        os.waitpid(worker, 0)
        succeed(listener, is_silent=False)
    if successor in {'restart', 'silent restart'} and os.fork():
        listener.close()
        while True:
            try:
                succeed(upstream.listen(port), successor != 'restart')
            except OSError:
                continue
    upstream.accept(listener)


if __name__ == '__main__':
    main(json.loads(sys.argv[1]))
