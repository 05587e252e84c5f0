"""What the log of a claim shard holds."""

from typing import Literal

import msgspec


class Record(msgspec.Struct, array_like=True, frozen=True):
    """One claim, or the release of one.

    Parameters
    ==========

    step : str
        ``'claim'`` or ``'release'``.
    key : str
        Digest of the caller's key.
    ident : str
        The request that claims; differs over hosts and restarts.
    content : str
        Digest of the request's content.
    host : str
        The host that runs the request.
    expires : float
        Seconds since the epoch until which the key is remembered.
    """

    step: Literal['claim', 'release']
    key: str
    ident: str
    content: str
    host: str
    expires: float


class Segment(msgspec.Struct, array_like=True, frozen=True):
    """One object of a shard's log.

    Parameters
    ==========

    batch : str
        Differs with each append that is tried at a sequence number; tells a
        writer its own segment from another's.
    written : float
        Seconds since the epoch on the writer's clock.
    records : list of Record
        In the order in which they count.
    """

    batch: str
    written: float
    records: list[Record]


def segment_from(value):
    """Return the segment that a stored value stands for.

    Raises
    ======

    msgspec.ValidationError
        When the value is no segment.
    """
    return msgspec.convert(value, Segment)


def release_of(claim):
    """Return the record that takes a claim back.

    Examples
    ========

    >>> from pollenstile.claims._records import Record, release_of
    >>> claim = Record('claim', 'k', 'h1-1', 'c', 'h1', 60.0)
    >>> release_of(claim).step, release_of(claim).ident
    ('release', 'h1-1')
    """
    return msgspec.structs.replace(claim, step='release')
