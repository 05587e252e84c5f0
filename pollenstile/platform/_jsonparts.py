"""Parts of JSON texts that a decoder rejects as a whole."""

import re

# Levels of lists and maps beyond which a value is not read: far more than any
# object has, and far fewer than the recursion limit of any decoder or encoder.
MAX_LEVELS = 64
_TEXT = rb'"[^"\\]*(?:\\.[^"\\]*)*"'
_TEXTS = re.compile(_TEXT, re.DOTALL)
_MARKS = re.compile(rb'%s|[\[{]+|[\]}]+|[,"]' % _TEXT, re.DOTALL)
_KEY = re.compile(rb'\s*(%s)\s*:(.*)' % _TEXT, re.DOTALL)
_QUOTE = b'"'
_COMMA = b','
# Levels by which a bracket leads further in.
_STEPS = dict(zip(b'[{]}', (1, 1, -1, -1), strict=True))
_BRACKETS = b'[{]}'
_PAIR = b'()'
_TOO_DEEP = b'(' * (MAX_LEVELS + 1)
_SAME_BRACKETS = bytes.maketrans(_BRACKETS, b'(())')
_NO_BRACKETS = bytes(set(range(256)) - set(_BRACKETS))


def is_deep(text):
    """Return whether a JSON text has more levels than are read.

    Parameters
    ==========

    text : bytes
        Text of a value; one whose brackets don't match counts as deep.

    Examples
    ========

    >>> from pollenstile.platform._jsonparts import MAX_LEVELS, is_deep
    >>> is_deep(b'[' * MAX_LEVELS + b']' * MAX_LEVELS)
    False
    >>> is_deep(b'[' * 65 + b']' * 65)
    True
    """
    if text.count(b'[') + text.count(b'{') <= MAX_LEVELS:
        return False
    # Texts seldom have brackets, and are removed only if theirs may count. Ones
    # that make a value look flatter leave it to the limits of the decoder.
    return _nests(text) and _nests(_TEXTS.sub(b'', text))


def split_list(text):
    """Return the texts of the elements of a list; None if it is none.

    Explanation
    ===========

    The elements are found by brackets and commas alone, without recursion, so
    that one that no decoder reads does not hide the others.

    Examples
    ========

    >>> from pollenstile.platform._jsonparts import split_list
    >>> split_list(b'[1, {"a": [2, 3]}, 1e999]')
    [b'1', b' {"a": [2, 3]}', b' 1e999']
    """
    return _split(text, b'[', b']')


def split_map(text):
    """Return the texts of keys and values of a map; None if it is none.

    Examples
    ========

    >>> from pollenstile.platform._jsonparts import split_map
    >>> split_map(b'{"a": 1, "b": [2, 3]}')
    [(b'"a"', b' 1'), (b'"b"', b' [2, 3]')]
    """
    parts = _split(text, b'{', b'}')
    if parts is None:
        return None
    found = [_KEY.fullmatch(part) for part in parts]
    return None if None in found else [match.groups() for match in found]


def _nests(text):
    brackets = text.translate(_SAME_BRACKETS, _NO_BRACKETS)
    if _TOO_DEEP in brackets:
        return True
    for _ in range(MAX_LEVELS):
        brackets = brackets.replace(_PAIR, b'')
    return bool(brackets)


def _split(text, begin, end):
    text = text.strip()
    if not (text.startswith(begin) and text.endswith(end)):
        return None
    inner = text[1:-1]
    if not inner.strip():
        return []
    commas = _outer_commas(inner)
    if commas is None:
        return None
    starts = [0, *(comma + 1 for comma in commas)]
    ends = [*commas, len(inner)]
    return [inner[first:last] for first, last in zip(starts, ends, strict=True)]


def _outer_commas(inner):
    """Return the positions of commas outside of all brackets and texts.

    Returns
    =======

    list of int or None
        None if brackets or quotes don't match.
    """
    commas = []
    level = 0
    for match in _MARKS.finditer(inner):
        mark = match.group()
        level += _STEPS.get(mark[0], 0) * len(mark)
        if level < 0 or mark == _QUOTE:
            return None
        if mark == _COMMA and not level:
            commas.append(match.start())
    return None if level else commas
