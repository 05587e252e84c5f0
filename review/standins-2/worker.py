"""An engine with one slot, on a listening socket that it gets at its start.

Called with the socket's descriptor, the engine's identifier and the seconds
that it needs until it serves. It has one thread: it accepts channels and reads
requests between its runs. Answers have no length and end with their channel.
"""

import json
import select
import socket
import sys
import time

PARTS = 4
PART_SECONDS = 0.1


def body_of(attempt):
    """Return the parts of the answer to a request."""
    return [f'{number}/{PARTS} of {attempt}\n' for number in range(1, PARTS + 1)]


def read_request(channel):
    """Return head and body of a request, or None if the channel has ended."""
    received = b''
    while b'\r\n\r\n' not in received:
        data = channel.recv(65536)
        if not data:
            return None
        received += data
    head, _, body = received.partition(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(':')
        fields[name.lower()] = value.strip()
    while len(body) < int(fields.get('content-length', 0)):
        body += channel.recv(65536)
    return lines[0], fields


def say(*words):
    print(*words, flush=True)


def serve(channel, ident):
    request = read_request(channel)
    if request is None:
        return
    first, fields = request
    if fields.get('x-expect-instance', ident) != ident:
        channel.sendall(b'HTTP/1.1 421 Misdirected\r\nX-Not-Run: 1\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n' % ident.encode())
        return
    if first.split(' ')[1] in ('/health', '/v1/report'):
        report = json.dumps({'queued': 0, 'running': 0}).encode()
        channel.sendall(b'HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s' % (ident.encode(), len(report), report))
        return
    attempt = fields['x-attempt-id']
    say('begins', attempt)
    channel.sendall(f'HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Response-Stamp: stamp.{ident}\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n'.encode())
    for part in body_of(attempt):
        channel.sendall(part.encode())
        time.sleep(PART_SECONDS)
    say('ends', attempt)


def main(descriptor, ident, seconds):
    time.sleep(seconds)
    listener = socket.socket(fileno=descriptor)
    say('serves')
    channels = []
    while True:
        for source in select.select([listener, *channels], [], [])[0]:
            if source is listener:
                channels.append(listener.accept()[0])
                continue
            channels.remove(source)
            try:
                serve(source, ident)
            except OSError:
                pass
            source.close()


if __name__ == '__main__':
    main(int(sys.argv[1]), sys.argv[2], float(sys.argv[3]))
