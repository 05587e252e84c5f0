"""Handshake and authentication of frames, without I/O.

Explanation
===========

Both sides prove that they know the shared key. The tags are HMACs and cover
the nonces and names in the hellos:

1. The dialer sends its hello and a tag over it.
2. The listener replies with its hello and a tag over both hellos.
3. The dialer sends a tag over both hellos; its first frame may follow.

Each later frame carries a tag over its sequence number and content, under a
key derived from both hellos for its direction. A frame therefore can't be
forged, replayed, dropped or moved to another connection without detection. A
listener sends nothing to a dialer whose first tag is wrong, and decodes no
bytes before it has verified their tag.
"""

import enum
import hashlib
import hmac

from pollenstile.peer._frames import (
    FRAME_LIMIT,
    HANDSHAKE_FRAME_LIMIT,
    FrameBuffer,
    OversizeError,
    encode_frame,
)
from pollenstile.peer._messages import (
    BadMessageError,
    decode_hello,
    decode_message,
    encode_hello,
    encode_message,
)

VERSION = 1
MIN_VERSION = 1
NONCE_BYTES = 16

_TAG_BYTES = 32
_SHORT_TAG_BYTES = 16
_NUMBER_BYTES = 8
_HASH = 'sha256'


class State(enum.Enum):
    """State of the handshake of a session."""

    WAITING_HELLO = 'waiting for a hello'
    WAITING_PROOF = 'waiting for the proof'
    OPEN = 'open'
    CLOSED = 'closed'


class ProtocolError(Exception):
    """The other side is not a peer or violated the protocol."""


def _tag(key, label, *parts):
    return hmac.digest(key, label + b''.join(parts), _HASH)


class Session:
    """Handshake and frame counters of one connection.

    Parameters
    ==========

    keys : tuple of bytes
        A dialer uses the first key and a listener accepts any of them, so
        that the key can be changed host by host.
    hello : Hello
        Hello of this host, with a new nonce.
    dialing : bool
        Whether this side opened the connection.

    Attributes
    ==========

    peer : Hello or None
        Hello of the other side, once its tag has been verified.
    version : int
        Newest protocol version that both sides support.
    """

    __slots__ = (
        'dialing',
        'frames',
        'hello',
        'key',
        'keys',
        'own_hello',
        'peer',
        'receive_key',
        'received',
        'send_key',
        'sent',
        'state',
        'transcript',
        'version',
    )

    def __init__(self, keys, hello, *, dialing):
        self.keys = keys
        self.key = keys[0]
        self.hello = hello
        self.own_hello = encode_hello(hello)
        self.dialing = dialing
        self.frames = FrameBuffer(HANDSHAKE_FRAME_LIMIT)
        self.state = State.WAITING_HELLO
        self.peer = None
        self.transcript = b''
        self.version = 0
        self.sent = 0
        self.received = 0
        self.receive_key = b''
        self.send_key = b''

    def first_bytes(self):
        """Return the opening frame that a dialer sends."""
        return encode_frame(
            _tag(self.key, b'dial', self.own_hello) + self.own_hello
        )

    def receive(self, received):
        """Return bytes to send and the messages in received bytes.

        Raises
        ======

        ProtocolError
            When the connection must be closed.
        """
        self.frames.feed(received)
        reply = b''
        messages = []
        while self.state != State.CLOSED:
            frame = self._next_frame()
            if frame is None:
                break
            if self.state == State.OPEN:
                messages.append(self._verify_frame(frame))
                continue
            reply += self._handshake(frame)
        return reply, [message for message in messages if message is not None]

    def seal(self, message):
        """Return the frame of a message, with its tag."""
        body = encode_message(message)
        number = self.sent.to_bytes(_NUMBER_BYTES)
        self.sent += 1
        tag = _tag(self.send_key, number, body)[:_SHORT_TAG_BYTES]
        return encode_frame(tag + body)

    def _next_frame(self):
        try:
            return self.frames.next_frame()
        except OversizeError as error:
            raise ProtocolError(f'oversize frame: {error}') from None

    def _handshake(self, frame):
        if self.state == State.WAITING_PROOF:
            self._check_tag(self.key, b'proof', self.transcript, frame)
            self._open()
            return b''
        tag, body = frame[:_TAG_BYTES], frame[_TAG_BYTES:]
        if self.dialing:
            self._check_tag(self.key, b'accept', self.own_hello + body, tag)
            self._accept_hello(body)
            self.transcript = self.own_hello + body
            self._open()
            return encode_frame(_tag(self.key, b'proof', self.transcript))
        self.key = self._matching_key(tag, body)
        self._accept_hello(body)
        self.transcript = body + self.own_hello
        self.state = State.WAITING_PROOF
        accepted = _tag(self.key, b'accept', self.transcript)
        return encode_frame(accepted + self.own_hello)

    def _matching_key(self, tag, body):
        for key in self.keys:
            if hmac.compare_digest(_tag(key, b'dial', body), tag):
                return key
        raise ProtocolError('stranger')

    def _check_tag(self, key, label, signed, tag):
        if not hmac.compare_digest(_tag(key, label, signed), tag):
            raise ProtocolError('stranger')

    def _accept_hello(self, body):
        try:
            hello = decode_hello(body)
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
        dialer = _tag(self.key, b'dialer', self.transcript)
        listener = _tag(self.key, b'listener', self.transcript)
        self.send_key = dialer if self.dialing else listener
        self.receive_key = listener if self.dialing else dialer
        self.frames.limit = FRAME_LIMIT
        self.state = State.OPEN

    def _verify_frame(self, frame):
        tag, body = frame[:_SHORT_TAG_BYTES], frame[_SHORT_TAG_BYTES:]
        number = self.received.to_bytes(_NUMBER_BYTES)
        expected = _tag(self.receive_key, number, body)[:_SHORT_TAG_BYTES]
        if not hmac.compare_digest(expected, tag):
            raise ProtocolError('wrong tag')
        self.received += 1
        try:
            return decode_message(body)
        except BadMessageError as error:
            raise ProtocolError(f'bad message: {error}') from None


def parse_keys(text):
    """Return the keys of a comma-separated setting.

    Examples
    ========

    >>> from pollenstile.peer import parse_keys
    >>> len(parse_keys('new,old')), parse_keys('')
    (2, ())
    """
    parts = [part.strip() for part in text.split(',')]
    return tuple(
        hashlib.sha256(part.encode()).digest() for part in parts if part
    )
