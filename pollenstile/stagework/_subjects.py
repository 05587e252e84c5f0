"""Subjects of the messages between hosts about stage work."""

from pollenstile.peer import Unanswered
from pollenstile.stagework._owner import NO_WORKERS

ASK = 'stage'
RELEASE = 'stage-release'
CANCEL = 'stage-cancel'
READ = 'stage-read'
BACKLOG = 'stage-backlog'
# Timeout in seconds of messages whose answer is not needed.
NOTICE_TIMEOUT_SECONDS = 2.0


def is_final(outcome):
    """Return whether a group's outcome is final, so no other host is asked."""
    if isinstance(outcome, Unanswered):
        return False
    return getattr(outcome, 'reason', '') != NO_WORKERS
