"""HTTP client connections that take only well-formed heads for answers."""

import re

from twisted.python.failure import Failure
from twisted.web._newclient import (
    HTTP11ClientProtocol,
    HTTPClientParser,
    ParseError,
    _contentLength,
)
from twisted.web.client import ResponseFailed
from twisted.web.http import (
    SWITCHING,
    _ChunkedTransferDecoder,
    _DataLoss,
    _IdentityTransferDecoder,
)

from pollenstile.ops.documents import TooLongError

# Bytes of the longest head of an answer, with the interim heads before it: four
# times the head that callers may send by default, of which an upstream repeats
# some.
MAX_HEAD_BYTES = 65536
# Framing of a body that ends with its connection.
CLOSE_FRAMED = 'close'
# Framing of a body whose length its head states.
LENGTH_FRAMED = 'length'
# States of the library's parser before the end of a head.
_STATUS_STATE = 'STATUS'
_HEAD_STATES = (_STATUS_STATE, 'HEADER')

# Bytes that neither a phrase nor a value may hold, by RFC 9110, section 5.5.
_CONTROLS = rb'\x00-\x08\x0a-\x1f\x7f'
_CONTROL_BYTE = re.compile(rb'[%s]' % _CONTROLS)
# Status line of an HTTP/1 answer, by RFC 9112, section 4. Its phrase may be
# absent, with the blank before it. No status is under 100 or over 599, by RFC
# 9110, section 15.
_STATUS_LINE = re.compile(
    rb'HTTP/1\.[0-9] [1-5][0-9]{2}(?: [^%s]*)?' % _CONTROLS
)

_FIRST_FINAL_STATUS = 200
# Errors of the library's parser for a status, a name, a length, a transfer
# coding that it doesn't know, and a folded line without a first one.
_LIBRARY_ERRORS = (ParseError, ValueError, KeyError, AttributeError)
# Field of an answer whose body is encoded. No request asks for that, so the
# body is not as its upstream made it.
_CONTENT_CODING = b'content-encoding'
_TRANSFER_CODING = b'transfer-encoding'
_CONTRADICTION = 'length, which is not that of the chunks'


class MalformedAnswerError(Exception):
    """A head that is none in HTTP/1, or that no request can be answered with.

    Parameters
    ==========

    part : str
        The malformed part.
    """

    def __init__(self, part):
        super().__init__(f'malformed {part}')
        self.part = part


class _MeasuredChunks(_ChunkedTransferDecoder):
    """Decodes chunks beside which their length is stated as well.

    Explanation
    ===========

    A sender must not state both, and two framings that contradict each other
    ought to be handled as an error, by RFC 9112, sections 6.1 and 6.3.

    Parameters
    ==========

    decoder : _ChunkedTransferDecoder
        The library's decoder, which has received nothing.
    stated : int
        Bytes that the chunks are to have.
    """

    def __init__(self, decoder, stated):
        super().__init__(self._measure, decoder.finishCallback)
        self.deliver = decoder.dataCallback
        self.missing = stated

    def noMoreData(self):
        """Check that all of the body was received; called by Twisted."""
        super().noMoreData()
        if self.missing:
            raise _DataLoss(_CONTRADICTION)

    def _measure(self, data):
        self.missing -= len(data)
        if self.missing < 0:
            raise MalformedAnswerError(_CONTRADICTION)
        self.deliver(data)

    def _dataReceived_TRAILER(self):
        if self.missing:
            raise MalformedAnswerError(_CONTRADICTION)
        return super()._dataReceived_TRAILER()


class _AnswerParser(HTTPClientParser):
    """Reads heads more strictly than the library's parser.

    Explanation
    ===========

    The library reads numbers with ``int()``, which takes signs, underscores
    and blanks, and any number of digits. It checks the names of fields, but
    passes on whatever bytes their values hold.
    """

    def lineReceived(self, line):
        """Check a line of the head; called by Twisted."""
        content = line.removesuffix(b'\r')
        if self.state != _STATUS_STATE:
            _check_field_value(content)
        elif not _STATUS_LINE.fullmatch(content):
            raise MalformedAnswerError('status line')
        try:
            super().lineReceived(line)
        except _LIBRARY_ERRORS as error:
            raise MalformedAnswerError(
                f'head ({type(error).__name__})'
            ) from error

    def allHeadersReceived(self):
        """Check the complete head; called by Twisted."""
        if self.response.code == SWITCHING:
            # No request asks for it, and what follows is not HTTP.
            raise MalformedAnswerError('switch of protocols')
        if self._has_body():
            self._check_codings()
        super().allHeadersReceived()

    def switchToBodyMode(self, decoder):
        """Read the body from now on; called by Twisted."""
        stated = self._stated_length()
        if isinstance(decoder, _ChunkedTransferDecoder) and stated is not None:
            decoder = _MeasuredChunks(decoder, stated)
        super().switchToBodyMode(decoder)

    def _stated_length(self):
        try:
            return _contentLength(self.connHeaders)
        except ValueError as error:
            raise MalformedAnswerError('length') from error

    def _check_codings(self):
        if self.headers.hasHeader(_CONTENT_CODING):
            raise MalformedAnswerError('content coding')
        # The library reads the first of them.
        if len(self.connHeaders.getRawHeaders(_TRANSFER_CODING, ())) > 1:
            raise MalformedAnswerError('transfer coding')

    def _has_body(self):
        """Return whether a body follows on the head."""
        status = self.response.code
        if status < _FIRST_FINAL_STATUS or status in self.NO_BODY_CODES:
            return False
        return self.request.method != b'HEAD'


