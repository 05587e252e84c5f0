"""Refusal of new connections while a host is overloaded.

Explanation
===========

A load balancer may hand most new connections to one host. One that reads more
requests than it has processor time for serves all of them late. A connection
that is closed before its request was read costs next to nothing, and its caller
tries another host at once. The host stays ready: a balancer that takes it out
hands the load to the next one.
"""

from pollenstile.forward import events
from pollenstile.ops.logs import silent_log

# Time between two measurements of how late the loop runs.
_PERIOD_SECONDS = 0.05
# Lateness at which a host is overloaded: connections to it and between hosts
# time out after a few times as long, and a processor that is granted in slices
# of a tenth of a second runs that late without any load.
_LATE_SECONDS = 0.1
# Factor of the share of accepted connections for each measurement that is late
# like the one before; a single one is a long step, or a pause of the process.
_DECREASE = 0.6
# Addition for each measurement that is in time: all after four seconds.
_INCREASE = 0.0125
# Minimum of the share, by which a host notices that it has recovered.
_MIN_SHARE = 0.05
# Descriptors that a connection of a caller may need: its own, one to an
# upstream, and an idle one that is kept there.
_DESCRIPTORS_PER_CONNECTION = 3
_MS = 1000


class ConnectionGate:
    """The share of new connections that a host accepts.

    Parameters
    ==========

    clock : IReactorTime
        Seconds and timers.
    descriptors : int
        Descriptors that the process may open; 0 if unknown.
    log : function
        Writes events.

    Attributes
    ==========

    share : float
        Share of the new connections that are accepted, up to 1.
    closed : int
        Connections that were closed unread.
    """

    __slots__ = (
        'clock',
        'closed',
        'credit',
        'due',
        'is_late',
        'log',
        'most_connections',
        'share',
        'timer',
    )

    def __init__(self, clock, descriptors=0, log=silent_log):
        self.clock = clock
        self.log = log
        self.most_connections = descriptors // _DESCRIPTORS_PER_CONNECTION
        self.share = 1.0
        self.credit = 0.0
        self.closed = 0
        self.is_late = False
        self.due = 0.0
        self.timer = None

    def start(self):
        """Measure how late the loop runs, from now on."""
        self.due = self.clock.seconds() + _PERIOD_SECONDS
        self.timer = self.clock.callLater(_PERIOD_SECONDS, self._measure)

    def stop(self):
        """Stop measuring."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def accepts(self, connections):
        """Return whether a new connection is accepted.

        Parameters
        ==========

        connections : int
            Number of open connections.
        """
        is_full = self.most_connections and connections >= self.most_connections
        self.credit = min(1.0, self.credit + self.share)
        if is_full or self.credit < 1:
            self.closed += 1
            return False
        self.credit -= 1
        return True

    def _measure(self):
        late = self.clock.seconds() - self.due
        was_late = self.is_late
        self.is_late = late > _LATE_SECONDS
        self.start()
        if not self.is_late:
            self._increase_share()
        elif was_late:
            self._decrease_share(late)

    def _increase_share(self):
        if self.share == 1:
            return
        self.share = min(1.0, self.share + _INCREASE)
        if self.share == 1:
            self.log(events.OVERLOAD_ENDED, closed=self.closed)

    def _decrease_share(self, late):
        if self.share == 1:
            self.log(
                events.OVERLOADED, level='warning', late_ms=int(late * _MS)
            )
        self.share = max(_MIN_SHARE, _DECREASE * self.share)
