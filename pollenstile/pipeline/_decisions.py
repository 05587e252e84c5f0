"""Decisions over one request, without input or output.

Explanation
===========

All times are in seconds. ``expected`` is a stage's usual time, from measured
quantiles or, before there are any, from the manifest.
"""

# A first attempt gets this many times its usual time, when a second one
# could still follow in what is left.
_PATIENCE = 3.0

# Shorter waits would cut calls for the jitter of a busy host, in seconds.
_LEAST_PATIENCE = 0.1


def stage_budget(remaining, later, own=0.0):
    """Return what a stage may take, leaving their usual time to later ones.

    Explanation
    ===========

    When not even usual times fit, what is left is shared in proportion to
    them: a stage cut to nothing would fail a request that a fast later stage
    might still have saved.

    Parameters
    ==========

    remaining : float
        Until the request's deadline.
    later : list of float
        Usual times of the stages after it.
    own : float
        The stage's own usual time.

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
    """Return how long one attempt may take.

    Explanation
    ===========

    The last attempt gets all that is left. An earlier one is cut after a few
    times its usual time, so that a frozen upstream leaves room for another.

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
    patience = max(_LEAST_PATIENCE, _PATIENCE * expected)
    if patience + expected > budget:
        return budget
    return patience


def worth_sending(stage, budget, expected):
    """Return whether a call has enough time to be worth sending.

    Explanation
    ===========

    A call that is cut off by its deadline is work for nobody, and a
    non-idempotent one leaves its caller with an unknown outcome. So an
    idempotent call needs half its usual time, a non-idempotent one all of it.

    Examples
    ========

    >>> from pollenstile.manifest import Stage
    >>> from pollenstile.pipeline._decisions import worth_sending
    >>> once = Stage('call', 'booking', idempotent=False, attempts=1)
    >>> worth_sending(once, 0.08, 0.1), worth_sending(once, 0.1, 0.1)
    (False, True)
    >>> worth_sending(Stage('encode', 'encoders'), 0.08, 0.1)
    True
    """
    needed = expected / 2 if stage.idempotent else expected
    return budget >= needed


def may_retry(stage, failures, remaining, expected, *, may_have_run):
    """Return whether another attempt is allowed and makes sense.

    Explanation
    ===========

    A call that may have run is sent again only when it is idempotent: the
    failure shows as a lost answer, and a second run of a ticket would send two
    vans. A call that is known not to have run may go elsewhere.

    Parameters
    ==========

    stage : Stage
        As declared.
    failures : int
        Attempts that have failed.
    remaining : float
        Until the stage must end.
    expected : float
        The stage's usual time.
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
    if not worth_sending(stage, remaining, expected):
        return False
    if may_have_run:
        return stage.idempotent and failures < stage.attempts
    return failures <= stage.attempts


def hedge_helps(choice):
    """Return whether a second attempt would not queue.

    Explanation
    ===========

    One that would queue only adds load, and adds it when there is too much
    already. Whether it could end in time, :func:`worth_sending` tells.

    Parameters
    ==========

    choice : Choice
        Where the second attempt would go.

    Examples
    ========

    >>> from pollenstile.pipeline._decisions import hedge_helps
    >>> from pollenstile.routing import Choice
    >>> hedge_helps(Choice('a', None, 0.2, 2))
    True
    >>> hedge_helps(Choice('a', None, 1.1, 2))
    False
    """
    return choice.busyness < 1
