"""Builders of sessions, hubs in virtual time, and the next schema."""

import pathlib
from random import Random

from twisted.internet.task import Clock

from pollenstile.peer import (
    MIN_VERSION,
    VERSION,
    Hello,
    Hub,
    Session,
    VirtualWires,
    load_schema,
    parse_keys,
)

NEXT_SCHEMA = load_schema(
    pathlib.Path(__file__).with_name('messages_next.capnp'),
)


def hello_of(host, number=1, boot=1, version=VERSION, least=MIN_VERSION):
    """Return the hello of a host."""
    return Hello(
        version,
        least,
        host,
        'clark',
        f'10.0.0.{number}:82',
        boot,
        bytes([number]) * 16,
    )


def opened_sessions(key='shared'):
    """Return a dialer's and a listener's session after their handshake."""
    dialer = Session(parse_keys(key), hello_of('a', 1), dialing=True)
    listener = Session(parse_keys(key), hello_of('b', 2), dialing=False)
    accepted, _ = listener.receive(dialer.first_bytes())
    proof, _ = dialer.receive(accepted)
    listener.receive(proof)
    return dialer, listener


class PeerWorld:
    """Hubs connected by virtual wires, and their log events."""

    __slots__ = ('clock', 'cut', 'events', 'hubs', 'wires')

    def __init__(self):
        self.clock = Clock()
        self.cut = False
        self.events = []
        self.hubs = {}
        self.wires = VirtualWires(
            self.clock,
            lambda one, other: 0.001,
            lambda one, other: self.cut,
        )

    def hub(self, host, key='shared', boot=1, **version):
        """Start and return a hub."""
        number = len(self.hubs) + 1
        hello = hello_of(host, number, boot, **version)
        hub = Hub(
            self.clock,
            Random(number),
            hello,
            parse_keys(key),
            self.wires.connect_from(hello.address),
            self._logger(host),
        )
        self.hubs[host] = hub
        self.wires.hubs[hello.address] = hub
        hub.start()
        return hub

    def keep_links(self, host, *others):
        """Make a host keep links to other hosts."""
        for other in others:
            address = self.hubs[other].hello.address
            self.hubs[host].dialer.wanted[other] = address

    def run(self, seconds):
        """Advance the virtual clock."""
        for _ in range(round(seconds * 100)):
            self.clock.advance(0.01)

    def count(self, name, host=None):
        """Return the number of log events of a name, by one host or any."""
        return sum(
            1
            for origin, event, _ in self.events
            if event == name and host in {None, origin}
        )

    def _logger(self, host):
        def log(event, level='info', **fields):
            self.events.append((host, event.name, fields))

        return log
