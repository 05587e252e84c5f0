"""Faults that a stand-in shows on request."""


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
