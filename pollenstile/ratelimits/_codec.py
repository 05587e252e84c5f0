"""Encoding of requests for tokens and of rates, for the peer protocol.

Explanation
===========

Times on the clock become ages, so that hosts need no common clock.
"""

import pathlib
from dataclasses import dataclass

from pollenstile.peer import decode_struct, load_schema, uint32_ms
from pollenstile.ratelimits._types import TokenGrant, TokenRequest
from pollenstile.ratelimits._values import MAX_RATE

_MS = 1000
_MAX_UINT16 = 65535
_MAX_UINT32 = 2**32 - 1
_schema = load_schema(pathlib.Path(__file__).with_name('messages.capnp'))


@dataclass(slots=True, frozen=True)
class RateNews:
    """A rate that an upstream stated, on its way between hosts.

    Parameters
    ==========

    name : str
        The incarnation.
    rate, stated_at : float
        Requests a second, and the time on the clock of the answer.
    """

    name: str
    rate: float
    stated_at: float


def encode_requests(requests, now):
    """Return encoded requests for tokens."""
    rows = [
        {
            **_stated_fields(request, now),
            'domain': request.domain,
            'wanted': min(_MAX_UINT16, request.wanted),
            'unused': min(_MAX_UINT16, request.unused),
        }
        for request in requests
    ]
    return _schema.TokenRequests.new_message(rows=rows).to_bytes()


def decode_requests(encoded, now):
    """Return requests for tokens; raise BadMessageError for other bytes."""

    def build(reader):
        return [
            TokenRequest(
                row.name,
                row.domain,
                _rate_from(row.rate),
                now - row.ageMs / _MS,
                row.wanted,
                row.unused,
            )
            for row in reader.rows
        ]

    return decode_struct(_schema.TokenRequests, encoded, build)


def encode_grants(grants, now):
    """Return encoded answers to requests for tokens."""
    rows = [
        {
            **_stated_fields(grant, now),
            'count': min(_MAX_UINT16, grant.count),
            'waitMs': min(_MAX_UINT16, int(grant.wait_seconds * _MS)),
            'validMs': min(_MAX_UINT16, int(grant.valid_seconds * _MS)),
            'spacingMs': min(_MAX_UINT32, int(grant.spacing_seconds * _MS)),
            'allocator': grant.is_allocator,
        }
        for grant in grants
    ]
    return _schema.TokenGrants.new_message(rows=rows).to_bytes()


def decode_grants(encoded, now):
    """Return answers; raise BadMessageError for other bytes."""

    def build(reader):
        return [
            TokenGrant(
                row.name,
                _rate_from(row.rate),
                now - row.ageMs / _MS,
                row.count,
                row.waitMs / _MS,
                row.validMs / _MS,
                row.spacingMs / _MS,
                row.allocator,
            )
            for row in reader.rows
        ]

    return decode_struct(_schema.TokenGrants, encoded, build)


def encode_news(news, now):
    """Return encoded rates."""
    rows = [_stated_fields(one, now) for one in news]
    return _schema.Rates.new_message(rows=rows).to_bytes()


def decode_news(encoded, now):
    """Return rates; raise BadMessageError for other bytes."""

    def build(reader):
        return [
            RateNews(row.name, _rate_from(row.rate), now - row.ageMs / _MS)
            for row in reader.rows
        ]

    return decode_struct(_schema.Rates, encoded, build)


def _rate_from(received):
    """Return a received rate; a host never sends one out of bounds."""
    if not 0 <= received <= MAX_RATE:
        raise ValueError(f'rate out of bounds: {received}')
    return received


def _stated_fields(message, now):
    """Return the fields of the rate that a message states."""
    return {
        'name': message.name,
        'rate': message.rate,
        'ageMs': uint32_ms(now - message.stated_at),
    }
