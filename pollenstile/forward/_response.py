"""Reads the whole answer of a call whose body is a document."""

from pollenstile.forward._types import Lost, NotRun
from pollenstile.ops.documents import read_document


async def read_response(call, max_bytes):
    """Return status, head and body of a call; status 0 without an answer.

    Explanation
    ===========

    The head of a call without an answer is its :class:`NotRun` or
    :class:`Lost`.
    """
    response = await call.head
    if isinstance(response, (NotRun, Lost)):
        return 0, response, b''
    content = await read_document(response, max_bytes)
    call.close()
    return response.code, response, content
