"""Documents of the store that other programs write to as well."""

import json
import math

import msgspec

from pollenstile.ops.logs import silent_log
from pollenstile.platform.events import OBJECT_UNREADABLE


def decoded(body, shape):
    """Return a body of JSON as a shape, or None.

    Explanation
    ===========

    Half a surrogate pair, a byte that is not UTF-8 or a number that is none,
    in the entry of another writer, makes the strict decoder refuse the whole
    page. Such text becomes a mark here and such a number nothing; the entries
    around them hold.

    Parameters
    ==========

    body : bytes
        As it came.
    shape : type
        A :class:`msgspec.Struct`.

    Examples
    ========

    >>> import msgspec
    >>> from pollenstile.platform import decoded
    >>> class Page(msgspec.Struct):
    ...     items: list
    >>> decoded(b'{"items": [1]}', Page).items
    [1]
    >>> len(decoded(b'{"items": ["' + bytes((255,)) + b'", 2]}', Page).items)
    2
    >>> decoded(b'<html>', Page) is None
    True
    """
    try:
        return msgspec.json.decode(body, type=shape)
    except msgspec.ValidationError:
        return None
    except msgspec.DecodeError:
        return _decoded_laxly(body, shape)


def readable(rows, shape, kind, log=silent_log):
    """Return the rows that have a shape.

    Explanation
    ===========

    Decoded as one, a page with a single row of another writer was no page at
    all: a host that started then knew of no upstream, and one that ran heard
    of no change.

    Parameters
    ==========

    rows : list
        Of a page.
    kind : str
        Named in the log line for each row that is left out.
    log : function
        Writes events.
    """
    found = []
    for row in rows:
        try:
            found.append(msgspec.convert(row, shape))
        except msgspec.ValidationError as error:
            log(OBJECT_UNREADABLE, 'warning', kind=kind, reason=str(error))
    return found


def _decoded_laxly(body, shape):
    try:
        return msgspec.json.decode(_cleaned(body), type=shape)
    except (ValueError, RecursionError):
        return None


def _cleaned(body):
    """Return JSON of which all text is UTF-8 and all numbers are finite."""
    lax = json.loads(
        body.decode('utf8', 'replace'),
        parse_float=_finite,
        parse_constant=_finite,
    )
    return json.dumps(lax, ensure_ascii=False).encode('utf8', 'replace')


def _finite(text):
    """Return a number, or None for infinity and for what is no number."""
    number = float(text)
    return number if math.isfinite(number) else None
