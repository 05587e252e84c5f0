"""Messages with which a host asks a peer for a connection."""

import enum
import pathlib
from dataclasses import dataclass

from pollenstile.peer import decode_struct, load_schema

_schema = load_schema(pathlib.Path(__file__).with_name('messages.capnp'))


class OpenResult(enum.Enum):
    """Result of opening a connection to an upstream."""

    OPENED = 'opened'
    REFUSED = 'refused'
    # The upstream did not answer the peer, or the peer does not know it.
    UNREACHABLE = 'unreachable'
    # The peer has no room for another connection.
    FULL = 'full'
    # The peer knows that its own path to the upstream is lost.
    CUT_OFF = 'cutOff'


@dataclass(slots=True, frozen=True)
class OpenAsk:
    """A request to open a connection.

    Parameters
    ==========

    address : str
        ``IP:PORT`` of the upstream.
    keep : bool
        Whether the connection is to be kept for the asking host.
    """

    address: str
    keep: bool


@dataclass(slots=True, frozen=True)
class OpenAnswer:
    """The result of opening a connection.

    Parameters
    ==========

    result : OpenResult
        Whether it was opened.
    address : str
        ``IP:PORT`` at which the connection waits.
    token : bytes
        First bytes that the asking host sends there.
    confirms : bool
        Whether the peer passes a close on only if the upstream lives on after
        it.
    """

    result: OpenResult
    address: str = ''
    token: bytes = b''
    confirms: bool = False


def encode_ask(ask):
    """Return the encoding of an :class:`OpenAsk`."""
    message = _schema.Ask.new_message(address=ask.address, keep=ask.keep)
    return message.to_bytes()


def decode_ask(encoded):
    """Return the :class:`OpenAsk`; raise ``BadMessageError`` if invalid."""
    return decode_struct(
        _schema.Ask,
        encoded,
        lambda reader: OpenAsk(reader.address, reader.keep),
    )


def encode_answer(answer):
    """Return the encoding of an :class:`OpenAnswer`."""
    message = _schema.Answer.new_message(
        result=answer.result.value,
        address=answer.address,
        token=answer.token,
        confirms=answer.confirms,
    )
    return message.to_bytes()


def decode_answer(encoded):
    """Return the :class:`OpenAnswer`; raise ``BadMessageError`` if invalid."""

    def build(reader):
        result = OpenResult(str(reader.result))
        return OpenAnswer(result, reader.address, reader.token, reader.confirms)

    return decode_struct(_schema.Answer, encoded, build)
