"""What hosts ask each other about stage work."""

from pollenstile.peer import Unanswered
from pollenstile.stagework._owner import NO_WORKERS

ASK = 'stage'
RELEASE = 'stage-release'
CANCEL = 'stage-cancel'
READ = 'stage-read'
BACKLOG = 'stage-backlog'
# Seconds for asks whose answer nobody needs.
WORD_SECONDS = 2.0


def is_final(outcome):
    """Return whether a group's outcome is no reason to ask another host."""
    if isinstance(outcome, Unanswered):
        return False
    return getattr(outcome, 'reason', '') != NO_WORKERS
