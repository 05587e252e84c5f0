"""Signals that must not end a host before its requests are done."""

import signal

from pollenstile.ops.events import define

IGNORED = define(
    8012,
    'signal-ignored',
    'A signal was ignored: the host leaves already and keeps its grace, or it has'
    ' no settings to read again.',
    'To end a host at once, send SIGKILL; its callers are cut off.',
)
_STOPS = (signal.SIGTERM, signal.SIGINT)


def ignore_hangup(reactor, log):
    """Log SIGHUP, which would end the process, and do nothing else."""
    _ignore(reactor, log, (signal.SIGHUP,))


def keep_grace(reactor, log):
    """Let no second signal to stop shorten or disturb the first one's grace.

    Parameters
    ==========

    reactor : IReactorCore and IReactorFromThreads
        Runs the shutdown.
    log : function
        Writes events.
    """
    reactor.addSystemEventTrigger(
        'before', 'shutdown', _ignore, reactor, log, _STOPS
    )


def _ignore(reactor, log, numbers):
    def note(number, frame):
        name = signal.Signals(number).name
        reactor.callFromThread(log, IGNORED, signal=name)

    for number in numbers:
        signal.signal(number, note)
