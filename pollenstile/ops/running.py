"""Runs programs on the reactor: commands that terminate, and daemons."""

from twisted.internet.defer import Deferred

from pollenstile.ops.signals import keep_grace
from pollenstile.ops.strays import report_strays


def prepare_daemon(reactor, log):
    """Let neither a second signal nor an error of a part go unnoticed.

    Parameters
    ==========

    reactor : IReactorCore and IReactorFromThreads
        A reactor that has not been started.
    log : function
        Takes an event and its fields.

    See Also
    ========

    pollenstile.ops.signals.keep_grace
    pollenstile.ops.strays.report_strays
    """
    keep_grace(reactor, log)
    report_strays(log)


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
