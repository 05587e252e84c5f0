"""Hosts that are missing from the list of hosts and may still run."""

from pollenstile.ops.logs import silent_log
from pollenstile.ops.loops import guarded, start_step
from pollenstile.ratelimits._reach import has_ended

_LOOP = 'questions to unlisted hosts'
# Seconds between two questions to a missing host.
_PROBE_PERIOD_SECONDS = 1.0
# Seconds for which a missing host that does not answer is remembered.
_REMEMBERED_SECONDS = 60.0
# Answer of a host that allocates nothing any more.
LEAVING_ANSWER = b'leaving'


class UnlistedHosts:
    """Keeps those hosts ranked that went missing from the list without leaving.

    Explanation
    ===========

    Hosts may read different lists for a time, and may be cut off from each
    other as well. Two that each miss the other would both allocate an
    upstream's rate, and send twice as much together. So a host that goes
    missing is asked whether it runs, and keeps its rank among those that
    allocate until it is known to have left or ended.

    Parameters
    ==========

    clock : IReactorTime
        Seconds, and timers.
    reach : Reachability
        Asks hosts.
    is_needed : function
        Returns whether any rate is stated.
    on_change : function
        Called when a missing host is found to have left or ended.

    Attributes
    ==========

    missing : dict
        Failure domain of each missing host, and the time since which it is
        missing or has answered last, by name.
    """

    __slots__ = (
        'clock',
        'is_needed',
        'log',
        'missing',
        'on_change',
        'reach',
        'timer',
    )

    def __init__(self, clock, reach, is_needed, on_change, log=silent_log):
        self.clock = clock
        self.reach = reach
        self.is_needed = is_needed
        self.on_change = on_change
        self.log = log
        self.missing = {}
        self.timer = None

    def domains(self):
        """Return the failure domains of the missing hosts, by name."""
        return {host: domain for host, (domain, _) in self.missing.items()}

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
        drop = guarded(self.log, _LOOP, self._drop)
        for host, (_, since) in list(self.missing.items()):
            if since < oldest:
                drop(host)
            elif self.is_needed():
                start_step(self.log, _LOOP, self._ask(host))
        if self.missing:
            self.timer = self.clock.callLater(
                _PROBE_PERIOD_SECONDS, self._ask_all
            )

    async def _ask(self, host):
        answer = await self.reach.ask(host, b'')
        if host not in self.missing:
            return
        if has_ended(answer) or answer == LEAVING_ANSWER:
            self._drop(host)
            return
        self.reach.note(host, answer)
        if host not in self.reach.down:
            domain, _ = self.missing[host]
            self.missing[host] = (domain, self.clock.seconds())

    def _drop(self, host):
        self.missing.pop(host)
        self.on_change()
