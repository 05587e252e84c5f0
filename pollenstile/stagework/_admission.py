"""Admission of new groups to an owner's queue, by their expected wait."""

from pollenstile.stagework import events
from pollenstile.stagework._batching import is_tight
from pollenstile.stagework._calltimes import full_seconds
from pollenstile.stagework._ranking import count_ahead, count_before
from pollenstile.stagework._waiting import (
    expected_wait,
    is_short,
    may_join_queue,
)

_MS = 1000
# Refusal reasons of groups that can't be in time, and of groups of later steps
# that can't be made before their request's deadline.
BUSY = 'busy'
LATE = 'late'


class Admission:
    """Decides whether new groups may join a queue.

    Parameters
    ==========

    owner : Owner
        Owner of the queue.
    """

    __slots__ = ('owner',)

    def __init__(self, owner):
        self.owner = owner

    def wait(self, count):
        """Return expected seconds of wait for pieces that join the queue."""
        return self._wait_behind(len(self.owner.waiting) + count)

    def is_tight(self):
        """Return whether the stage is short of memory for results."""
        owner = self.owner
        if owner.limits is None:
            return False
        now = owner.clock.seconds()
        return is_tight(owner.workers.values(), owner.limits, now)

    def admits(self, group):
        """Return whether a group may join the queue, and log a refusal."""
        owner = self.owner
        now = owner.clock.seconds()
        full = full_seconds(owner.limits)
        ahead = count_ahead(group, owner.waiting, now, full)
        wait = self._wait_behind(ahead + group.count)
        share = owner.stats.admitted_share(group.urgency)
        accepted = may_join_queue(group, wait, now, full, share)
        reason = '' if accepted else BUSY
        if owner.shares is not None:
            reason = self._graded_refusal(group, reason, wait, now)
        if group.is_first:
            owner.stats.record_admission(group.urgency, accepted=not reason)
        if reason:
            owner.log(
                events.STAGE_REFUSED,
                request=group.request,
                service=owner.service,
                step=group.step,
                reason=reason,
                waiting=len(owner.waiting),
                ahead=ahead,
                wait_ms=int(wait * _MS),
                due_ms=int((group.due - now) * _MS),
                share=round(share, 2),
            )
        return not reason

    def _graded_refusal(self, group, reason, wait, now):
        """Return why a graded queue refuses a group; empty if it does not.

        Explanation
        ===========

        A queue that is short refuses nobody for the shares of others, as its
        workers would be idle. A refusal that even an empty queue would make
        says nothing about shares and is not recorded.
        """
        owner = self.owner
        full = full_seconds(owner.limits)
        if not group.is_first:
            return LATE if self._ends_late(group, now, full) else ''
        short = is_short(group, wait, full)
        if not reason and not short:
            reason = owner.shares.refuses(group, now)
        if not reason or not short:
            owner.shares.record(group, now, accepted=not reason)
        return reason

    def _ends_late(self, group, now, full):
        before = count_before(group, self.owner.waiting, now, full)
        wait = self._wait_behind(before + group.count)
        return now + wait > group.deadline

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
