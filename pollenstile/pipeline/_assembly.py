"""Putting a stream together from chunks of several attempts."""


class Assembly:
    """Tokens of one stream that were passed on.

    Explanation
    ===========

    Chunks carry the offset of their token. A chunk before the next offset is a
    repeat and is dropped; one after it shows a gap, and the attempt that sent
    it can't be trusted with the rest.

    Examples
    ========

    >>> from pollenstile.pipeline._assembly import Assembly
    >>> assembly = Assembly()
    >>> assembly.accepts(0, 'a'), assembly.accepts(0, 'a')
    (True, False)
    >>> assembly.accepts(1, 'b'), assembly.text(), assembly.has_gap(3)
    (True, 'ab', True)
    """

    __slots__ = ('parts',)

    def __init__(self):
        self.parts = []

    def append_if_next(self, offset, text):
        """Return whether the token was the next one; keep it if so."""
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
        """Return all tokens in one text."""
        return ''.join(self.parts)
