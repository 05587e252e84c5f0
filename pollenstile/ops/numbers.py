"""Parsing of numbers in untrusted text."""

_MAX_DIGITS = 18


def whole_number(text):
    """Return the non-negative integer in a text, or None.

    Explanation
    ===========

    ``str.isdigit`` accepts superscripts, and ``int`` rejects numbers of
    thousands of digits; converting either would raise.

    Examples
    ========

    >>> from pollenstile.ops.numbers import whole_number
    >>> whole_number('20'), whole_number('-1'), whole_number('9' * 5000)
    (20, None, None)
    >>> whole_number(chr(178)), whole_number('')
    (None, None)
    """
    if not text.isascii() or not text.isdigit() or len(text) > _MAX_DIGITS:
        return None
    return int(text)
