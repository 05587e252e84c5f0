"""A mixed load of callers, over HTTP."""

from dataclasses import dataclass, field

from twisted.internet.defer import Deferred, gatherResults
from twisted.internet.task import deferLater


@dataclass(slots=True)
class Result:
    """One caller's request: what it asked, and what it got when."""

    pipeline: str
    team: str
    answer: object
    seconds: float


@dataclass(slots=True)
class Load:
    """What callers do.

    Parameters
    ==========

    bases : list of str
        Entry hosts' addresses, used in turn.
    kinds : list of tuple
        Team, its key and a pipeline, picked at random.
    rate : float
        Requests a second, with exponential gaps.
    total : int
        Requests in all.
    """

    bases: list
    kinds: list
    rate: float
    total: int
    results: list = field(default_factory=list)


async def run_load(reactor, rng, call, load):
    """Send a load and wait for every answer; fill in its results."""
    pending = []
    for number in range(load.total):
        team, key, pipeline = rng.choice(load.kinds)
        base = load.bases[number % len(load.bases)]
        one = _one(reactor, call, load, (base, team, key, pipeline, number))
        pending.append(Deferred.fromCoroutine(one))
        await deferLater(reactor, rng.expovariate(load.rate))
    await gatherResults(pending)


async def _one(reactor, call, load, kind):
    base, team, key, pipeline, number = kind
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