def _check_field_value(line):
    """Check the value on a line of a field, or on a folded line."""
    is_folded = line.startswith((b' ', b'\t'))
    value = line if is_folded else line.partition(b':')[2]
    if _CONTROL_BYTE.search(value):
        raise MalformedAnswerError('field value')


def _ignore_idle(connection):
    """Ignore a connection on which an answer has ended."""


class AnswerConnection(HTTP11ClientProtocol):
    """Reads answers, of which each head is well-formed and bounded.

    Explanation
    ===========

    A request fails with :class:`MalformedAnswerError` or, for a head that is
    too long, with :class:`TooLongError`, in the reasons of the library's
    ``ResponseFailed``.

    Parameters
    ==========

    on_idle : function
        Called with the connection when a further request may be sent on it.

    Attributes
    ==========

    head_bytes : int
        Bytes received of the head of the current answer.
    """

    def __init__(self, on_idle=_ignore_idle):
        super().__init__(on_idle)
        self.head_bytes = 0

    def request(self, request):
        """Send a request; called by Twisted."""
        parser = self._parser
        answer = super().request(request)
        # A request on a connection in use fails and gets no parser.
        if self._parser is not parser:
            self.head_bytes = 0
            self._use_strict_parser(request)
            # Readers of bodies get this proxy, which can't abort by itself.
            self._transportProxy.abortConnection = (
                self.transport.abortConnection
            )
            answer.addErrback(self._close_at_once)
        return answer

    def framing(self):
        """Return by what the end of the current answer's body is known.

        Returns
        =======

        str
            ``'length'``, ``'chunks'`` or ``'close'``; empty while there is no
            body.
        """
        decoder = getattr(self._parser, 'bodyDecoder', None)
        if decoder is None:
            return ''
        if not isinstance(decoder, _IdentityTransferDecoder):
            return 'chunks'
        is_close_framed = decoder.contentLength is None
        return CLOSE_FRAMED if is_close_framed else LENGTH_FRAMED

    def dataReceived(self, data):
        """Parse received bytes; called by Twisted."""
        super().dataReceived(data)
        if self._parser is None or self._parser.state not in _HEAD_STATES:
            return
        # The parser bounds one line, but neither their number nor that of the
        # interim heads.
        self.head_bytes += len(data)
        if self.head_bytes > MAX_HEAD_BYTES:
            self._disconnectParser(
                Failure(TooLongError(f'a head over {MAX_HEAD_BYTES} bytes'))
            )

    def answer_ended(self, rest):
        """End the current answer, of which all bytes are received.

        Parameters
        ==========

        rest : bytes
            Received bytes after it.
        """
        self.end_answer(rest)

    def end_answer(self, rest):
        """End the current answer; see :meth:`answer_ended`."""
        if rest:
            # They belong to no request, and more of them may follow.
            self._currentRequest.persistent = False
        self._finishResponse(rest)

    def _close_at_once(self, failure):
        """Close the connection of an answer that can't be read.

        Explanation
        ===========

        The library closes it once the request was written, which may be never.
        """
        if reading_error(failure) is not None:
            self.transport.abortConnection()
        return failure

    def _use_strict_parser(self, request):
        """Replace the parser that the library has made for a request."""
        parser = _AnswerParser(request, self.answer_ended)
        # The request's own Deferred waits for this one.
        parser._responseDeferred = self._responseDeferred
        parser.makeConnection(self._transportProxy)
        self._parser = parser


def reading_error(failure):
    """Return why an answer could not be read.

    Returns
    =======

    MalformedAnswerError, TooLongError or None
        None if a request has failed otherwise.
    """
    reasons = (failure,)
    if failure.check(ResponseFailed):
        reasons = failure.value.reasons
    for reason in reasons:
        if reason.check(MalformedAnswerError, TooLongError):
            return reason.value
    return None
