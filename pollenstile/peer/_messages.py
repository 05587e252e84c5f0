"""Typed messages between entry hosts, and their encoding."""

from dataclasses import dataclass, field

import capnp

from pollenstile.peer._schema import schema


class BadMessageError(Exception):
    """Bytes are no message of the protocol."""


@dataclass(slots=True, frozen=True)
class Hello:
    """Who opens a connection.

    Parameters
    ==========

    version, least : int
        Newest and oldest protocol version that the host speaks.
    host, domain : str
        Its name and failure domain.
    address : str
        ``IP:PORT`` where it listens for peers.
    boot : int
        Its incarnation; higher after each start.
    nonce : bytes
        Random, never used again.
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
    """A heartbeat.

    Parameters
    ==========

    version : int
        Version of the configuration in force.
    members : int
        Sum over the membership records; differs when these differ.
    leaving : bool
        Whether the host is leaving.
    quarantine : int
        Digest of the requests that it keeps from upstreams.
    """

    version: int = 0
    members: int = 0
    leaving: bool = False
    quarantine: int = 0


@dataclass(slots=True, frozen=True)
class News:
    """Membership records that the peer may not have."""

    members: list = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class Sums:
    """Sums of the membership records, one for each bucket."""

    sums: list = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class Ask:
    """A request; the answer carries the same number."""

    number: int
    subject: str
    body: bytes = b''


@dataclass(slots=True, frozen=True)
class Answer:
    """An answer; ``taken`` is false when the host knows no such subject."""

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
_NAMES = {Beat: 'beat', Ask: 'ask', Answer: 'answer'}


def _values(one):
    return {name: getattr(one, name) for name in _FIELDS[type(one)]}


def hello_bytes(hello):
    """Return a hello's encoding."""
    return schema.Hello.new_message(**_values(hello)).to_bytes()


def hello_from(encoded):
    """Return a hello; raise BadMessageError otherwise."""
    return decode_struct(schema.Hello, encoded, _hello)


def _hello(reader):
    return _built(Hello, reader)


def _built(kind, reader):
    return kind(*[getattr(reader, name) for name in _FIELDS[kind]])


def decode_struct(struct, encoded, build):
    """Return what ``build`` makes of an encoded struct.

    Raises
    ======

    BadMessageError
        When the bytes hold no such struct.
    """
    # The decoder raises for truncated, cyclic and oversize input, and text
    # that is not UTF-8 when it is read; nothing of a bad message is used.
    try:
        with struct.from_bytes(encoded) as reader:
            return build(reader)
    except (capnp.KjException, ValueError, OverflowError) as error:
        raise BadMessageError(str(error)[:100]) from None


def message_bytes(message):
    """Return a message's encoding."""
    name = _NAMES.get(type(message))
    if name is not None:
        return _encoded(**{name: _values(message)})
    if isinstance(message, Sums):
        return _encoded(sums={'sums': message.sums})
    return _encoded(news={'members': message.members})


def _encoded(**union):
    return schema.Message.new_message(**union).to_bytes()


def message_from(encoded):
    """Return a message, or None for a kind that this release doesn't know.

    Raises
    ======

    BadMessageError
        When the bytes hold no message.

    Examples
    ========

    >>> from pollenstile.peer import Beat, message_bytes, message_from
    >>> message_from(message_bytes(Beat(version=7)))
    Beat(version=7, members=0, leaving=False, quarantine=0)
    """
    return decode_struct(schema.Message, encoded, _message)


def _message(reader):
    try:
        which = reader.which()
    except capnp.KjException:
        # A newer release may send kinds that this one has never heard of.
        return None
    which = str(which)
    part = getattr(reader, which)
    if which == 'sums':
        return Sums(list(part.sums))
    if which == 'news':
        return News([member.to_dict() for member in part.members])
    return _built(_KINDS[which], part)
