"""Bodies of answers that are one JSON document."""

from twisted.web.client import PartialDownloadError, readBody


async def read_document(response):
    """Return the bytes of an answer's body, which is to be a JSON document.

    Explanation
    ===========

    An answer may have neither a length nor chunks and end with its connection.
    The client can't tell such a body from one that broke off. A JSON array or
    object can, as it has an end of its own, so the decoder decides.

    Parameters
    ==========

    response : twisted.web.iweb.IResponse
        Head of the answer.

    Raises
    ======

    Exception
        If the connection was lost before the end of a framed body.
    """
    try:
        return await readBody(response)
    except PartialDownloadError as error:
        return error.response
