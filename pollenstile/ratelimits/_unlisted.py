"""Hosts that are missing from the list of hosts and still run."""

from twisted.internet.defer import Deferred

from pollenstile.peer import Unanswered

# Seconds between two questions to a missing host that answers.
_PROBE_PERIOD_SECONDS = 1.0
# Seconds for which a missing host is remembered while no rate is stated.
_REMEMBERED_SECONDS = 60.0
# Answer of a host that allocates nothing any more.
LEAVING_ANSWER = b'leaving'


class UnlistedHosts:
    """Finds out which of the hosts that went missing from the list still run.

    Explanation
    ===========

    Hosts may read different lists for a time. Two that each miss the other
    would both allocate an upstream's rate, and send twice as much together. So
    a host that goes missing is asked whether it runs; while it answers, it
    keeps its rank among those that allocate.

    Parameters
    ==========

    clock : IReactorTime
        Seconds, and timers.
    reach : Reachability
        Asks hosts.
    is_needed : function
        Returns whether any rate is stated.
    on_change : function
        Called when a missing host was found to run, or not any more.

    Attributes
    ==========

    missing : dict
        Failure domain of each missing host, and the time since which it is
        missing, by name.
    running : dict
        Failure domain of those that answer, by name.
    """

    __slots__ = (
        'clock',
        'is_needed',
        'missing',
        'on_change',
        'reach',
        'running',
        'timer',
    )

    def __init__(self, clock, reach, is_needed, on_change):
        self.clock = clock
        self.reach = reach
        self.is_needed = is_needed
        self.on_change = on_change
        self.missing = {}
        self.running = {}
        self.timer = None

    def update(self, before, listed):
        """Note which hosts went missing, or are listed again.

        Parameters
        ==========

        before, listed : dict
            Failure domains of the hosts of the previous list and of this one.
        """
        now = self.clock.seconds()
        for host in listed:
            self.missing.pop(host, None)
            self.running.pop(host, None)
        for host, domain in before.items():
            if host not in listed:
                self.missing[host] = (domain, now)
        self.ask()

    def ask(self):
        """Ask the missing hosts now, and again after a while."""
        if self.timer is None and self.missing:
            self._ask_all()

    def _ask_all(self):
        self.timer = None
        oldest = self.clock.seconds() - _REMEMBERED_SECONDS
        for host, (_, since) in list(self.missing.items()):
            if self.is_needed():
                Deferred.fromCoroutine(self._ask(host))
            elif since < oldest:
                self._drop(host)
        if self.missing:
            self.timer = self.clock.callLater(
                _PROBE_PERIOD_SECONDS, self._ask_all
            )

    async def _ask(self, host):
        answer = await self.reach.ask(host, b'')
        if host not in self.missing:
            return
        if isinstance(answer, Unanswered) or answer == LEAVING_ANSWER:
            self._drop(host)
        elif host not in self.running:
            domain, _ = self.missing[host]
            self.running[host] = domain
            self.on_change()

    def _drop(self, host):
        self.missing.pop(host)
        if self.running.pop(host, None) is not None:
            self.on_change()
