"""Faults that a stand-in shows on request."""

from pollenstile.upstream import wire

_OTHER = 'other/call/1'


class Faults:
    """Switches of one stand-in, set by tests and by its command line.

    Parameters
    ==========

    slow : float
        Factor on working time.
    frozen : bool
        Takes calls, never answers.
    refusing : bool
        Refuses calls as not run.
    foreign : bool
        Answers with another call's attempt id.
    cut_after : int
        Breaks a stream after so many tokens; -1 for never.
    leaving : bool
        Reports that it wants no new work.
    """

    __slots__ = (
        'cut_after',
        'foreign',
        'frozen',
        'leaving',
        'refusing',
        'slow',
    )

    def __init__(self):
        self.slow = 1.0
        self.frozen = False
        self.refusing = False
        self.foreign = False
        self.cut_after = -1
        self.leaving = False

    def stated(self, attempt):
        """Return the attempt that an answer names."""
        return _OTHER if self.foreign else attempt


def state_attempt(http, faults):
    """Name the attempt in the header of a stand-in's answer.

    Parameters
    ==========

    http : twisted.web.server.Request
        The call.
    faults : Faults
        Of the stand-in.
    """
    attempt = http.getHeader(wire.ATTEMPT_HEADER) or ''
    http.setHeader(wire.ATTEMPT_HEADER, faults.stated(attempt.strip()))
