"""Send a mixed load of requests over HTTP."""

from dataclasses import dataclass, field

from twisted.internet.defer import Deferred, gatherResults
from twisted.internet.task import deferLater


@dataclass(slots=True)
class Result:
    """Outcome of one request: its target, its answer and its latency."""

    pipeline: str
    team: str
    answer: object
    seconds: float


@dataclass(slots=True)
class Load:
    """Description and results of a load run.

    Parameters
    ==========

    bases : list of str
        Addresses of entry hosts, used round robin.
    kinds : list of tuple
        Tuples of team, key and pipeline, selected at random.
    rate : float
        Requests per second, with exponential gaps.
    total : int
        The number of requests.
    results : list of Result
        The results, in the order of completion.
    """

    bases: list
    kinds: list
    rate: float
    total: int
    results: list = field(default_factory=list)


async def run_load(reactor, rng, call, load):
    """Send a load, wait for all answers, and record the results."""
    pending = []
    for number in range(load.total):
        team, key, pipeline = rng.choice(load.kinds)
        base = load.bases[number % len(load.bases)]
        running = _send_request(
            reactor, call, load, (base, team, key, pipeline, number)
        )
        pending.append(Deferred.fromCoroutine(running))
        await deferLater(reactor, rng.expovariate(load.rate))
    await gatherResults(pending)


async def _send_request(reactor, call, load, request):
    base, team, key, pipeline, number = request
    started = reactor.seconds()
    answer = await call(
        base,
        pipeline,
        key,
        f'request {number} of {team}',
        idempotency_key=f'{team}-{number}',
        stream=number % 2 == 0,
    )
    took = reactor.seconds() - started
    load.results.append(Result(pipeline, team, answer, took))
