"""Due times and start order of the steps of a request."""

from dataclasses import dataclass

from pollenstile.stagework._calltimes import call_seconds, full_seconds

# Share of a full call by which a delayed step starts early, so that it is still
# in time when it finds all upstreams busy.
_EARLY_START_CALLS = 0.55
# Share of a call that a group waits on average for a free upstream.
_MEAN_WAIT_CALLS = 0.5


@dataclass(slots=True, frozen=True)
class Plan:
    """Steps of a request with their sizes and due times.

    Parameters
    ==========

    request, key : str
        Identifier of the attempt, and key of the input of its first steps.
    steps : tuple of StageStep
        Steps of the route.
    counts : tuple of int
        Number of pieces of each step; 0 omits the step.
    due_times : tuple of float
        On the clock: when each step's pieces are due.
    deadline : float
        Clock time after which the request is over.
    urgency : int
        0 is the most urgent.
    near : str
        Failure domain in which the last results are read; empty if it is not
        known.
    fingerprint, team : str
        Fingerprint of the request, and the team that sent it.
    """

    request: str
    key: str
    steps: tuple
    counts: tuple[int, ...]
    due_times: tuple[float, ...]
    deadline: float
    urgency: int
    near: str = ''
    fingerprint: str = ''
    team: str = ''


def build_plan(exchange, ready_by, seconds, near=''):
    """Return the plan of a request's stage work.

    Explanation
    ===========

    Each step's due time leaves enough time for the following steps, at current
    backlogs, and for the model engine to meet the target latency. The first
    step's owner, which decides on admission, therefore takes the whole chain
    into account.

    Parameters
    ==========

    exchange : Exchange
        With ``ident``, ``route``, ``counts``, ``stage_key``, ``urgency``,
        ``ends``, ``fingerprint`` and ``team``.
    ready_by : float
        On the clock: when the model engine needs the results.
    seconds : function
        Takes a service and a number of pieces; returns the time that they need
        at the current backlog.
    near : str
        Failure domain of the model engine that is to read the results.
    """
    steps = exchange.route.steps
    times = [
        seconds(step.service, count) if count else 0
        for step, count in zip(steps, exchange.counts, strict=True)
    ]
    due_times = [
        ready_by - _downstream_seconds(steps, times, number)
        for number, _ in enumerate(steps)
    ]
    return Plan(
        exchange.ident,
        exchange.stage_key,
        steps,
        tuple(exchange.counts),
        tuple(due_times),
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

    These are the steps that no step with pieces depends on. They include a step
    without pieces and without results if no other step follows it.
    """
    followed = {
        need
        for step, count in zip(plan.steps, plan.counts, strict=True)
        if count
        for need in step.after
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
    """Return the bytes that all pieces of a step read in total."""
    return input_bytes(plan, number) * plan.counts[number]


def usual_seconds(limits, count):
    """Return the time that a step needs when its upstreams are not crowded."""
    call = call_seconds(limits, min(count, limits.batch))
    return call + _MEAN_WAIT_CALLS * limits.call_seconds


def crowded_seconds(limits):
    """Return the wait from which a stage's result memory is worth saving.

    Explanation
    ===========

    A piece that finds all workers busy waits for half a call on average and
    then for its own call, which is at most a full one.
    """
    return full_seconds(limits) + _MEAN_WAIT_CALLS * limits.call_seconds


def _downstream_seconds(steps, times, number):
    """Return the duration of the longest path of steps after a step."""
    longest = 0
    for reader, step in enumerate(steps):
        if number in step.after:
            path = times[reader] + _downstream_seconds(steps, times, reader)
            longest = max(longest, path)
    return longest


def longest_seconds(steps, times):
    """Return the duration of the longest path of steps.

    Parameters
    ==========

    steps : tuple of StageStep
        The steps.
    times : list of float
        Duration of each step; 0 for those that are done.
    """
    return max(
        (
            time + _downstream_seconds(steps, times, number)
            for number, time in enumerate(times)
        ),
        default=0.0,
    )


def should_delay_step(plan, number, done, seconds, full):
    """Return whether to delay a step that could start now.

    Explanation
    ===========

    Results are held from their call until the model engine has read those of
    all steps. A step beside a chain of three calls would hold its memory for
    1.5 s instead of 0.5 s. With 800 kB per result that was a quarter of all
    memory in a burst, and requests were refused for lack of it. Such a step
    therefore starts when the rest of the chain takes about as long as the step
    itself.

    Parameters
    ==========

    number : int
        Number of the step; the steps that it depends on are done.
    done : set of int
        Steps that are done.
    seconds : function
        Takes a step's number, returns its duration at the current backlog.
    full : float
        Seconds of a full call of the step.
    """
    times = [
        seconds(step) if count and step not in done else 0
        for step, count in enumerate(plan.counts)
    ]
    longest_other = 0
    for other, time in enumerate(times):
        if (
            other == number
            or not time
            or _depends_on(plan.steps, number, other)
        ):
            continue
        longest_other = max(
            longest_other, time + _downstream_seconds(plan.steps, times, other)
        )
    own_path = times[number] + _downstream_seconds(plan.steps, times, number)
    return own_path + _EARLY_START_CALLS * full < longest_other


def _depends_on(steps, number, other):
    """Return whether a step depends on another one, directly or indirectly."""
    return any(
        need == number or _depends_on(steps, number, need)
        for need in steps[other].after
    )
