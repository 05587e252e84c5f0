"""Encoding of news of leaving upstreams, for the peer protocol.

Explanation
===========

Times on the clock become ages, so that hosts need no common clock.
"""

import pathlib

from pollenstile.peer import decode_struct, load_schema, uint32_ms

_MS = 1000
_schema = load_schema(pathlib.Path(__file__).with_name('messages.capnp'))


def encode_departures(stated_at, now):
    """Return encoded departures.

    Parameters
    ==========

    stated_at : dict
        Times on the clock of the answers, by name of the incarnation.
    now : float
        Seconds on the clock.
    """
    rows = [
        {'name': name, 'ageMs': uint32_ms(now - moment)}
        for name, moment in stated_at.items()
    ]
    return _schema.Departures.new_message(rows=rows).to_bytes()


def decode_departures(encoded, now):
    """Return the times of the answers by name of the incarnation.

    Raises
    ======

    BadMessageError
        For bytes that are not a message.
    """

    def build(reader):
        return {row.name: now - row.ageMs / _MS for row in reader.rows}

    return decode_struct(_schema.Departures, encoded, build)
