"""What a question shows of the process at the other end."""

import enum


class Sign(enum.Enum):
    """What came of a question on a connection."""

    # Some bytes.
    ANSWERED = 'answered'
    # Another process has answered that the question is not for it.
    OTHER = 'other'
    # Nothing, but the other system has received the question.
    OPEN = 'open'
    # The connection was closed in order without an answer.
    CLOSED = 'closed'
    # It was reset, as that of a process that has ended is.
    RESET = 'reset'
    # There was no connection: the system has answered that nobody listens.
    REFUSED = 'refused'
    # Nothing at all was heard.
    UNREACHED = 'unreached'
