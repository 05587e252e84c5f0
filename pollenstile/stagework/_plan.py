"""When the steps of a request are due, and when each is begun."""

from dataclasses import dataclass

from pollenstile.stagework._calltimes import call_seconds, full_seconds

# Share of a call by which a step is begun sooner than its results are needed,
# so that one which finds all upstreams busy is still in time.
_SPARE_CALLS = 0.55
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
    content, team : str
        Fingerprint of the request, and who sent it.
    """

    request: str
    key: str
    steps: tuple
    counts: tuple[int, ...]
    latest: tuple[float, ...]
    ends: float
    urgency: int
    near: str = ''
    content: str = ''
    team: str = ''


def build_plan(exchange, ready_by, seconds, near=''):
    """Return the plan of a request's stage work.

    Explanation
    ===========

    Each step is due such that the steps after it, at today's backlogs, and
    the model engine still meet the aim. So the first step's owner, which
    decides whether a request is taken, judges by the whole chain.

    Parameters
    ==========

    exchange : Exchange
        With ``ident``, ``route``, ``counts``, ``stage_key``, ``urgency``,
        ``ends``, ``fingerprint`` and ``team``.
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
        exchange.fingerprint,
        exchange.team,
    )


def final_steps(plan):
    """Return the numbers of the steps whose results the request itself reads.

    Explanation
    ===========

    Those that no step with pieces needs. A step without pieces is among them
    where nothing follows it; it has no results.
    """
    followed = {
        one
        for step, count in zip(plan.steps, plan.counts, strict=True)
        if count
        for one in step.after
    }
    return [
        number for number in range(len(plan.steps)) if number not in followed
    ]


def input_bytes(plan, number):
    """Return the bytes that each piece of a step reads."""
    return sum(
        plan.steps[need].result_bytes * plan.counts[need]
        for need in plan.steps[number].after
    )


def moved_bytes(plan, number):
    """Return the bytes that all pieces of a step read together."""
    return input_bytes(plan, number) * plan.counts[number]


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
    return full_seconds(limits) + _USUAL_WAIT * limits.call_seconds


def _later_seconds(steps, times, place):
    """Return the time of the longest path of steps after one."""
    longest = 0
    for number, step in enumerate(steps):
        if place in step.after:
            path = times[number] + _later_seconds(steps, times, number)
            longest = max(longest, path)
    return longest


def waits_for_others(plan, number, done, seconds, full):
    """Return whether a step that could begin is better begun later.

    Explanation
    ===========

    Results are held from their call until the model engine has read those of
    all steps. A step beside a chain of three calls would hold its room for
    1.5 s in place of 0.5 s; with 800 kB a result that was a quarter of all
    room in a burst, and requests were refused for want of it. So such a step
    is begun when the rest of the chain takes about as long as it does itself.

    Parameters
    ==========

    number : int
        The step; those before it are done.
    done : set of int
        Steps that are made.
    seconds : function
        Takes a step's number, returns what it takes at today's backlog.
    full : float
        Seconds of a full call of the step.
    """
    times = [
        seconds(one) if count and one not in done else 0
        for one, count in enumerate(plan.counts)
    ]
    others = 0
    for other, time in enumerate(times):
        if other == number or not time or _leads_to(plan.steps, number, other):
            continue
        others = max(others, time + _later_seconds(plan.steps, times, other))
    own = times[number] + _later_seconds(plan.steps, times, number)
    return own + _SPARE_CALLS * full < others


def _leads_to(steps, number, other):
    """Return whether a step needs another one's results in the end."""
    return any(
        one == number or _leads_to(steps, number, one)
        for one in steps[other].after
    )
