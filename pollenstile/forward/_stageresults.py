"""Stage work of one request, and its results until an upstream reads them."""

from pollenstile.forward._dispatch import (
    expected_first_token_seconds,
    home_domain,
)
from pollenstile.forward._input_release import ResultReaders
from pollenstile.stagework import (
    Chain,
    ChainFailed,
    build_plan,
    longest_seconds,
)


class StageResults:
    """Has the stage work of a request done, again where its results are gone.

    Parameters
    ==========

    core : ForwardCore
        Components of the host.
    exchange : Exchange
        The request.
    answer : Answer
        Tells whether an answer has begun.

    Attributes
    ==========

    chain : Chain or None
        Holds the results; None for a request without stage work.
    readers : ResultReaders
        The attempts in flight that read these results.
    staged_at : float
        Time at which the stage work was done last.
    crossed : int
        Bytes that were read in another failure domain than the one in which
        they were made.
    unused : int
        Results that were released unread because the request was given up.
    """

    __slots__ = (
        'answer',
        'chain',
        'core',
        'crossed',
        'exchange',
        'readers',
        'staged_at',
        'unused',
    )

    def __init__(self, core, exchange, answer):
        self.core = core
        self.exchange = exchange
        self.answer = answer
        self.chain = None
        self.readers = ResultReaders(_release_nothing)
        self.staged_at = 0.0
        self.crossed = 0
        self.unused = 0

    def are_held(self):
        """Return whether an upstream can read all results."""
        return self.chain is None or bool(self.chain.held)

    def held_bytes(self):
        """Return the bytes of the held results by failure domain."""
        return self.chain.held_bytes() if self.chain else {}

    def is_memory_short(self):
        """Return whether memory is short where results are held."""
        chain = self.chain
        if chain is None:
            return False
        services = {chain.plan.steps[number].service for number in chain.held}
        return any(map(self.core.stages.is_crowded, services))

    def waited(self):
        """Return the seconds since the caller's first arrival."""
        return self.chain.waited if self.chain else 0.0

    def remaining_seconds(self):
        """Return the expected seconds until all results are held."""
        exchange = self.exchange
        if not any(exchange.counts):
            return 0.0
        if self._must_be_made():
            done = frozenset()
        else:
            done = self.chain.done
        seconds = self.core.stages.seconds
        steps = exchange.route.steps
        times = [
            0.0 if number in done or not count else seconds(step.service, count)
            for number, (step, count) in enumerate(
                zip(steps, exchange.counts, strict=True)
            )
        ]
        return longest_seconds(steps, times)

    def note_read(self, inputs, domain):
        """Count the results that an upstream in a domain reads.

        Parameters
        ==========

        inputs : dict
            Bytes of the results by failure domain.
        domain : str
            Failure domain of the upstream.
        """
        self.crossed += sum(inputs.values()) - inputs.get(domain, 0)

    async def make(self):
        """Have the stage work done.

        Returns
        =======

        ChainFailed or None
            None when the results are held, or none are needed.
        """
        exchange = self.exchange
        if not any(exchange.counts):
            return None
        self._drop()
        stages = self.core.stages
        steps = exchange.route.steps
        await stages.refresh_backlogs([step.service for step in steps])
        plan = build_plan(
            exchange,
            self._due() - expected_first_token_seconds(self.core, exchange),
            stages.seconds,
            home_domain(self.core, exchange),
        )
        self.chain = Chain(stages, plan)
        self.readers = ResultReaders(self.chain.release)
        handles = await self.chain.handles()
        if isinstance(handles, ChainFailed):
            return handles
        exchange.handles = handles
        self.staged_at = self.core.clock.seconds()
        return None

    async def renew(self):
        """Have the stage work done again unless its results are held."""
        return None if self.are_held() else await self.make()

    def release(self):
        """Release the results: they were read, are gone, or aren't needed."""
        if self.chain is not None:
            self.chain.release()

    def finish(self):
        """Release the results at the end of the request."""
        self._drop()

    def _drop(self):
        if self.chain is None:
            return
        self.chain.release()
        self.crossed += self.chain.crossed
        self.unused += self.chain.unused

    def _must_be_made(self):
        """Return whether the stage work is still to begin, or done in vain."""
        if self.chain is None:
            return True
        counts = enumerate(self.exchange.counts)
        needed = {number for number, count in counts if count}
        return needed <= self.chain.done and not self.are_held()

    def _due(self):
        """Return the time at which the answer should begin or go on.

        Explanation
        ===========

        The target latency holds for the first event. An answer that has begun
        goes on as long as its caller waits for it.
        """
        if self.answer.begun:
            return self.exchange.ends
        return min(self.exchange.aim, self.exchange.ends)


def _release_nothing():
    """Do nothing: the request holds no stage results."""
