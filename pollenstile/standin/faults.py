"""Injectable faults of fake upstreams."""

from pollenstile.upstream import wire

_FOREIGN_ATTEMPT = 'other/call/1'


class Faults:
    """Fault switches of one fake upstream, set by tests and simulations.

    Parameters
    ==========

    slow : float
        Factor by which run times are multiplied.
    frozen : bool
        Whether it accepts calls and never answers.
    refusing : bool
        Whether it refuses calls as not run.
    foreign : bool
        Whether answers name the attempt of another call.
    endless : bool
        Whether an engine sends its last token again and again.
    cut_after : int
        Number of tokens after which a stream breaks off, or -1 for never.
    leaving : bool
        Whether load reports ask for no new work.
    """

    __slots__ = (
        'cut_after',
        'endless',
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
        self.endless = False
        self.cut_after = -1
        self.leaving = False

    def attempt_to_name(self, attempt):
        """Return the attempt to name in an answer."""
        return _FOREIGN_ATTEMPT if self.foreign else attempt


def set_attempt_header(http, faults):
    """Set the attempt header of an answer.

    Parameters
    ==========

    http : twisted.web.server.Request
        Call to answer.
    faults : Faults
        Faults of the upstream that answers.
    """
    attempt = http.getHeader(wire.ATTEMPT_HEADER) or ''
    http.setHeader(wire.ATTEMPT_HEADER, faults.attempt_to_name(attempt.strip()))
