"""Runs programs on the reactor: commands that terminate, and daemons."""

from twisted.internet.defer import Deferred

from pollenstile.ops.events import define
from pollenstile.ops.exits import BAD_RESULT, GOOD
from pollenstile.ops.signals import keep_grace
from pollenstile.ops.strays import report_strays

START_FAILED = define(
    8015,
    'start-failed',
    'The program could not start, and ends.',
    'The line has the reason; mostly another process has the port.',
)


def run_daemon(reactor, daemon, log):
    """Run a daemon until it is stopped; return the exit code.

    Explanation
    ===========

    A daemon that can't start ends at once, so that whoever runs it starts it
    again. Its process would otherwise stay without ever serving. Neither a
    second signal to stop nor an error of a part goes unnoticed.

    Parameters
    ==========

    reactor : IReactorCore and IReactorFromThreads
        A reactor that has not been started.
    daemon : object
        Has ``start()`` and ``stop()``, which returns a Deferred.
    log : function
        Takes an event and its fields.

    See Also
    ========

    pollenstile.ops.signals.keep_grace
    pollenstile.ops.strays.report_strays
    """
    failures = []

    def start():
        try:
            daemon.start()
        except Exception as error:
            log(START_FAILED, level='error', error=repr(error))
            failures.append(error)
            # Nothing has been accepted that a shutdown would have to end.
            reactor.crash()

    reactor.callWhenRunning(start)
    reactor.addSystemEventTrigger('before', 'shutdown', daemon.stop)
    keep_grace(reactor, log)
    report_strays(log)
    reactor.run()
    return BAD_RESULT if failures else GOOD


def result_of(reactor, coroutine_function):
    """Run the reactor until a coroutine ends and return its result.

    Parameters
    ==========

    reactor : IReactorCore
        A reactor that has not been started.
    coroutine_function : function
        Takes no arguments and returns the coroutine.

    Raises
    ======

    Exception
        Any exception that the coroutine raised.
    """
    results = []

    def begin():
        deferred = Deferred.fromCoroutine(coroutine_function())
        deferred.addBoth(results.append)
        deferred.addBoth(lambda ended: reactor.stop())

    reactor.callWhenRunning(begin)
    reactor.run()
    result = results[0]
    if hasattr(result, 'raiseException'):
        result.raiseException()
    return result
