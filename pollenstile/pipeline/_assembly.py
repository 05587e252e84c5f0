"""Assembly of one token stream from the chunks of several attempts."""


class Assembly:
    """Tokens of one stream that were accepted in order.

    Explanation
    ===========

    Each chunk carries the offset of its token. A chunk before the next offset
    is a duplicate and is dropped. A chunk after it shows a gap: the attempt
    that sent it has lost tokens and must fail.

    Examples
    ========

    >>> from pollenstile.pipeline._assembly import Assembly
    >>> assembly = Assembly()
    >>> assembly.append_if_next(0, 'a'), assembly.append_if_next(0, 'a')
    (True, False)
    >>> assembly.append_if_next(1, 'b'), assembly.text(), assembly.has_gap(3)
    (True, 'ab', True)
    """

    __slots__ = ('parts',)

    def __init__(self):
        self.parts = []

    def append_if_next(self, offset, text):
        """Append the token if it is the next one; return whether it was."""
        if offset != len(self.parts):
            return False
        self.parts.append(text)
        return True

    def has_gap(self, offset):
        """Return whether tokens are missing before an offset."""
        return offset > len(self.parts)

    def length(self):
        """Return the number of tokens."""
        return len(self.parts)

    def text(self):
        """Return the concatenated tokens."""
        return ''.join(self.parts)
