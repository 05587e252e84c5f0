"""An engine that is a process of its own and is killed within a stream.

Explanation
===========

``python killedengine.py FIRST MORE`` prints its port. It answers a request by a
stream without framing: ``FIRST`` events of a new one, ``MORE`` of one that goes
on. Then it kills itself.
"""

import os
import re
import signal
import socket
import sys
import threading
import time

_HOST = '127.0.0.1'
# Time for the events to arrive before the process ends.
_END_SECONDS = 0.1
_MOST_BYTES = 65536
_HEAD = b'HTTP/1.1 200 OK\r\nX-Attempt: a1\r\nX-Proof: p\r\n\r\n'
_AFTER = re.compile(rb'(?i)last-event-id: (\d+)')


def event(number):
    """Return an event of its streams."""
    return b'id: %d\ndata: piece %d\n\n' % (number, number)


def _answer(connection, first, more):
    received = connection.recv(_MOST_BYTES)
    if not received:
        # A connection of the host that carries no request.
        return
    found = _AFTER.search(received)
    after, count = (int(found[1]), more) if found else (0, first)
    numbers = range(after + 1, after + count + 1)
    connection.sendall(_HEAD + b''.join(map(event, numbers)))
    time.sleep(_END_SECONDS)
    os.kill(os.getpid(), signal.SIGKILL)


def main(*counts):
    """Serve until the first answer has ended."""
    counts = [int(count) for count in counts]
    listener = socket.create_server((_HOST, 0))
    sys.stdout.write(f'{listener.getsockname()[1]}\n')
    sys.stdout.flush()
    while listener.fileno() >= 0:
        connection, _ = listener.accept()
        threading.Thread(
            target=_answer, args=(connection, *counts), daemon=True
        ).start()


if __name__ == '__main__':
    main(*sys.argv[1:])
