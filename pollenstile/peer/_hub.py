"""All of a host's connections to peers."""

from dataclasses import replace

from pollenstile.peer import events
from pollenstile.peer._dialer import Dialer
from pollenstile.peer._link import BEAT_PERIOD, SILENCE_LIMIT
from pollenstile.peer._messages import Beat
from pollenstile.peer._receiver import Receiver
from pollenstile.peer._requests import Requests, Unanswered
from pollenstile.peer._session import NONCE_BYTES, ProtocolError, Session

_TICK = 0.5
_IDLE_SECONDS = 30.0
_NONCE_BITS = NONCE_BYTES * 8


class Hub:
    """Links by host, and what is done with their messages.

    Parameters
    ==========

    clock : IReactorTime
        Measures beats and silence.
    random : random.Random
        Nonces and jitter.
    hello : Hello
        The own one.
    keys : tuple of bytes
        See :class:`Session`.
    connect : function
        Takes an address and a receiver, opens a connection. The receiver has
        ``opened(wire)``, ``received(bytes)`` and ``lost()``; the wire has
        ``write(bytes)`` and ``close()``.
    log : function
        Writes events.

    Attributes
    ==========

    links : dict
        Open links by host.
    others : list of Link
        Connections in their handshake.
    dialer : Dialer
        Who is dialed.
    requests : Requests
        What is asked.
    takers : dict
        Functions of link and message, by type of message.
    ups, downs : list of function
        Called with a new link; with the host and the link that it lost.
    beat : function
        Returns the own heartbeat.
    tick, beat_period, silence_limit : float
        Seconds between looks at the links, between heartbeats, and without a
        byte until a link counts as silent.
    """

    __slots__ = (
        'beat',
        'beat_period',
        'clock',
        'dialer',
        'link_down_handlers',
        'hello',
        'keys',
        'links',
        'log',
        'others',
        'random',
        'received',
        'requests',
        'sent',
        'silence_limit',
        'stopped',
        'message_handlers',
        'tick',
        'timer',
        'link_up_handlers',
    )

    def __init__(self, clock, random, hello, keys, connect, log):
        self.clock = clock
        self.random = random
        self.hello = hello
        self.keys = keys
        self.log = log
        self.links = {}
        self.others = []
        self.message_handlers = {}
        self.link_up_handlers = []
        self.link_down_handlers = []
        self.beat = Beat
        self.tick = _TICK
        self.beat_period = BEAT_PERIOD
        self.silence_limit = SILENCE_LIMIT
        self.timer = None
        self.stopped = False
        self.sent = 0
        self.received = 0
        self.dialer = Dialer(self, connect)
        self.requests = Requests(self)

    def start(self):
        """Dial, beat and watch for silence from now on."""
        self._tick()

    def stop(self):
        """Close all connections."""
        self.stopped = True
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        for link in self.all_links():
            self.drop(link, 'stopped')

    def all_links(self):
        """Return every connection, in handshake too."""
        return [*self.links.values(), *self.others]

    def accept(self, wire, address):
        """Return the receiver of a connection that a peer opened."""
        receiver = Receiver(self, address, dialing=False)
        receiver.opened(wire)
        return receiver

    def send_beats(self):
        """Send a heartbeat at once, for news that can't wait."""
        for link in list(self.links.values()):
            self._beat(link)

    def ask(self, host, subject, body, timeout, address=''):
        """Send a request to a host.

        Parameters
        ==========

        host : str
            The peer's name.
        subject : str
            What is asked; the peer's ``requests.subjects`` has it.
        body : bytes
            As the subject has it.
        timeout : float
            Seconds for the answer, the connection included.
        address : str
            Dialed when there is no link; the request waits for it.

        Returns
        =======

        Deferred
            Of bytes, or of :class:`Unanswered`.
        """
        if self.stopped:
            address = ''
        return self.requests.ask(host, subject, body, timeout, address)

    def fresh_session(self, *, dialing):
        """Return a session with a nonce of its own."""
        nonce = self.random.getrandbits(_NONCE_BITS).to_bytes(NONCE_BYTES)
        hello = replace(self.hello, nonce=nonce)
        return Session(self.keys, hello, dialing=dialing)

    def take(self, link, received):
        """Handle bytes that a link received."""
        self.received += len(received)
        was_open = link.is_open
        try:
            messages = link.take(received, self.clock.seconds())
        except ProtocolError as error:
            self.log(
                events.PEER_REFUSED,
                level='warning',
                peer=link.address,
                reason=str(error),
            )
            self.drop(link, str(error))
            return
        if link.is_open and not was_open:
            self._met(link)
        for message in messages:
            if not link.closed:
                self._deliver(link, message)

    def drop(self, link, reason):
        """Close a link and forget it."""
        if link.closed:
            return
        host = link.host
        link.closed = True
        link.wire.close()
        self.sent += link.sent
        if link in self.others:
            self.others.remove(link)
        self.dialer.ended(link.receiver)
        for waiting in list(link.waiting.values()):
            if not waiting.called:
                waiting.callback(Unanswered('ask', host, 'lost'))
        if self.links.get(host) is not link:
            return
        self.links.pop(host)
        self.log(events.PEER_LOST, peer=host, reason=reason)
        for down in self.link_down_handlers:
            down(host, link)

    def bytes_sent(self):
        """Return all bytes sent to peers so far."""
        return self.sent + sum(link.sent for link in self.all_links())

    def _tick(self):
        now = self.clock.seconds()
        for link in self.all_links():
            if link.is_silent(now, self.silence_limit):
                self.log(events.PEER_SILENT, peer=link.address)
                self.drop(link, 'silent')
            elif self._is_idle(link, now):
                self.drop(link, 'idle')
            elif link.is_open and now - link.beaten >= self.beat_period:
                self._beat(link)
        self.dialer.dial_due(now)
        pause = self.tick * self.random.uniform(0.8, 1.2)
        self.timer = self.clock.callLater(pause, self._tick)

    def _is_idle(self, link, now):
        if not link.is_open or not link.session.dialing:
            return False
        unwanted = link.host not in self.dialer.wanted
        return unwanted and now - link.used > _IDLE_SECONDS

    def _beat(self, link):
        link.beaten = self.clock.seconds()
        link.send(self.beat())

    def _met(self, link):
        self.others.remove(link)
        before = self.links.get(link.host)
        if before is not None and not self._is_better(link, before):
            self.drop(link, 'double')
            return
        self.links[link.host] = link
        if before is not None:
            self.drop(before, 'double')
        self.dialer.reached(link.address)
        self.log(events.PEER_OPENED, peer=link.host, address=link.address)
        self._beat(link)
        for up in list(self.link_up_handlers):
            up(link)

    def _is_better(self, link, before):
        # A peer that dials again has lost the connection before, or is a new
        # process at the same name. Two hosts that dial each other at one time
        # must keep the same one of the two connections.
        boot = link.session.peer.boot
        if boot != before.session.peer.boot:
            return boot > before.session.peer.boot
        if link.session.dialing == before.session.dialing:
            return True
        return link.session.dialing == (self.hello.host < link.host)

    def _deliver(self, link, message):
        if isinstance(message, Beat):
            link.beat = message
        taker = self.message_handlers.get(type(message))
        if taker is None:
            return
        try:
            taker(link, message)
        except Exception as error:
            # One message that its taker can't bear must not end the link.
            self.log(
                events.PEER_HANDLER_FAILED,
                level='error',
                peer=link.host,
                error=repr(error),
            )
