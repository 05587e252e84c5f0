"""Lenient decoding of store objects that other programs may have written."""

import json
import math

import msgspec

from pollenstile.ops.logs import silent_log
from pollenstile.platform.events import OBJECT_UNREADABLE


def decode_json(body, shape):
    """Return a JSON body decoded as a type, or None if it doesn't match.

    Explanation
    ===========

    The strict decoder rejects a whole page if the entry of another writer
    contains an unpaired surrogate, a byte that is not UTF-8 or a number such
    as NaN. In that case the invalid characters are replaced, the invalid
    numbers become null, and the other entries of the page stay usable.

    Parameters
    ==========

    body : bytes
        Received body.
    shape : type
        Subclass of :class:`msgspec.Struct`.

    Examples
    ========

    >>> import msgspec
    >>> from pollenstile.platform import decode_json
    >>> class Page(msgspec.Struct):
    ...     items: list
    >>> decode_json(b'{"items": [1]}', Page).items
    [1]
    >>> body = b'{"items": ["' + bytes((255,)) + b'", 2]}'
    >>> len(decode_json(body, Page).items)
    2
    >>> decode_json(b'<html>', Page) is None
    True
    """
    try:
        return msgspec.json.decode(body, type=shape)
    except msgspec.ValidationError:
        return None
    except msgspec.DecodeError:
        return _decode_leniently(body, shape)


def convert_rows(rows, shape, kind, log=silent_log):
    """Return the rows that convert to a type; log and skip the others.

    Explanation
    ===========

    Rows are converted one by one. When a page was decoded as a unit, a single
    row of another writer made the whole page invalid: a host that started then
    had no upstreams, and a running host received no changes.

    Parameters
    ==========

    rows : list
        Rows of a page, as decoded from JSON.
    shape : type
        Subclass of :class:`msgspec.Struct`.
    kind : str
        Kind named in the log line of each skipped row.
    log : function
        Takes an event and its fields.
    """
    found = []
    for row in rows:
        try:
            found.append(msgspec.convert(row, shape))
        except msgspec.ValidationError as error:
            log(OBJECT_UNREADABLE, 'warning', kind=kind, reason=str(error))
    return found


def _decode_leniently(body, shape):
    try:
        return msgspec.json.decode(_sanitize(body), type=shape)
    except (ValueError, RecursionError):
        return None


def _sanitize(body):
    """Return JSON with valid UTF-8 text and finite numbers only."""
    lax = json.loads(
        body.decode('utf8', 'replace'),
        parse_float=_finite_or_none,
        parse_constant=_finite_or_none,
    )
    return json.dumps(lax, ensure_ascii=False).encode('utf8', 'replace')


def _finite_or_none(text):
    """Return a number, or None for NaN and infinities."""
    number = float(text)
    return number if math.isfinite(number) else None
