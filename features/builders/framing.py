"""Reads the answers of hosts by the framing that their heads state."""

_BLANK_LINE = b'\r\n\r\n'
_LENGTH = b'content-length: '
_CHUNKED = b'transfer-encoding: chunked'
LAST_CHUNK = b'0\r\n\r\n'
# Statuses of answers without a body.
_BODILESS = (b'204', b'205', b'304')


def split_answer(received):
    """Return the head of an answer, its body and whether that is complete.

    Explanation
    ===========

    Only an answer after which nothing else was received is complete.
    """
    head, found, rest = received.partition(_BLANK_LINE)
    if not found:
        return head, b'', False
    fields = head.lower()
    if _CHUNKED in fields:
        body, is_ended = joined_chunks(rest)
        return head, body, is_ended and rest.endswith(LAST_CHUNK)
    return head, rest, len(rest) == _length_of(fields)


def joined_chunks(rest):
    """Return the joined chunks of a body, and whether the last one is there."""
    body = b''
    while rest:
        size_line, _, rest = rest.partition(b'\r\n')
        size = int(size_line, 16)
        if not size:
            return body, True
        body += rest[:size]
        rest = rest[size + 2 :]
    return body, False


def _length_of(fields):
    """Return the length of a body without chunks; None if none is stated."""
    _, found, after = fields.partition(_LENGTH)
    if found:
        return int(after.partition(b'\r\n')[0])
    return 0 if fields.split(b' ', 2)[1] in _BODILESS else None
