"""The stage work of one request, step after step."""

from dataclasses import dataclass
from functools import partial

from twisted.internet.defer import CancelledError, Deferred

from pollenstile.stagework._decisions import call_seconds
from pollenstile.stagework._types import Group, GroupDone

# Share of a call that a group waits on average for an upstream to fall free.
_USUAL_WAIT = 0.5


@dataclass(slots=True, frozen=True)
class Plan:
    """What a request's steps need.

    Parameters
    ==========

    request, key : str
        The attempt, and the input of its first steps.
    steps : tuple of StageStep
        Of the route.
    counts : tuple of int
        Pieces of each step; 0 leaves it out.
    latest : tuple of float
        On the clock: when each step's pieces are due.
    ends : float
        On the clock: the deadline.
    near : str
        Failure domain in which the last results are read, if it is known.
    """

    request: str
    key: str
    steps: tuple
    counts: tuple[int, ...]
    latest: tuple[float, ...]
    ends: float
    urgency: int
    near: str = ''


@dataclass(slots=True, frozen=True)
class ChainFailed:
    """A step has no results; the request itself was not run."""

    reason: str
    step: str
    retry_after: float


def plan_of(exchange, ready_by, seconds, near=''):
    """Return the plan of a request's stage work.

    Explanation
    ===========

    Each step is due such that the steps after it, at today's backlogs, and
    the model engine still meet the aim. So the first step's owner, which
    decides whether a request is taken, judges by the whole chain.

    Parameters
    ==========

    exchange : Exchange
        With ``ident``, ``route``, ``counts``, ``stage_key``, ``urgency`` and
        ``ends``.
    ready_by : float
        On the clock: when the model engine must have the results.
    seconds : function
        Takes a service and a number of pieces; returns what they take now.
    near : str
        Failure domain of the model engine that should read the results.
    """
    steps = exchange.route.steps
    times = [
        seconds(step.service, count) if count else 0
        for step, count in zip(steps, exchange.counts, strict=True)
    ]
    latest = [
        ready_by - _later_seconds(steps, times, place)
        for place, _ in enumerate(steps)
    ]
    return Plan(
        exchange.ident,
        exchange.stage_key,
        steps,
        tuple(exchange.counts),
        tuple(latest),
        exchange.ends,
        exchange.urgency,
        near,
    )


def usual_seconds(limits, count):
    """Return what a step takes when its upstreams are not crowded."""
    one = call_seconds(limits, min(count, limits.batch))
    return one + _USUAL_WAIT * limits.call_seconds


def crowded_seconds(limits):
    """Return the wait from which a stage's room is worth saving.

    Explanation
    ===========

    A piece that finds a worker busy waits for half a call on average and for
    its own, which is a full one at most.
    """
    full = call_seconds(limits, limits.batch)
    return full + _USUAL_WAIT * limits.call_seconds


def _later_seconds(steps, times, place):
    """Return the time of the longest path of steps after one."""
    longest = 0
    for number, step in enumerate(steps):
        if place in step.after:
            path = times[number] + _later_seconds(steps, times, number)
            longest = max(longest, path)
    return longest


