"""The handshake and the sealing of frames, without I/O.

Explanation
===========

Both sides show that they know the shared key, over both nonces and names:

1. The dialer sends its hello and a tag of it.
2. The listener answers with its hello and a tag over both hellos.
3. The dialer sends a tag over both hellos; its first frame may follow.

Each later frame carries a tag over its number in its direction, under a key
derived from both hellos, so that a frame can't be forged, repeated, left out
or moved to another connection. A listener sends nothing to whom the first tag
shows to be a stranger, and decodes no byte that has no right tag.
"""

import enum
import hashlib
import hmac

from pollenstile.peer._frames import (
    FRAME_LIMIT,
    OPENING_LIMIT,
    Frames,
    OversizeError,
    framed,
)
from pollenstile.peer._messages import (
    BadMessageError,
    hello_bytes,
    hello_from,
    message_bytes,
    message_from,
)

VERSION = 1
MIN_VERSION = 1
NONCE_BYTES = 16

_TAG = 32
_SHORT_TAG = 16
_NUMBER = 8
_HASH = 'sha256'


class State(enum.Enum):
    """How far a session has come."""

    WAITING_HELLO = 'waiting for a hello'
    WAITING_PROOF = 'waiting for the proof'
    OPEN = 'open'
    CLOSED = 'closed'


class ProtocolError(Exception):
    """The other side is no peer, or broke the protocol; the reason."""


def _tag(key, label, *parts):
    return hmac.digest(key, label + b''.join(parts), _HASH)


class Session:
    """One connection's handshake and its counters.

    Parameters
    ==========

    keys : tuple of bytes
        The first is used when dialing; a listener takes any of them, so that
        the key can be changed host by host.
    hello : Hello
        The own one, with a fresh nonce.
    dialing : bool
        Whether this side opened the connection.

    Attributes
    ==========

    peer : Hello or None
        The other side, once it has proven to know the key.
    version : int
        The protocol version that both speak.
    """

    __slots__ = (
        'dialing',
        'frames',
        'hello',
        'key',
        'keys',
        'opened',
        'own',
        'peer',
        'received',
        'seal_in',
        'seal_out',
        'sent',
        'state',
        'version',
    )

    def __init__(self, keys, hello, *, dialing):
        self.keys = keys
        self.key = keys[0]
        self.hello = hello
        self.own = hello_bytes(hello)
        self.dialing = dialing
        self.frames = Frames(OPENING_LIMIT)
        self.state = State.WAITING_HELLO
        self.peer = None
        self.opened = b''
        self.version = 0
        self.sent = 0
        self.received = 0
        self.seal_in = b''
        self.seal_out = b''

    def first_bytes(self):
        """Return what a dialer sends at once."""
        return framed(_tag(self.key, b'dial', self.own) + self.own)

    def take(self, received):
        """Return bytes to send and messages, from bytes received.

        Raises
        ======

        ProtocolError
            When the connection has to be closed.
        """
        self.frames.feed(received)
        reply = b''
        messages = []
        while self.state != State.CLOSED:
            frame = self._next()
            if frame is None:
                break
            if self.state == State.OPEN:
                messages.append(self._opened_frame(frame))
                continue
            reply += self._handshake(frame)
        return reply, [one for one in messages if one is not None]

    def sealed(self, message):
        """Return a message's frame, with its tag."""
        body = message_bytes(message)
        number = self.sent.to_bytes(_NUMBER)
        self.sent += 1
        tag = _tag(self.seal_out, number, body)[:_SHORT_TAG]
        return framed(tag + body)

    def _next(self):
        try:
            return self.frames.next_frame()
        except OversizeError as error:
            raise ProtocolError(f'oversize frame: {error}') from None

    def _handshake(self, frame):
        if self.state == State.WAITING_PROOF:
            self._check(self.key, b'proof', self.opened, frame)
            self._open()
            return b''
        tag, body = frame[:_TAG], frame[_TAG:]
        if self.dialing:
            self._check(self.key, b'accept', self.own + body, tag)
            self._meet(body)
            self.opened = self.own + body
            self._open()
            return framed(_tag(self.key, b'proof', self.opened))
        self.key = self._key_of(tag, body)
        self._meet(body)
        self.opened = body + self.own
        self.state = State.WAITING_PROOF
        accepted = _tag(self.key, b'accept', self.opened)
        return framed(accepted + self.own)

    def _key_of(self, tag, body):
        for key in self.keys:
            if hmac.compare_digest(_tag(key, b'dial', body), tag):
                return key
        raise ProtocolError('stranger')

    def _check(self, key, label, signed, tag):
        if not hmac.compare_digest(_tag(key, label, signed), tag):
            raise ProtocolError('stranger')

    def _meet(self, body):
        try:
            hello = hello_from(body)
        except BadMessageError as error:
            raise ProtocolError(f'bad hello: {error}') from None
        if hello.host == self.hello.host and hello.boot == self.hello.boot:
            raise ProtocolError('own connection')
        if len(hello.nonce) != NONCE_BYTES:
            raise ProtocolError('bad nonce')
        self.version = min(hello.version, self.hello.version)
        if self.version < max(hello.least, self.hello.least):
            raise ProtocolError(f'version {hello.version} not spoken')
        self.peer = hello

    def _open(self):
        dialer = _tag(self.key, b'dialer', self.opened)
        listener = _tag(self.key, b'listener', self.opened)
        self.seal_out = dialer if self.dialing else listener
        self.seal_in = listener if self.dialing else dialer
        self.frames.limit = FRAME_LIMIT
        self.state = State.OPEN

    def _opened_frame(self, frame):
        tag, body = frame[:_SHORT_TAG], frame[_SHORT_TAG:]
        number = self.received.to_bytes(_NUMBER)
        expected = _tag(self.seal_in, number, body)[:_SHORT_TAG]
        if not hmac.compare_digest(expected, tag):
            raise ProtocolError('wrong tag')
        self.received += 1
        try:
            return message_from(body)
        except BadMessageError as error:
            raise ProtocolError(f'bad message: {error}') from None


def parse_keys(text):
    """Return the keys of a setting, parted by commas.

    Examples
    ========

    >>> from pollenstile.peer import keys_from
    >>> len(keys_from('new,old')), keys_from('')
    (2, ())
    """
    parts = [part.strip() for part in text.split(',')]
    return tuple(
        hashlib.sha256(part.encode()).digest() for part in parts if part
    )
