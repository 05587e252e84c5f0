"""One connection to a peer: session, heartbeat, silence."""

from pollenstile.peer._messages import Beat
from pollenstile.peer._session import State

# A beat comes every other second; a path that forgot the connection swallows
# them, and after two lost beats and a half the connection counts as silent.
# Both are a hub's defaults; a host whose peers wait for its answers within a
# second or two sets shorter ones.
BEAT_PERIOD = 2.0
SILENCE_LIMIT = 5.0
# A stranger may hold a connection that says nothing only this long.
OPENING_SECONDS = 3.0


class Link:
    """A connection and when it was last heard.

    Parameters
    ==========

    session : Session
        Handshake and seals.
    wire : object
        With ``write(bytes)`` and ``close()``.
    receiver : Receiver
        Whose bytes these are; knows the address.
    now : float
        Seconds on the clock.

    Attributes
    ==========

    heard, beaten : float
        When the last bytes came and the last beat went.
    beat : Beat
        The peer's last one.
    waiting : dict
        Deferreds of requests without an answer, by number.
    """

    __slots__ = (
        'beat',
        'beaten',
        'closed',
        'heard',
        'received',
        'receiver',
        'sent',
        'session',
        'used',
        'waiting',
        'wire',
    )

    def __init__(self, session, wire, receiver, now):
        self.session = session
        self.wire = wire
        self.receiver = receiver
        self.heard = now
        self.beaten = now
        self.used = now
        self.beat = Beat()
        self.waiting = {}
        self.closed = False
        self.sent = 0
        self.received = 0

    @property
    def address(self):
        """What was dialed, or where it came from."""
        return self.receiver.address

    @property
    def is_open(self):
        """Whether the peer has proven to know the key."""
        return self.session.state == State.OPEN and not self.closed

    @property
    def host(self):
        """The peer's name, empty before it is proven."""
        opened = self.session.state == State.OPEN
        return self.session.peer.host if opened else ''

    def write(self, content):
        """Send bytes."""
        if content and not self.closed:
            self.sent += len(content)
            self.wire.write(content)

    def send(self, message):
        """Send a message."""
        if self.is_open:
            self.write(self.session.sealed(message))

    def take(self, received, now):
        """Return messages from bytes received, after answering a handshake.

        Raises
        ======

        ProtocolError
            When the connection has to be closed.
        """
        self.received += len(received)
        reply, messages = self.session.take(received)
        self.write(reply)
        self.heard = now
        return messages

    def is_silent(self, now, silence_limit=SILENCE_LIMIT):
        """Return whether nothing came for too long."""
        limit = silence_limit if self.is_open else OPENING_SECONDS
        return now - self.heard > limit
