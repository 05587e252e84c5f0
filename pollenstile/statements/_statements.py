"""What the headers of an answer state about further requests."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class StatementHeaders:
    """Names of the headers with statements.

    Parameters
    ==========

    rate : bytes
        Requests a second that an upstream accepts from all hosts together.
    rest : bytes
        Seconds for which an upstream that turned a request away wants none.
    leaving : bytes
        Whether the upstream leaves; empty if headers do not state it.
    brittle : bytes
        Requests that the upstream may turn away in a second before it falls
        over; empty if headers do not state it.
    """

    rate: bytes
    rest: bytes
    leaving: bytes = b''
    brittle: bytes = b''


@dataclass(slots=True, frozen=True)
class Statements:
    """Statements of one answer, not yet parsed.

    Parameters
    ==========

    status : int
        Status code of the answer.
    rates, leaving, rests, brittle : tuple of str
        Values of the headers; empty for a missing one.
    date : str
        Date of the answer by its own clock; empty if it has none.
    is_proof : bool
        Whether the answer is certainly the upstream's own and complete in its
        headers.
    request : str
        Identifier of the request that was answered, for log lines; empty if it
        stands for several.
    """

    status: int
    rates: tuple = ()
    leaving: tuple = ()
    rests: tuple = ()
    date: str = ''
    is_proof: bool = False
    request: str = ''
    brittle: tuple = ()


def read_statements(response, headers, *, is_proof, request=''):
    """Return the :class:`Statements` of an answer.

    Parameters
    ==========

    response : Response
        Status and headers of the answer.
    headers : object
        With the fields of :class:`StatementHeaders`.
    is_proof : bool
        See :class:`Statements`.
    request : str
        See :class:`Statements`.
    """
    dates = _texts(response, b'date')
    return Statements(
        response.code,
        _texts(response, headers.rate),
        _texts(response, headers.leaving),
        _texts(response, headers.rest),
        dates[0] if dates else '',
        is_proof,
        request,
        _texts(response, headers.brittle),
    )


def _texts(response, name):
    values = response.headers.getRawHeaders(name, ()) if name else ()
    return tuple(text.decode('latin-1') for text in values)
