"""Which groups may wait in an owner's queue, and for how long they would."""

from pollenstile.stagework import events
from pollenstile.stagework._batching import is_tight
from pollenstile.stagework._calltimes import full_seconds
from pollenstile.stagework._ranking import ahead_of
from pollenstile.stagework._waiting import may_join_queue, expected_wait

_MS = 1000


class Admission:
    """Judges new groups by what waits before them.

    Parameters
    ==========

    owner : Owner
        Whose queue it is.
    """

    __slots__ = ('owner',)

    def __init__(self, owner):
        self.owner = owner

    def wait(self, count):
        """Return seconds until pieces behind all others would be made."""
        return self._wait_behind(len(self.owner.waiting) + count)

    def is_tight(self):
        """Return whether the stage is short of room for results."""
        owner = self.owner
        if owner.limits is None:
            return False
        now = owner.clock.seconds()
        return is_tight(owner.workers.values(), owner.limits, now)

    def takes(self, group):
        """Return whether a group may wait; log it when it may not."""
        owner = self.owner
        now = owner.clock.seconds()
        full = full_seconds(owner.limits)
        ahead = ahead_of(group, owner.waiting, now, full)
        wait = self._wait_behind(ahead + group.count)
        share = owner.stats.share(group.urgency)
        taken = may_join_queue(group, wait, now, full, share)
        if group.is_first:
            owner.stats.note_taken(group.urgency, taken=taken)
        if not taken:
            owner.log(
                events.STAGE_REFUSED,
                request=group.request,
                service=owner.service,
                step=group.step,
                reason='busy',
                waiting=len(owner.waiting),
                ahead=ahead,
                wait_ms=int(wait * _MS),
                due_ms=int((group.due - now) * _MS),
                share=round(share, 2),
            )
        return taken

    def _wait_behind(self, ahead):
        owner = self.owner
        if owner.limits is None:
            return 0
        now = owner.clock.seconds()
        rate = owner.stats.rate(now, queued=bool(owner.waiting))
        return expected_wait(
            ahead,
            list(owner.workers.values()),
            owner.limits,
            now,
            rate if self.is_tight() else 0,
        )
