"""Builders of peers: sessions, hubs in virtual time, and next releases."""

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
    parse_keys,
    load_schema,
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
    """Return two sessions after their handshake, dialer first."""
    dialer = Session(parse_keys(key), hello_of('a', 1), dialing=True)
    listener = Session(parse_keys(key), hello_of('b', 2), dialing=False)
    accepted, _ = listener.take(dialer.first_bytes())
    proof, _ = dialer.take(accepted)
    listener.take(proof)
    return dialer, listener


class PeerWorld:
    """Hubs over virtual wires, and what they logged."""

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
        """Start a hub; return it."""
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

    def wants(self, host, *others):
        """Let a host keep links to others."""
        for other in others:
            address = self.hubs[other].hello.address
            self.hubs[host].dialer.wanted[other] = address

    def run(self, seconds):
        """Let time pass."""
        for _ in range(round(seconds * 100)):
            self.clock.advance(0.01)

    def count(self, name, host=None):
        """Return how often an event was logged."""
        return sum(
            1
            for who, event, _ in self.events
            if event == name and host in {None, who}
        )

    def _logger(self, host):
        def log(event, level='info', **fields):
            self.events.append((host, event.name, fields))

        return log
