"""Encoding of measured and merged speeds, for the peer protocol."""

import pathlib
from dataclasses import dataclass

from pollenstile.conditions._estimates import SpeedRow
from pollenstile.conditions._mean import bounded
from pollenstile.peer import BadMessageError, decode_struct, load_schema

# Maximum number of rows in a message.
MAX_ROWS = 32
# Maximum size of a message, about twice that of one with all rows.
_MAX_BYTES = 1024
_KEY_BYTES = 8
_RATIO_UNITS = 1000
_WEIGHT_UNITS = 10
_MAX_UINT8 = 255
_MAX_UINT32 = 2**32 - 1
_schema = load_schema(pathlib.Path(__file__).with_name('messages.capnp'))


@dataclass(slots=True, frozen=True)
class SpeedMessage:
    """Measured speeds to a reader, or merged speeds from it.

    Parameters
    ==========

    boot : int
        Start of the reader's process in Unix milliseconds; 0 if unknown.
    number : int
        Number of the newest change that the asking host knows then.
    rows : list of SpeedRow
        Speeds; at most ``MAX_ROWS``.
    """

    boot: int
    number: int
    rows: list


def encode_ask(message):
    """Return an encoded message to a reader."""
    return _schema.Ask.new_message(
        boot=message.boot,
        since=min(_MAX_UINT32, message.number),
        measured=_row_lists(message.rows),
    ).to_bytes()


def decode_ask(encoded):
    """Return the :class:`SpeedMessage` of a host; raise BadMessageError."""

    def build(reader):
        rows = _rows_of(reader.measured)
        return SpeedMessage(reader.boot, reader.since, rows)

    return _decode(_schema.Ask, encoded, build)


def encode_answer(message):
    """Return an encoded message of a reader."""
    return _schema.Answer.new_message(
        boot=message.boot,
        newest=min(_MAX_UINT32, message.number),
        merged=_row_lists(message.rows),
    ).to_bytes()


def decode_answer(encoded):
    """Return the :class:`SpeedMessage` of a reader; raise BadMessageError."""

    def build(reader):
        rows = _rows_of(reader.merged)
        return SpeedMessage(reader.boot, reader.newest, rows)

    return _decode(_schema.Answer, encoded, build)


def _decode(struct, encoded, build):
    if len(encoded) > _MAX_BYTES:
        raise BadMessageError('speeds are too long')
    return decode_struct(struct, encoded, build)


def _row_lists(rows):
    return {
        'keys': b''.join(row.key for row in rows),
        'ratios': [round(row.ratio * _RATIO_UNITS) for row in rows],
        'weights': [
            min(_MAX_UINT8, round(row.weight * _WEIGHT_UNITS)) for row in rows
        ],
    }


def _rows_of(reader):
    ratios = list(reader.ratios)
    weights = list(reader.weights)
    keys = reader.keys
    if len(ratios) > MAX_ROWS or len(ratios) != len(weights):
        raise BadMessageError('wrong number of speeds')
    if len(keys) != len(ratios) * _KEY_BYTES:
        raise BadMessageError('keys and speeds differ in number')
    return [
        SpeedRow(
            keys[place * _KEY_BYTES : (place + 1) * _KEY_BYTES],
            bounded(ratio / _RATIO_UNITS),
            weights[place] / _WEIGHT_UNITS,
        )
        for place, ratio in enumerate(ratios)
    ]
