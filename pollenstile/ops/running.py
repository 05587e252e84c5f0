"""Running one coroutine on the reactor, for commands that end."""

from twisted.internet.defer import Deferred


def result_of(reactor, coroutine_function):
    """Run the reactor until a coroutine ends; return its result.

    Parameters
    ==========

    reactor : IReactorCore
        Not running yet.
    coroutine_function : function
        Without arguments; returns the coroutine.

    Raises
    ======

    Exception
        Whatever the coroutine raised.
    """
    ends = []

    def begin():
        deferred = Deferred.fromCoroutine(coroutine_function())
        deferred.addBoth(ends.append)
        deferred.addBoth(lambda ended: reactor.stop())

    reactor.callWhenRunning(begin)
    reactor.run()
    end = ends[0]
    if hasattr(end, 'raiseException'):
        end.raiseException()
    return end
