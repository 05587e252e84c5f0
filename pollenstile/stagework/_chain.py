"""The stage work of one request, step after step."""

from dataclasses import dataclass
from functools import partial

from twisted.internet.defer import CancelledError, Deferred

from pollenstile.stagework._calltimes import full_seconds
from pollenstile.stagework._plan import (
    final_steps,
    input_bytes,
    moved_bytes,
    waits_for_others,
)
from pollenstile.stagework._types import Group, GroupDone

# Bytes between failure domains from which pieces wait for a worker near their
# inputs. Each piece of a step reads all results of the step before; a step
# that reads half a megabyte in all waited 0.1 s at the median to spare what
# one result of another step weighs six times.
_WORTH_WAITING = 1_000_000


@dataclass(slots=True, frozen=True)
class ChainFailed:
    """A step has no results; the request itself was not run."""

    reason: str
    step: str
    retry_after: float


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
    nears : dict
        Failure domain in which most of a step's inputs lie, by step.
    crossed : int
        Bytes that its steps read in another failure domain.
    unused : int
        Results that were given up unread.
    waited : float
        Seconds since the caller's first arrival, as far as an owner knew it.
    """

    __slots__ = (
        'asked',
        'client',
        'crossed',
        'done',
        'failure',
        'held',
        'nears',
        'plan',
        'read',
        'unused',
        'waited',
    )

    def __init__(self, client, plan):
        self.client = client
        self.plan = plan
        self.held = {}
        self.asked = {}
        self.done = set()
        self.read = set()
        self.failure = None
        self.nears = {}
        self.crossed = 0
        self.unused = 0
        self.waited = 0.0

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
            for number in final_steps(self.plan)
            for handle in self.held.get(number, ('', ()))[1]
        )

    def held_bytes(self):
        """Return bytes of the results that are held, by failure domain."""
        found = {}
        for number, (_, handles) in self.held.items():
            size = self.plan.steps[number].result_bytes
            for handle in handles:
                domain = self.client.domain_of((handle,))
                found[domain] = found.get(domain, 0) + size
        return found

    def link_rate(self):
        """Return bytes a second of the slowest link that results come over."""
        rates = [
            self.client.limits_of(self.plan.steps[number].service).link_rate
            for number in self.held
        ]
        return min(rates, default=1.0)

    def withdraw(self):
        """Give up: nothing more is made, and all results are released."""
        for number, asked in list(self.asked.items()):
            self.client.cancel(self.plan.steps[number].service, self.plan)
            asked.cancel()
        self.asked = {}
        self.unused += sum(len(handles) for _, handles in self.held.values())
        self.release()

    def release(self):
        """Release all results that are left."""
        for number in list(self.held):
            self._release_step(number)

    def _start_ready(self):
        started = []
        for number, step in enumerate(self.plan.steps):
            if not self._may_start(number, step):
                continue
            needs = [one for one in step.after if self.plan.counts[one]]
            asked = self.client.submit(
                self._group(number, step, needs),
                partial(self._inputs_read, number),
            )
            self.asked[number] = asked
            asked.addCallback(_with_number, number)
            started.append(asked)
        return started

    def _may_start(self, number, step):
        known = number in self.done or number in self.asked
        counts = self.plan.counts
        if known or not counts[number]:
            return False
        if any(counts[one] and one not in self.done for one in step.after):
            return False
        done = self.done
        return not waits_for_others(
            self.plan,
            number,
            done,
            self._seconds,
            full_seconds(self.client.limits_of(step.service)),
        )

    def _seconds(self, number):
        service = self.plan.steps[number].service
        return self.client.seconds(service, self.plan.counts[number])

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
        # The owner of a step with a key takes off itself what it knows of the
        # caller's first arrival; taken off here as well, it would count twice.
        waited = self.waited if inputs else 0
        return Group(
            request=self.plan.request,
            service=step.service,
            step=number,
            count=self.plan.counts[number],
            key='' if inputs else self.plan.key,
            inputs=inputs,
            result_bytes=step.result_bytes,
            urgency=self.plan.urgency,
            due=self.plan.latest[number] - waited,
            deadline=self.plan.deadline,
            near=self._near(number, inputs),
            is_first=not self.done,
            later_crowded=self._is_later_crowded(number),
            content=self.plan.content,
            team=self.plan.team,
        )

    def _is_later_crowded(self, number):
        plan = self.plan
        return any(
            plan.counts[other] and self.client.is_queue_long(step.service)
            for other, step in enumerate(plan.steps)
            if other not in self.done and other != number
        )

    def _near(self, number, inputs):
        """Return the domains in which a step is best made, empty for any.

        Explanation
        ===========

        Where much lies that it reads; else where there are workers for the
        steps that will read much of it. Without the latter, a third of all
        chains crossed while one of three domains had lost its only worker of
        the last step.
        """
        plan = self.plan
        if inputs:
            self.nears[number] = self.client.domain_of(inputs)
        if inputs and moved_bytes(plan, number) > _WORTH_WAITING:
            return (self.nears[number],)
        for reader, step in enumerate(plan.steps):
            heavy = moved_bytes(plan, reader) > _WORTH_WAITING
            if number in step.after and heavy:
                return self.client.domains_with(step.service)
        is_final = number in final_steps(plan)
        return (plan.near,) if plan.near and is_final else ()

    def _step_ended(self, ended, finished):
        number, owner, outcome = ended
        self.asked.pop(number, None)
        self.waited = max(self.waited, outcome.waited)
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
        near = self.nears.get(number)
        if near:
            domains = [self.client.domain_of((one,)) for one in outcome.handles]
            far = len(domains) - domains.count(near)
            self.crossed += far * input_bytes(self.plan, number)
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

    def _release_read(self):
        """Release results that all their readers have read."""
        finals = final_steps(self.plan)
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
