"""Encoding of what hosts tell and ask of streams, for the peer protocol.

Explanation
===========

Times on the clock become remaining times, so that hosts need no common clock.
"""

import pathlib
from dataclasses import dataclass

from pollenstile.origins._conclusion import Witness
from pollenstile.origins._table import Origin
from pollenstile.peer import (
    BadMessageError,
    decode_struct,
    load_schema,
    uint32_ms,
)

_MS = 1000
_KEY_BYTES = 8
_schema = load_schema(pathlib.Path(__file__).with_name('messages.capnp'))


@dataclass(slots=True, frozen=True)
class OriginQuestion:
    """Question for the version of a stream.

    Parameters
    ==========

    key : bytes
        Key of the stream.
    service : str
        Its service.
    must_read : bool
        Whether the peer reads the registry before it answers.
    """

    key: bytes
    service: str
    must_read: bool


@dataclass(slots=True, frozen=True)
class OriginAnswer:
    """What a peer says of a stream.

    Parameters
    ==========

    software : str or None
        Version at which it began; None if the peer does not know it.
    witness : Witness
        What the peer can say of the versions of its service.
    """

    software: str | None
    witness: Witness


@dataclass(slots=True, frozen=True)
class ToldOrigins:
    """What a host tells a keeper.

    Parameters
    ==========

    streams : dict
        :class:`Origin` of streams, by key.
    versions : frozenset of tuple
        Service and version of each version that its registry lists.
    """

    streams: dict
    versions: frozenset


def encode_origins(told, now):
    """Return encoded :class:`ToldOrigins`."""
    groups = {version: [] for version in sorted(told.versions)}
    for key, origin in told.streams.items():
        version = (origin.service, origin.software)
        groups.setdefault(version, []).append((key, origin))
    rows = [
        {
            'service': service,
            'software': software,
            'isListed': (service, software) in told.versions,
            'keys': b''.join(key for key, _ in members),
            'leftMs': [
                uint32_ms(origin.expires_at - now) for _, origin in members
            ],
        }
        for (service, software), members in groups.items()
    ]
    return _schema.Origins.new_message(groups=rows).to_bytes()


def decode_origins(encoded, now):
    """Return the :class:`ToldOrigins` of a message.

    Raises
    ======

    BadMessageError
        For bytes that are not a message.
    """

    def build(reader):
        streams = {}
        versions = set()
        for group in reader.groups:
            streams.update(_origins_of(group, now))
            if group.isListed:
                versions.add((group.service, group.software))
        return ToldOrigins(streams, frozenset(versions))

    return decode_struct(_schema.Origins, encoded, build)


def encode_ask(question):
    """Return an encoded :class:`OriginQuestion`."""
    return _schema.Ask.new_message(
        key=question.key,
        service=question.service,
        mustRead=question.must_read,
    ).to_bytes()


def decode_ask(encoded):
    """Return an :class:`OriginQuestion`; raise BadMessageError."""

    def build(reader):
        return OriginQuestion(reader.key, reader.service, reader.mustRead)

    return decode_struct(_schema.Ask, encoded, build)


def encode_answer(answer):
    """Return an encoded :class:`OriginAnswer`."""
    witness = answer.witness
    return _schema.Answer.new_message(
        isKnown=answer.software is not None,
        software=answer.software or '',
        versions=sorted(witness.versions),
        isFresh=witness.is_current,
        isComplete=witness.is_complete,
        isCurrent=witness.is_current,
        isUnproven=witness.is_unproven,
    ).to_bytes()


def decode_answer(encoded):
    """Return an :class:`OriginAnswer`; raise BadMessageError."""

    def build(reader):
        witness = Witness(
            frozenset(reader.versions),
            reader.isCurrent,
            reader.isComplete,
            reader.isUnproven,
        )
        software = reader.software if reader.isKnown else None
        return OriginAnswer(software, witness)

    return decode_struct(_schema.Answer, encoded, build)


def _origins_of(group, now):
    left = list(group.leftMs)
    keys = group.keys
    if len(keys) != len(left) * _KEY_BYTES:
        raise BadMessageError('keys and times differ in number')
    return {
        keys[number * _KEY_BYTES : (number + 1) * _KEY_BYTES]: Origin(
            group.software, '', now + left_ms / _MS
        )
        for number, left_ms in enumerate(left)
    }
