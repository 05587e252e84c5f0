"""Second answers to a request, in what passes for the body of the first."""

import re

from pollenstile.ops.answers import MAX_HEAD_BYTES

_LINE_END = b'\n'
_VERSION = b'HTTP/1.'
_FIRST = _VERSION[:1]
# Beginning of a status line, by RFC 9112, section 4.
_STATUS = re.compile(rb'HTTP/1\.[0-9] [1-5][0-9]{2}(?![^ \r\n])')
_STATUS_BYTES = len(b'HTTP/1.1 200')
# Beginning of a line of a field, or of one that continues it.
_FIELD = re.compile(rb"[\w!#$%&'*+.^`|~-]+[ \t]*:|[ \t]+[^ \t\r]")


class SecondAnswerSearch:
    """Searches a body for the head of a second answer to the same request.

    Explanation
    ===========

    An upstream that answers twice sends a second head where the body ends, or
    in the middle of it. It may begin anywhere in a line. What tells it from a
    body that quotes a head is the identifier of the request, which is echoed in
    a field below the status line.

    A head may be received in any number of parts. The search keeps the bytes of
    one line.

    Parameters
    ==========

    name : bytes
        Name of the field that echoes the identifier.
    ident : bytes
        Identifier of the request.

    Attributes
    ==========

    is_found : bool
        Whether there is a second answer.
    is_in_head : bool
        Whether the lines before this one may be the beginning of a head.
    head_bytes : int
        Bytes of these lines.
    line : bytes
        Received part of a line that may belong to a head.
    last_start : int or None
        Position in that line before which a head has to begin; None while the
        body goes on.

    Examples
    ========

    >>> from pollenstile.forward._secondanswer import SecondAnswerSearch
    >>> search = SecondAnswerSearch(b'x-attempt', b'a1')
    >>> end = bytes((13, 10))
    >>> search.feed(b'a body' + end + b'HTTP/1.1 200 OK' + end + b'X-Att')
    >>> search.is_found, search.may_follow()
    (False, True)
    >>> search.feed(b'empt: a1' + end)
    >>> search.is_found
    True
    """

    __slots__ = (
        'echo',
        'head_bytes',
        'is_found',
        'is_in_head',
        'last_start',
        'line',
    )

    def __init__(self, name, ident):
        self.echo = re.compile(
            rb'(?i:%s)[ \t]*:[ \t]*%s[ \t]*\r?'
            % (re.escape(name), re.escape(ident))
        )
        self.is_found = False
        self.is_in_head = False
        self.head_bytes = 0
        self.line = b''
        self.last_start = None

    def feed(self, data):
        """Search the next part of the body."""
        received = self.line + data
        start = self._line_start(received, 0)
        end = received.find(_LINE_END, start)
        while end >= 0 and not self.is_found:
            self._note_line(received[start:end])
            start = self._line_start(received, end + 1)
            end = received.find(_LINE_END, start)
        self.line = received[start:]
        if self.last_start is not None:
            self.last_start = max(0, self.last_start - start)
        if self.head_bytes + len(self.line) > MAX_HEAD_BYTES:
            self._drop_head()

    def feed_rest(self, data):
        """Search bytes after the end of the body, where no head may begin."""
        if self.last_start is None:
            self.last_start = len(self.line)
        self.feed(data)

    def may_follow(self):
        """Return whether bytes that follow may show a head that has begun."""
        return not self.is_found and bool(self.is_in_head or self.line)

    def is_found_by_end(self):
        """Return whether there is a second answer in what has ended."""
        is_cut = self.is_in_head and self.echo.fullmatch(self.line)
        return self.is_found or bool(is_cut)

    def _line_start(self, received, position):
        """Return where the next line begins that may belong to a head."""
        if self.is_in_head:
            return position
        start = _status_start(received, position)
        is_outside = self.last_start is not None and start >= self.last_start
        return len(received) if is_outside else start

    def _note_line(self, line):
        if _STATUS.search(line):
            self.is_in_head = True
            self.head_bytes = 0
        elif not self.is_in_head:
            return
        elif self.echo.fullmatch(line):
            self.is_found = True
        elif not _FIELD.match(line):
            self._drop_head()
        self.head_bytes += len(line)

    def _drop_head(self):
        """Give up lines that are no head, or too many for one."""
        self.is_in_head = False
        self.head_bytes = 0
        self.line = b''


def _status_start(received, position):
    """Return where a status line may begin; the end of all without one."""
    start = received.find(_VERSION, position)
    status = _STATUS.search(received, start) if start >= 0 else None
    if status is not None:
        return status.start()
    return _cut_status_start(received, position)


def _cut_status_start(received, position):
    """Return where a status line may begin that the end cuts; else the end."""
    size = len(received)
    start = received.find(_FIRST, max(position, size - _STATUS_BYTES + 1))
    while start >= 0:
        if _VERSION.startswith(received[start : start + len(_VERSION)]):
            return start
        start = received.find(_FIRST, start + 1)
    return size
