"""Outcomes of attempts."""

from pollenstile.forward._types import NotRun

_SERVER_ERRORS = range(500, 600)
# An upstream found that a stage result has expired; the request did not run.
RESULTS_GONE = NotRun('results gone')


class Delivered:
    """The complete answer was sent to the caller."""

    __slots__ = ()


class UpstreamFailure:
    """A complete answer that reports a failure of the upstream.

    Parameters
    ==========

    status : int
        Status code of the answer.
    phrase : bytes
        Reason phrase of the answer.
    headers : list of tuple
        Names and values of the answer's headers.
    body : bytes
        Body of the answer.
    """

    __slots__ = ('body', 'headers', 'phrase', 'status')

    def __init__(self, status, phrase, headers, body):
        self.status = status
        self.phrase = phrase
        self.headers = headers
        self.body = body

    @property
    def is_retryable(self):
        """Whether another upstream may answer better."""
        return self.status in _SERVER_ERRORS
