"""Progress of a host's start: what it waits for before it serves."""

import time

from pollenstile.forward import events

# Seconds between two log lines of what a starting host lacks.
_LACKING_PERIOD_SECONDS = 1.0
_MS = 1000


class StartProgress:
    """What a host that starts has reached, and when.

    Parameters
    ==========

    clock : IReactorTime
        Provides the time.
    log : function
        Writes events.

    Attributes
    ==========

    used_seconds : function
        Returns the processor time that the process has used, in seconds;
        replaced in virtual time, where runs repeat.
    began_at : float
        Time on the clock at which the host began to listen.
    ready_at, joined_at : float or None
        Times on the clock since which it can serve, and since which it listens
        for peers; None before.
    """

    __slots__ = (
        'began_at',
        'clock',
        'joined_at',
        'log',
        'logged_at',
        'ready_at',
        'used_seconds',
    )

    def __init__(self, clock, log):
        self.clock = clock
        self.log = log
        self.used_seconds = time.process_time
        self.began_at = clock.seconds()
        self.logged_at = self.began_at
        self.ready_at = None
        self.joined_at = None

    def took_ms(self):
        """Return the milliseconds since the host began to listen."""
        return int((self.clock.seconds() - self.began_at) * _MS)

    def used_ms(self):
        """Return the processor time of the process in milliseconds."""
        return int(self.used_seconds() * _MS)

    def note_ready(self, configuration, registry):
        """Record that the host can serve."""
        self.ready_at = self.clock.seconds()
        self.log(
            events.FORWARD_READY,
            version=configuration.table.version,
            upstreams=len(registry.upstreams),
            took_ms=self.took_ms(),
            used_ms=self.used_ms(),
        )

    def note_joined(self, peers, seen):
        """Record that the host listens for peers."""
        self.joined_at = self.clock.seconds()
        self.log(
            events.FORWARD_JOINED,
            peers=peers,
            seen=seen,
            took_ms=self.took_ms(),
        )

    def review(self, parts):
        """Log what the host lacks to serve and to be linked to peers."""
        now = self.clock.seconds()
        if now - self.logged_at < _LACKING_PERIOD_SECONDS:
            return
        lacks = [name for name, is_there in _needs(self, parts) if not is_there]
        if not lacks:
            return
        self.logged_at = now
        self.log(
            events.FORWARD_LACKING,
            level='warning',
            lacks=lacks,
            took_ms=self.took_ms(),
            reads=parts.core.configuration.loop.reads_in_flight,
            failures=parts.core.configuration.loop.failures,
        )


def _needs(progress, parts):
    """Return what a host needs, and whether it has it."""
    return (
        ('configuration', parts.core.configuration.table is not None),
        ('upstreams', parts.core.registry.known),
        ('hosts', parts.members.known),
        ('peers', progress.joined_at is not None),
    )
