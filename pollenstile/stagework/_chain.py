"""Execution of one request's stage steps in dependency order."""

from dataclasses import dataclass
from functools import partial

from twisted.internet.defer import CancelledError, Deferred

from pollenstile.stagework._calltimes import full_seconds
from pollenstile.stagework._plan import (
    final_steps,
    input_bytes,
    moved_bytes,
    should_delay_step,
)
from pollenstile.stagework._types import Group, GroupDone

# Total bytes read by all pieces of a step above which they wait for a worker in
# the failure domain of their inputs. Each piece of a step reads all results of
# the step before. With a lower limit, a step that reads half a
# megabyte in all waited 0.1 s at the median to save a transfer of a sixth of
# the size of one result of another step.
_LOCALITY_MIN_BYTES = 1_000_000


@dataclass(slots=True, frozen=True)
class ChainFailed:
    """A step has no results, so the request itself was not run.

    Parameters
    ==========

    reason, step : str
        Why, and the service of the step.
    retry_after : float
        Seconds until a retry is useful.
    promised : bool
        Whether ``retry_after`` is a promised return time.
    """

    reason: str
    step: str
    retry_after: float
    promised: bool = False


class Chain:
    """Runs the steps of a plan and releases results that are no longer needed.

    Parameters
    ==========

    client : StageClient
        Submits groups to the owners of stages.
    plan : Plan
        Steps to run.

    Attributes
    ==========

    held : dict
        Unreleased results by step: owner host and handles.
    pending : dict
        Deferreds of submitted groups, by step.
    done, read : set
        Numbers of the steps that are made, and of those that have fetched
        their inputs.
    near_domains : dict
        Failure domain that holds most of a step's inputs, by step.
    crossed : int
        Bytes that steps read from another failure domain.
    unused : int
        Number of results that were released unread.
    waited : float
        Seconds since the caller's first arrival, as reported by owners.
    """

    __slots__ = (
        'client',
        'crossed',
        'done',
        'failure',
        'held',
        'near_domains',
        'pending',
        'plan',
        'read',
        'unused',
        'waited',
    )

    def __init__(self, client, plan):
        self.client = client
        self.plan = plan
        self.held = {}
        self.pending = {}
        self.done = set()
        self.read = set()
        self.failure = None
        self.near_domains = {}
        self.crossed = 0
        self.unused = 0
        self.waited = 0.0

    async def handles(self):
        """Return the handles of the final steps, or ``ChainFailed``."""
        finished = Deferred()
        self._add_callbacks(self._start_ready(), finished)
        try:
            if self.pending:
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
        """Return the size of unreleased results by failure domain."""
        sizes = {}
        for number, (_, handles) in self.held.items():
            size = self.plan.steps[number].result_bytes
            for handle in handles:
                domain = self.client.domain_of((handle,))
                sizes[domain] = sizes.get(domain, 0) + size
        return sizes

    def link_rate(self):
        """Return bytes per second of the slowest link that carries results."""
        rates = [
            self.client.limits_of(self.plan.steps[number].service).link_rate
            for number in self.held
        ]
        return min(rates, default=1.0)

    def withdraw(self):
        """Cancel pending groups and release all results."""
        for number, answer in list(self.pending.items()):
            self.client.cancel(self.plan.steps[number].service, self.plan)
            answer.cancel()
        self.pending = {}
        self.unused += sum(len(handles) for _, handles in self.held.values())
        self.release()

    def release(self):
        """Release all remaining results."""
        for number in list(self.held):
            self._release_step(number)

    def _start_ready(self):
        started = []
        for number, step in enumerate(self.plan.steps):
            if not self._may_start(number, step):
                continue
            needs = [need for need in step.after if self.plan.counts[need]]
            answer = self.client.submit(
                self._group(number, step, needs),
                partial(self._inputs_read, number),
            )
            self.pending[number] = answer
            answer.addCallback(_with_number, number)
            started.append(answer)
        return started

    def _may_start(self, number, step):
        known = number in self.done or number in self.pending
        counts = self.plan.counts
        if known or not counts[number]:
            return False
        if any(counts[need] and need not in self.done for need in step.after):
            return False
        done = self.done
        return not should_delay_step(
            self.plan,
            number,
            done,
            self._step_seconds,
            full_seconds(self.client.limits_of(step.service)),
        )

    def _step_seconds(self, number):
        service = self.plan.steps[number].service
        return self.client.seconds(service, self.plan.counts[number])

    def _add_callbacks(self, started, finished):
        for answer in started:
            answer.addCallback(self._step_ended, finished)
            answer.addErrback(self._step_failed, finished)

    def _step_failed(self, failure, finished):
        if failure.check(CancelledError):
            return
        self.failure = ChainFailed(repr(failure.value), 'program', 0)
        _fire(finished)

    def _group(self, number, step, needs):
        inputs = tuple(
            handle for need in needs for handle in self.held[need][1]
        )
        # The owner of a step with a key subtracts the time since the caller's
        # first arrival itself; subtracting it here as well would count it
        # twice.
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
            due=self.plan.due_times[number] - waited,
            deadline=self.plan.deadline,
            near=self._preferred_domains(number, inputs),
            is_first=not self.done,
            later_crowded=self._is_later_crowded(number),
            fingerprint=self.plan.fingerprint,
            team=self.plan.team,
        )

    def _is_later_crowded(self, number):
        plan = self.plan
        return any(
            plan.counts[other] and self.client.is_queue_long(step.service)
            for other, step in enumerate(plan.steps)
            if other not in self.done and other != number
        )

    def _preferred_domains(self, number, inputs):
        """Return the failure domains preferred for a step, empty for any.

        Explanation
        ===========

        A step with large inputs is made where they are held. Otherwise, a step
        whose results are large inputs of another step is made where the other
        step has workers. Without the second rule, a third of all chains crossed
        domains while one of three domains had lost its only worker of the last
        step.
        """
        plan = self.plan
        if inputs:
            self.near_domains[number] = self.client.domain_of(inputs)
        if inputs and moved_bytes(plan, number) > _LOCALITY_MIN_BYTES:
            return (self.near_domains[number],)
        for reader, step in enumerate(plan.steps):
            heavy = moved_bytes(plan, reader) > _LOCALITY_MIN_BYTES
            if number in step.after and heavy:
                return self.client.domains_with(step.service)
        is_final = number in final_steps(plan)
        return (plan.near,) if plan.near and is_final else ()

    def _step_ended(self, result, finished):
        number, owner, outcome = result
        self.pending.pop(number, None)
        self.waited = max(self.waited, outcome.waited)
        if not isinstance(outcome, GroupDone):
            step = self.plan.steps[number].service
            self.failure = ChainFailed(
                outcome.reason,
                step,
                outcome.retry_after,
                outcome.promised,
            )
            _fire(finished)
            return
        self.done.add(number)
        self.read.add(number)
        near = self.near_domains.get(number)
        if near:
            domains = [
                self.client.domain_of((handle,)) for handle in outcome.handles
            ]
            far = len(domains) - domains.count(near)
            self.crossed += far * input_bytes(self.plan, number)
        self.held[number] = (owner, outcome.handles)
        self._add_callbacks(self._start_ready(), finished)
        self._release_read()
        if not self.pending:
            _fire(finished)

    def _inputs_read(self, number):
        """Release inputs early if their stage is short of memory.

        Explanation
        ===========

        One piece in 500 fails and reads its inputs again. If they were released
        while the first call ran, the request would fail. Inputs that are kept
        only take up memory, which is usually free.
        """
        needs = self.plan.steps[number].after
        services = {self.plan.steps[need].service for need in needs}
        if not any(self.client.is_crowded(service) for service in services):
            return
        self.read.add(number)
        self._release_read()

    def _release_read(self):
        """Release results that all dependent steps have read."""
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


def _with_number(result, number):
    owner, outcome = result
    return number, owner, outcome


def _fire(deferred):
    if not deferred.called:
        deferred.callback(None)
