"""Runs one coroutine on the reactor, for commands that terminate."""

from twisted.internet.defer import Deferred


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
