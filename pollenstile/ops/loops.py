"""Loops that a host lives by, which no error may end unnoticed.

Explanation
===========

A coroutine or a timer that sets itself again ends for good with the first error
that it lets through, and the host goes on with what it last knew. So the errors
that nobody has foreseen are caught here: each gets a line and a count, and the
loop goes on after a pause.
"""

import traceback

from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.task import deferLater

from pollenstile.ops.events import define

LOOP_FAILED = define(
    8013,
    'loop-failed',
    'A part of the host that runs again and again met an error of the program;'
    ' it goes on.',
    'Report it as a bug, with the line. If it persists, what the loop reads or'
    ' sends may be out of date here.',
)
# Time until a loop begins again that an error has ended.
RESTART_SECONDS = 0.5


def log_failure(log, loop, error):
    """Write the line of an error that a loop did not foresee.

    Parameters
    ==========

    log : function
        Takes an event and its fields.
    loop : str
        Name of the loop.
    error : Exception
        The error, as it was raised.

    Examples
    ========

    >>> from pollenstile.ops.loops import log_failure
    >>> def log(event, level, **fields):
    ...     print(event.name, fields['reason'], fields['error'])
    >>> log_failure(log, 'review', KeyError('a'))
    loop-failed review KeyError('a')
    """
    frames = traceback.extract_tb(error.__traceback__)
    place = f'{frames[-1].name}:{frames[-1].lineno}' if frames else ''
    # The reason is a label of the metric of events.
    log(
        LOOP_FAILED,
        level='error',
        reason=loop,
        error=repr(error)[:200],
        place=place,
    )


def guarded(log, loop, action):
    """Return a function that calls another one, and logs its errors.

    Explanation
    ===========

    For actions that are called again anyway. The function returns None after an
    error.

    Parameters
    ==========

    log : function
        Takes an event and its fields.
    loop : str
        Name of the loop.
    action : function
        Takes any arguments.

    Examples
    ========

    >>> from pollenstile.ops.logs import silent_log
    >>> from pollenstile.ops.loops import guarded
    >>> guarded(silent_log, 'review', int)('a') is None
    True
    """

    def call(*arguments, **options):
        try:
            return action(*arguments, **options)
        except Exception as error:
            log_failure(log, loop, error)

    return call


async def run_again(clock, log, loop, run):
    """Run a coroutine until it ends by itself, anew after each error.

    Parameters
    ==========

    clock : IReactorTime
        Times the pauses.
    log : function
        Takes an event and its fields.
    loop : str
        Name of the loop.
    run : function
        Takes no arguments; returns the coroutine, which begins with what the
        one before has left.
    """
    while True:
        try:
            return await run()
        except CancelledError:
            raise
        except Exception as error:
            log_failure(log, loop, error)
        await deferLater(clock, RESTART_SECONDS)


def start_loop(clock, log, loop, run):
    """Start :func:`run_again`; return its Deferred, which is not awaited."""
    return Deferred.fromCoroutine(run_again(clock, log, loop, run))


def start_step(log, loop, coroutine):
    """Run a coroutine once that nobody awaits; log its error.

    Parameters
    ==========

    log : function
        Takes an event and its fields.
    loop : str
        Name of the loop that it is a step of.
    coroutine : coroutine
        The step.

    Returns
    =======

    Deferred
        Fires with its result; with None after an error.
    """
    step = Deferred.fromCoroutine(coroutine)
    return step.addErrback(_log_step, log, loop)


def _log_step(failure, log, loop):
    if not failure.check(CancelledError):
        log_failure(log, loop, failure.value)