class Chain:
    """Runs a plan's steps, and releases what is not needed any more.

    Parameters
    ==========

    client : StageClient
        Finds the owners of stages.
    plan : Plan
        What is needed.

    Attributes
    ==========

    held : dict
        Results that were not released, by step: owner host and handles.
    asked : dict
        Owner hosts' groups under way, by step.
    done, read : set
        Steps that are made, and those whose inputs were fetched.
    """

    __slots__ = ('asked', 'client', 'done', 'failure', 'held', 'plan', 'read')

    def __init__(self, client, plan):
        self.client = client
        self.plan = plan
        self.held = {}
        self.asked = {}
        self.done = set()
        self.read = set()
        self.failure = None

    async def handles(self):
        """Return the last steps' handles, or ``ChainFailed``."""
        finished = Deferred()
        self._follow(self._start_ready(), finished)
        try:
            if self.asked:
                await finished
        except CancelledError:
            self.withdraw()
            raise
        if self.failure is not None:
            self.withdraw()
            return self.failure
        return tuple(
            handle
            for number in self._final_steps()
            for handle in self.held.get(number, ('', ()))[1]
        )

    def withdraw(self):
        """Give up: nothing more is made, and all results are released."""
        for number, asked in list(self.asked.items()):
            self.client.cancel(self.plan.steps[number].service, self.plan)
            asked.cancel()
        self.asked = {}
        self.release()

    def release(self):
        """Release all results that are left."""
        for number in list(self.held):
            self._release_step(number)

    def _start_ready(self):
        started = []
        for number, step in enumerate(self.plan.steps):
            known = number in self.done or number in self.asked
            if known or not self.plan.counts[number]:
                continue
            needs = [one for one in step.after if self.plan.counts[one]]
            if any(one not in self.done for one in needs):
                continue
            asked = self.client.submit(
                self._group(number, step, needs),
                partial(self._inputs_read, number),
            )
            self.asked[number] = asked
            asked.addCallback(_with_number, number)
            started.append(asked)
        return started

    def _follow(self, started, finished):
        for asked in started:
            asked.addCallback(self._step_ended, finished)
            asked.addErrback(self._step_failed, finished)

    def _step_failed(self, failure, finished):
        if failure.check(CancelledError):
            return
        self.failure = ChainFailed(repr(failure.value), 'program', 0)
        _fire(finished)

    def _group(self, number, step, needs):
        inputs = tuple(
            handle for need in needs for handle in self.held[need][1]
        )
        return Group(
            request=self.plan.request,
            service=step.service,
            step=number,
            count=self.plan.counts[number],
            key='' if inputs else self.plan.key,
            inputs=inputs,
            result_bytes=step.result_bytes,
            urgency=self.plan.urgency,
            due=self.plan.latest[number],
            ends=self.plan.ends,
            near=self._near(number, inputs),
        )

    def _near(self, number, inputs):
        if inputs:
            return self.client.domain_of(inputs)
        return self.plan.near if number in self._final_steps() else ''

    def _step_ended(self, ended, finished):
        number, owner, outcome = ended
        self.asked.pop(number, None)
        if not isinstance(outcome, GroupDone):
            step = self.plan.steps[number].service
            self.failure = ChainFailed(
                outcome.reason,
                step,
                outcome.retry_after,
            )
            _fire(finished)
            return
        self.done.add(number)
        self.read.add(number)
        self.held[number] = (owner, outcome.handles)
        self._follow(self._start_ready(), finished)
        self._release_read()
        if not self.asked:
            _fire(finished)

    def _inputs_read(self, number):
        """Release inputs early, if the stage that made them is short of room.

        Explanation
        ===========

        One piece in 500 fails, and has to read its inputs again. Released
        while its call ran, they would be gone and the request lost with them;
        kept, they only cost room, which on most days is there.
        """
        needs = self.plan.steps[number].after
        services = {self.plan.steps[need].service for need in needs}
        if not any(self.client.is_crowded(one) for one in services):
            return
        self.read.add(number)
        self._release_read()

    def _final_steps(self):
        followed = {
            one
            for number, step in enumerate(self.plan.steps)
            if self.plan.counts[number]
            for one in step.after
        }
        return [
            number
            for number in range(len(self.plan.steps))
            if number not in followed
        ]

    def _release_read(self):
        """Release results that all their readers have read."""
        finals = self._final_steps()
        for number in list(self.held):
            if number in finals:
                continue
            readers = [
                other
                for other, step in enumerate(self.plan.steps)
                if number in step.after and self.plan.counts[other]
            ]
            if all(reader in self.read for reader in readers):
                self._release_step(number)

    def _release_step(self, number):
        owner, handles = self.held.pop(number)
        self.client.release(owner, self.plan.steps[number].service, handles)


def _with_number(ended, number):
    owner, outcome = ended
    return number, owner, outcome


def _fire(deferred):
    if not deferred.called:
        deferred.callback(None)
