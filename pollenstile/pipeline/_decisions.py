"""Pure functions that decide on budgets, timeouts, retries and hedges.

Explanation
===========

All times are in seconds. ``expected`` is a stage's expected time, from
measured quantiles or, before there are any, from the manifest.
"""

# Timeout of an attempt in multiples of its expected time, if the remaining
# time allows another attempt after it.
_TIMEOUT_FACTOR = 3.0

# With shorter timeouts the scheduling jitter of a busy host would cancel calls.
_MIN_TIMEOUT_SECONDS = 0.1


def stage_budget(remaining, later, own=0.0):
    """Return a stage's time budget, reserving expected times of later stages.

    Explanation
    ===========

    If the expected times do not fit, the remaining time is shared in
    proportion to them: a stage without any budget would fail a request that a
    fast later stage might still complete in time.

    Parameters
    ==========

    remaining : float
        Time until the request's deadline.
    later : list of float
        Expected times of the stages after it.
    own : float
        The stage's own expected time.

    Examples
    ========

    >>> from pollenstile.pipeline._decisions import stage_budget
    >>> stage_budget(4.0, [1.0, 0.5])
    2.5
    >>> stage_budget(1.0, [1.0, 0.5])
    0.0
    >>> stage_budget(1.0, [1.0, 0.5], own=0.5)
    0.25
    """
    after = sum(later)
    if own <= 0:
        return max(0.0, remaining - after)
    return max(0.0, remaining - after, remaining * own / (own + after))


def attempt_timeout(budget, expected, attempts_left):
    """Return the timeout of one attempt.

    Explanation
    ===========

    The last attempt gets the whole budget. An earlier one times out after a
    few times its expected time, so that a frozen upstream leaves enough time
    for another attempt.

    Examples
    ========

    >>> from pollenstile.pipeline._decisions import attempt_timeout
    >>> attempt_timeout(2.0, 0.1, 0)
    2.0
    >>> round(attempt_timeout(2.0, 0.1, 1), 3)
    0.3
    >>> attempt_timeout(2.0, 1.5, 1)
    2.0
    """
    if attempts_left == 0:
        return budget
    timeout = max(_MIN_TIMEOUT_SECONDS, _TIMEOUT_FACTOR * expected)
    if timeout + expected > budget:
        return budget
    return timeout


def has_enough_time(stage, budget, expected):
    """Return whether the remaining time justifies sending a call.

    Explanation
    ===========

    A call that its deadline interrupts is wasted work, and a non-idempotent
    one leaves its caller with an unknown outcome. So an idempotent call needs
    half its expected time, a non-idempotent one all of it.

    Examples
    ========

    >>> from pollenstile.manifest import Stage
    >>> from pollenstile.pipeline._decisions import has_enough_time
    >>> once = Stage('call', 'booking', idempotent=False, attempts=1)
    >>> has_enough_time(once, 0.08, 0.1), has_enough_time(once, 0.1, 0.1)
    (False, True)
    >>> has_enough_time(Stage('encode', 'encoders'), 0.08, 0.1)
    True
    """
    needed = expected / 2 if stage.idempotent else expected
    return budget >= needed


def may_retry(stage, failures, remaining, expected, *, may_have_run):
    """Return whether another attempt is allowed and has enough time.

    Explanation
    ===========

    A call that may have run is retried only if it is idempotent: a lost answer
    does not show whether the call ran, and a ticket that is filed twice would
    send two vans. A call that is known not to have run may be sent to another
    upstream.

    Parameters
    ==========

    stage : Stage
        The stage's declaration.
    failures : int
        Number of failed attempts.
    remaining : float
        Time until the stage's deadline.
    expected : float
        The stage's expected time.
    may_have_run : bool
        Whether any failed attempt may have run.

    Examples
    ========

    >>> from pollenstile.manifest import Stage
    >>> from pollenstile.pipeline._decisions import may_retry
    >>> once = Stage('call', 'booking', idempotent=False, attempts=1)
    >>> may_retry(once, 1, 1.0, 0.1, may_have_run=True)
    False
    >>> may_retry(once, 1, 1.0, 0.1, may_have_run=False)
    True
    """
    if not has_enough_time(stage, remaining, expected):
        return False
    if may_have_run:
        return stage.idempotent and failures < stage.attempts
    return failures <= stage.attempts


def hedge_avoids_queue(choice):
    """Return whether a hedge would start without waiting in a queue.

    Explanation
    ===========

    A hedge that waits in a queue only adds load to an overloaded pool.
    :func:`has_enough_time` checks whether a hedge can end in time.

    Parameters
    ==========

    choice : Choice
        The upstream that would get the hedge.

    Examples
    ========

    >>> from pollenstile.pipeline._decisions import hedge_avoids_queue
    >>> from pollenstile.routing import Choice
    >>> hedge_avoids_queue(Choice('a', None, 0.2, 2))
    True
    >>> hedge_avoids_queue(Choice('a', None, 1.1, 2))
    False
    """
    return choice.busyness < 1
