"""Lenient decoding of store objects that other programs may have written."""

import json
import math

import msgspec

from pollenstile.ops.logs import silent_log
from pollenstile.platform._jsonparts import is_deep, split_list, split_map
from pollenstile.platform.events import OBJECT_UNREADABLE

# Stands for a value, or a part of one, that can't be read. No field of an
# object is of its type, so that nothing is made of the rest: null would state
# that an optional field is not there.
UNREADABLE = [['unreadable']]
# Levels of a page in which each part is judged alone: the page, its rows, the
# row, the object of an event, its value, and the fields of that.
_PART_LEVELS = 6
# Stands for a key of a map that can't be read.
_UNREADABLE_KEY = '(unreadable)'
# Characters of the name of an object, or of a reason, in a log line.
_MAX_LOGGED = 200


def decode_json(body, shape):
    """Return a JSON body decoded as a type, or None if it doesn't match.

    Explanation
    ===========

    The strict decoder rejects a whole page for one value of another writer: an
    unpaired surrogate, a byte that is not UTF-8, a control character, a number
    that is out of range, lists or maps nested more deeply than it recurses. In
    that case invalid characters are replaced, and :data:`UNREADABLE` stands for
    invalid numbers. Where that doesn't help either, each part of the page is
    decoded alone, and the same stands for those that can't be, so that the
    others stay usable. No value has more than :data:`MAX_LEVELS` levels,
    whoever reads the page: code that is called later, such as the encoder of a
    message, has less of the stack left.

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
    >>> body = b'{"items": ["' + bytes((255,)) + b'", 1e999, 2]}'
    >>> decode_json(body, Page).items[1:]
    [[['unreadable']], 2]
    >>> deep = b'[' * 1100 + b']' * 1100
    >>> decode_json(b'{"items": [' + deep + b', 2]}', Page).items[1]
    2
    >>> decode_json(b'<html>', Page) is None
    True
    """
    if is_deep(body):
        return _convert_parts(body, shape)
    try:
        return msgspec.json.decode(body, type=shape)
    except (ValueError, RecursionError):
        return _decode_leniently(body, shape)


def decode_value(text):
    """Return the value of a JSON text, leniently as :func:`decode_json`.

    Examples
    ========

    >>> from pollenstile.platform import decode_value
    >>> decode_value(b'[1]'), decode_value(b'[')
    ([1], [['unreadable']])
    """
    if not is_deep(text):
        try:
            return msgspec.json.decode(text)
        except (ValueError, RecursionError):
            # Parts of it may be readable.
            return _read_parts(text, _PART_LEVELS)
    return _read_parts(text, _PART_LEVELS)


def present(content):
    """Return the value of an object that exists, which is never None.

    Explanation
    ===========

    None means that an object was deleted; another writer may store it.
    """
    return UNREADABLE if content is None else content


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
        except (ValueError, OverflowError, RecursionError) as error:
            log(
                OBJECT_UNREADABLE,
                'warning',
                kind=kind,
                row=repr(row)[:_MAX_LOGGED],
                reason=str(error)[:_MAX_LOGGED],
            )
    return found


def _decode_leniently(body, shape):
    try:
        return msgspec.json.decode(_sanitize(body), type=shape)
    except (ValueError, RecursionError):
        return _convert_parts(body, shape)


def _convert_parts(body, shape):
    try:
        return msgspec.convert(_read_parts(body, _PART_LEVELS), shape)
    except ValueError:
        return None


def _read_parts(text, levels):
    """Return a value, with :data:`UNREADABLE` for the parts that are not read.

    Parameters
    ==========

    text : bytes
        JSON text of the value.
    levels : int
        Levels in which parts are read alone.
    """
    if not is_deep(text):
        try:
            return msgspec.json.decode(_sanitize(text))
        except (ValueError, RecursionError):
            # Its parts may be readable.
            pass  # noqa: WPS420
    if not levels:
        return UNREADABLE
    elements = split_list(text)
    if elements is not None:
        return [_read_parts(element, levels - 1) for element in elements]
    members = split_map(text)
    if members is None:
        return UNREADABLE
    return {
        _key_of(key): _read_parts(member, levels - 1) for key, member in members
    }


def _key_of(text):
    key = _read_parts(text, 0)
    return key if isinstance(key, str) else _UNREADABLE_KEY


def _sanitize(body):
    """Return JSON with valid UTF-8 text and finite numbers only."""
    lax = json.loads(
        body.decode('utf8', 'replace'),
        parse_float=_finite,
        parse_int=_short,
        parse_constant=_finite,
        strict=False,
    )
    return json.dumps(lax, ensure_ascii=False).encode('utf8', 'replace')


def _finite(text):
    """Return a number; NaN and infinities are unreadable."""
    number = float(text)
    return number if math.isfinite(number) else UNREADABLE


def _short(text):
    """Return a number; one of more digits than Python reads is unreadable."""
    try:
        return int(text)
    except ValueError:
        return UNREADABLE
