"""An upstream that is a process of its own and ends its answers in some way.

Explanation
===========

``python endingupstream.py HOW PART WHOLE`` prints its port. It answers each
request with one of two texts in hexadecimal, after which the connection ends.
"""

import os
import signal
import socket
import sys
import threading
import time

_HOST = '127.0.0.1'
# Time for the first part to arrive before the connection ends.
_END_SECONDS = 0.1
_MOST_BYTES = 65536
_BLANK_LINE = b'\r\n\r\n'
# Longer than any scenario.
_ALIVE_SECONDS = 30


def read_request(connection):
    """Read a request; return whether there was one."""
    received = b''
    while _BLANK_LINE not in received:
        more = connection.recv(_MOST_BYTES)
        if not more:
            return False
        received += more
    head, _, body = received.partition(_BLANK_LINE)
    stated = head.lower().partition(b'content-length: ')[2].split()[:1]
    missing = sum(map(int, stated)) - len(body)
    while missing:
        missing -= len(connection.recv(missing))
    return True


def _read_some(connection):
    """Read the first bytes of a request; return whether there are any."""
    return bool(connection.recv(1))


def _kill(connection, listener):
    os.kill(os.getpid(), signal.SIGKILL)


def _close(connection, listener):
    connection.shutdown(socket.SHUT_RDWR)
    connection.close()


def _close_unread(connection, listener):
    connection.shutdown(socket.SHUT_WR)
    connection.close()


def _close_deaf(connection, listener):
    """Listen no more, and end the answer after that."""
    listener.shutdown(socket.SHUT_RDWR)
    listener.close()
    _close(connection, listener)


def _linger(connection, listener):
    """End the answer, and read until the other end closes as well."""
    connection.shutdown(socket.SHUT_WR)
    is_open = True
    while is_open:
        is_open = bool(connection.recv(_MOST_BYTES))
    connection.close()


# How a request is read, whether its answer is whole, and what ends it.
WAYS = {
    'is killed': (read_request, False, _kill),
    'is killed and replaced': (read_request, False, _kill),
    'closes an upload that it has not read': (
        _read_some,
        False,
        _close_unread,
    ),
    'ends its answer': (read_request, True, _close),
    'ends its answer and reads on': (read_request, True, _linger),
    'ends its answer after it has stopped to listen': (
        read_request,
        True,
        _close_deaf,
    ),
}


def _answer(connection, listener, way, texts):
    read, is_whole, end = way
    if read(connection):
        connection.sendall(texts[is_whole])
        time.sleep(_END_SECONDS)
        end(connection, listener)


def _serve(*arguments):
    connection = arguments[0]
    try:
        _answer(*arguments)
    except OSError:
        # The host has closed a connection on which it sends nothing.
        connection.close()


def _accept(listener, way, texts):
    while True:
        try:
            connection, _ = listener.accept()
        except OSError:
            time.sleep(_ALIVE_SECONDS)
            return
        threading.Thread(
            target=_serve, args=(connection, listener, way, texts), daemon=True
        ).start()


def _listen(port):
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((_HOST, port))
    listener.listen()
    return listener


def _succeed(port, way, texts):
    """Listen at a port as soon as it is free."""
    while True:
        try:
            listener = _listen(port)
        except OSError:
            continue
        _accept(listener, way, texts)


def main(how, *texts):
    """Serve as an upstream until the process is ended."""
    way = WAYS[how]
    texts = [bytes.fromhex(text) for text in texts]
    listener = _listen(0)
    port = listener.getsockname()[1]
    sys.stdout.write(f'{port}\n')
    sys.stdout.flush()
    if how == 'is killed and replaced' and os.fork():
        listener.close()
        _succeed(port, way, texts)
    _accept(listener, way, texts)


if __name__ == '__main__':
    main(*sys.argv[1:])
