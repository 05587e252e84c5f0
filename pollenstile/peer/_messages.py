"""Messages between entry hosts and their encoding."""

from dataclasses import dataclass, field

import capnp

from pollenstile.peer._schema import schema


class BadMessageError(Exception):
    """Received bytes are not a valid message of the protocol."""


@dataclass(slots=True, frozen=True)
class Hello:
    """Identity of a host, sent when a connection is opened.

    Parameters
    ==========

    version, least : int
        Newest and oldest protocol versions that the host supports.
    host, domain : str
        Name and failure domain of the host.
    address : str
        ``IP:PORT`` on which it listens for peers.
    boot : int
        Incarnation of the host; increases with each start.
    nonce : bytes
        Random bytes, used once.
    """

    version: int
    least: int
    host: str
    domain: str
    address: str
    boot: int
    nonce: bytes = b''


@dataclass(slots=True, frozen=True)
class Beat:
    """A heartbeat with a summary of the state of the host.

    Parameters
    ==========

    version : int
        Version of the configuration in force.
    members : int
        Sum over the membership records, which detects differences.
    leaving : bool
        Whether the host is leaving the fleet.
    quarantine : int
        Digest of the requests that it quarantines.
    """

    version: int = 0
    members: int = 0
    leaving: bool = False
    quarantine: int = 0


@dataclass(slots=True, frozen=True)
class News:
    """Membership records that the peer may lack."""

    members: list = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class Sums:
    """Sums over the membership records, one for each bucket."""

    sums: list = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class Ask:
    """A request; its answer has the same number."""

    number: int
    subject: str
    body: bytes = b''


@dataclass(slots=True, frozen=True)
class Answer:
    """An answer; ``taken`` is false if the subject is unknown or failed."""

    number: int
    taken: bool
    body: bytes = b''


_KINDS = {'beat': Beat, 'ask': Ask, 'answer': Answer}
_FIELDS = {
    Hello: tuple(Hello.__dataclass_fields__),
    Beat: tuple(Beat.__dataclass_fields__),
    Ask: tuple(Ask.__dataclass_fields__),
    Answer: tuple(Answer.__dataclass_fields__),
}
_UNION_NAMES = {Beat: 'beat', Ask: 'ask', Answer: 'answer'}


def _field_values(message):
    return {name: getattr(message, name) for name in _FIELDS[type(message)]}


def encode_hello(hello):
    """Return the encoding of a hello."""
    return schema.Hello.new_message(**_field_values(hello)).to_bytes()


def decode_hello(encoded):
    """Return the decoded hello; raise BadMessageError if invalid."""
    return decode_struct(schema.Hello, encoded, _build_hello)


def _build_hello(reader):
    return _build(Hello, reader)


def _build(kind, reader):
    return kind(*[getattr(reader, name) for name in _FIELDS[kind]])


def decode_struct(struct, encoded, build):
    """Decode a struct and return the result of ``build`` on its reader.

    Raises
    ======

    BadMessageError
        When the bytes are not a valid encoding of the struct.
    """
    # The decoder raises for truncated, cyclic and oversize input, and for text
    # that is not UTF-8 when the text is read. An invalid message is dropped
    # as a whole.
    try:
        with struct.from_bytes(encoded) as reader:
            return build(reader)
    except (capnp.KjException, ValueError, OverflowError) as error:
        raise BadMessageError(str(error)[:100]) from None


def encode_message(message):
    """Return the encoding of a message."""
    name = _UNION_NAMES.get(type(message))
    if name is not None:
        return _encode_union(**{name: _field_values(message)})
    if isinstance(message, Sums):
        return _encode_union(sums={'sums': message.sums})
    return _encode_union(news={'members': message.members})


def _encode_union(**union):
    return schema.Message.new_message(**union).to_bytes()


def decode_message(encoded):
    """Return the decoded message, or None for a kind unknown to this release.

    Raises
    ======

    BadMessageError
        When the bytes are not a valid message.

    Examples
    ========

    >>> from pollenstile.peer import Beat, encode_message, decode_message
    >>> decode_message(encode_message(Beat(version=7)))
    Beat(version=7, members=0, leaving=False, quarantine=0)
    """
    return decode_struct(schema.Message, encoded, _build_message)


def _build_message(reader):
    try:
        which = reader.which()
    except capnp.KjException:
        # A newer release may send kinds of messages unknown to this one.
        return None
    which = str(which)
    part = getattr(reader, which)
    if which == 'sums':
        return Sums(list(part.sums))
    if which == 'news':
        return News([member.to_dict() for member in part.members])
    return _build(_KINDS[which], part)
