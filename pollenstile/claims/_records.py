"""Records and segments of a claim shard's log."""

from typing import Literal

import msgspec


class Record(msgspec.Struct, array_like=True, frozen=True):
    """A claim of a key or the release of a claim.

    Parameters
    ==========

    step : str
        ``'claim'`` or ``'release'``.
    key : str
        Digest of the caller's idempotency key.
    ident : str
        Identifier of the claiming request; unique over hosts and restarts.
    content_digest : str
        Digest of the request's input.
    host : str
        The host that runs the request.
    expires : float
        Time, in seconds since the epoch, at which the claim expires.
    """

    step: Literal['claim', 'release']
    key: str
    ident: str
    content_digest: str
    host: str
    expires: float


class Segment(msgspec.Struct, array_like=True, frozen=True):
    """A batch of records, stored as one object of a shard's log.

    Parameters
    ==========

    batch : str
        Identifier that is unique to an attempt to append at a sequence number.
        A writer uses it to distinguish its own segment from another host's.
    written : float
        Seconds since the epoch on the writer's clock.
    records : list of Record
        Applied in this order.
    """

    batch: str
    written: float
    records: list[Record]


def decode_segment(value):
    """Return the segment decoded from a stored value.

    Raises
    ======

    msgspec.ValidationError
        If the value is not a valid segment.
    """
    return msgspec.convert(value, Segment)


def build_release(claim):
    """Return the record that releases a claim.

    Examples
    ========

    >>> from pollenstile.claims._records import Record, build_release
    >>> claim = Record('claim', 'k', 'h1-1', 'c', 'h1', 60.0)
    >>> build_release(claim).step, build_release(claim).ident
    ('release', 'h1-1')
    """
    return msgspec.structs.replace(claim, step='release')
