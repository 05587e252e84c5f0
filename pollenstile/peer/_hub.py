"""Connections of a host to its peers, and dispatch of their messages."""

from dataclasses import replace

from pollenstile.ops.loops import guarded
from pollenstile.ops.timers import cancel_timer
from pollenstile.peer import events
from pollenstile.peer._dialer import Dialer
from pollenstile.peer._link import BEAT_PERIOD, SILENCE_LIMIT
from pollenstile.peer._messages import Beat
from pollenstile.peer._receiver import Receiver
from pollenstile.peer._requests import LOST, Requests, Unanswered
from pollenstile.peer._session import NONCE_BYTES, ProtocolError, Session

_TICK_SECONDS = 0.5
# Lateness of a check from which the time until it is the host's own silence:
# its process was stopped or its loop was busy, and what peers sent meanwhile
# has not been read yet.
_LATE_SECONDS = 0.2
_IDLE_SECONDS = 30.0
_NONCE_BITS = NONCE_BYTES * 8
_LOOP = 'links to peers'


class Hub:
    """Keeps the links to peers and dispatches their messages.

    Parameters
    ==========

    clock : IReactorTime
        Clock for heartbeats and silence.
    random : random.Random
        Source of nonces and jitter.
    hello : Hello
        Hello of this host.
    keys : tuple of bytes
        See :class:`Session`.
    connect : function
        Opens a connection, from an address and a receiver. The receiver has
        ``opened(wire)``, ``received(bytes)``, ``refused()`` (then ``lost()``)
        and ``lost()``; the wire has ``write(bytes)`` and ``close()``.
    log : function
        Writes log events.

    Attributes
    ==========

    links : dict
        Open links by host name.
    handshaking : list of Link
        Connections whose handshake is not complete.
    dialer : Dialer
        Opens outgoing connections.
    requests : Requests
        Requests sent to and received from peers.
    message_handlers : dict
        Functions that take a link and a message, by message type.
    link_up_handlers, link_down_handlers : list of function
        Called with a new link; called with the host name and the link that
        was lost.
    refused_handlers : list of function
        Called with an address that refused a connection.
    beat : function
        Returns the heartbeat of this host.
    tick, beat_period, silence_limit : float
        Seconds between checks of the links, between heartbeats, and without
        received bytes until a link counts as silent.
    """

    __slots__ = (
        'beat',
        'beat_period',
        'clock',
        'dialer',
        'handshaking',
        'hello',
        'keys',
        'link_down_handlers',
        'link_up_handlers',
        'links',
        'log',
        'message_handlers',
        'random',
        'received',
        'refused_handlers',
        'requests',
        'sent',
        'silence_limit',
        'stopped',
        'tick',
        'tick_due',
        'timer',
    )

    def __init__(self, clock, random, hello, keys, connect, log):
        self.clock = clock
        self.random = random
        self.hello = hello
        self.keys = keys
        self.log = log
        self.links = {}
        self.handshaking = []
        self.message_handlers = {}
        self.link_up_handlers = []
        self.link_down_handlers = []
        self.refused_handlers = []
        self.beat = Beat
        self.tick = _TICK_SECONDS
        self.beat_period = BEAT_PERIOD
        self.silence_limit = SILENCE_LIMIT
        self.tick_due = None
        self.timer = None
        self.stopped = False
        self.sent = 0
        self.received = 0
        self.dialer = Dialer(self, connect)
        self.requests = Requests(self)

    def start(self):
        """Start dialing, sending heartbeats and checking for silence."""
        self._tick()

    def stop(self):
        """Close all connections and stop the timer."""
        self.stopped = True
        cancel_timer(self.timer)
        for link in self.all_links():
            self.drop(link, 'stopped')

    def all_links(self):
        """Return all connections, including those in their handshake."""
        return [*self.links.values(), *self.handshaking]

    def accept(self, wire, address):
        """Return the receiver for a connection that a peer opened."""
        receiver = Receiver(self, address, dialing=False)
        receiver.opened(wire)
        return receiver

    def send_beats(self):
        """Send a heartbeat to all peers now, for an urgent change."""
        for link in list(self.links.values()):
            self.send_beat(link)

    def ask(self, host, subject, body, timeout, address=''):
        """Send a request to a host.

        Parameters
        ==========

        host : str
            Name of the peer.
        subject : str
            Subject of the request, a key of the peer's ``requests.subjects``.
        body : bytes
            Body in the encoding of the subject.
        timeout : float
            Seconds until the answer, including the time to connect.
        address : str
            Address to dial when there is no link; the request is sent when
            the link is open.

        Returns
        =======

        Deferred
            Fires with the answer's bytes or with :class:`Unanswered`.
        """
        if self.stopped or not self.keys:
            # A host that has just started can't dial before it has the key.
            address = ''
        return self.requests.ask(host, subject, body, timeout, address)

    def new_session(self, *, dialing):
        """Return a session with a new nonce."""
        nonce = self.random.getrandbits(_NONCE_BITS).to_bytes(NONCE_BYTES)
        hello = replace(self.hello, nonce=nonce)
        return Session(self.keys, hello, dialing=dialing)

    def receive(self, link, received):
        """Handle bytes received on a link."""
        self.received += len(received)
        was_open = link.is_open
        try:
            messages = link.receive(received, self.clock.seconds())
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
            self._link_opened(link)
        for message in messages:
            if not link.closed:
                self._deliver(link, message)

    def drop(self, link, reason):
        """Close a link and remove it."""
        if link.closed:
            return
        host = link.host
        link.closed = True
        link.wire.close()
        self.sent += link.sent
        if link in self.handshaking:
            self.handshaking.remove(link)
        self.dialer.connection_ended(link.receiver)
        for waiting in list(link.waiting.values()):
            if not waiting.called:
                waiting.callback(Unanswered('ask', host, LOST))
        if self.links.get(host) is not link:
            return
        self.links.pop(host)
        self.log(events.PEER_LOST, peer=host, reason=reason)
        for down in self.link_down_handlers:
            down(host, link)

    def bytes_sent(self):
        """Return the number of bytes sent to peers so far."""
        return self.sent + sum(link.sent for link in self.all_links())

    def _tick(self):
        now = self.clock.seconds()
        self._excuse_peers(now)
        check = guarded(self.log, _LOOP, _check_link)
        for link in self.all_links():
            check(self, link, now)
        guarded(self.log, _LOOP, self.dialer.dial_due)(now)
        pause = self.tick * self.random.uniform(0.8, 1.2)
        self.tick_due = now + pause
        self.timer = self.clock.callLater(pause, self._tick)

    def _excuse_peers(self, now):
        """Subtract this host's own silence from that of its peers."""
        late = now - (self.tick_due or now)
        if late < _LATE_SECONDS:
            return
        self.log(events.PEER_LATE, seconds=round(late, 3))
        for link in self.all_links():
            link.last_received += late

    def send_beat(self, link):
        """Send a heartbeat on a link."""
        link.last_beat_sent = self.clock.seconds()
        link.send(self.beat())

    def _link_opened(self, link):
        self.handshaking.remove(link)
        existing = self.links.get(link.host)
        if existing is not None and not self._should_replace(link, existing):
            self.drop(link, 'double')
            return
        self.links[link.host] = link
        if existing is not None:
            self.drop(existing, 'double')
        self.dialer.reset_failures(link.address)
        self.log(events.PEER_OPENED, peer=link.host, address=link.address)
        self.send_beat(link)
        for up in list(self.link_up_handlers):
            up(link)

    def _should_replace(self, link, existing):
        # A peer that dials again has lost its earlier connection or is a new
        # process with the same name. Two hosts that dial each other at the
        # same time must both keep the same connection.
        boot = link.session.peer.boot
        if boot != existing.session.peer.boot:
            return boot > existing.session.peer.boot
        if link.session.dialing == existing.session.dialing:
            return True
        return link.session.dialing == (self.hello.host < link.host)

    def _deliver(self, link, message):
        if isinstance(message, Beat):
            link.beat = message
        handler = self.message_handlers.get(type(message))
        if handler is None:
            return
        try:
            handler(link, message)
        except Exception as error:
            # A message whose handler fails must not close the link.
            self.log(
                events.PEER_HANDLER_FAILED,
                level='error',
                peer=link.host,
                error=repr(error),
            )


def _check_link(hub, link, now):
    """Drop a link that is silent or idle; send a heartbeat if one is due."""
    if link.is_silent(now, hub.silence_limit):
        hub.log(events.PEER_SILENT, peer=link.address)
        hub.drop(link, 'silent')
    elif _is_idle(hub, link, now):
        hub.drop(link, 'idle')
    elif link.is_open and now - link.last_beat_sent >= hub.beat_period:
        hub.send_beat(link)


def _is_idle(hub, link, now):
    if not link.is_open or not link.session.dialing:
        return False
    unwanted = link.host not in hub.dialer.wanted
    return unwanted and now - link.last_used > _IDLE_SECONDS
