"""Which of the hosts that rank first can be reached."""

from pollenstile.ops.logs import silent_log
from pollenstile.ops.loops import start_step
from pollenstile.peer import REFUSED, Unanswered

_LOOP = 'probes of allocators'
# Minimum seconds between two probes of a host that did not answer.
_PROBE_PERIOD_SECONDS = 1.0


def has_ended(answer):
    """Return whether no process listens at the address of a host.

    Explanation
    ===========

    One that is cut off, or whose machine has lost its power, does not answer
    at all, so these can't be told apart.
    """
    return isinstance(answer, Unanswered) and answer.reason == REFUSED


class Reachability:
    """Hosts that have not answered, probed until they do.

    Parameters
    ==========

    clock : IReactorTime
        Seconds.
    host : str
        Name of this host.
    ask : function
        Takes a host and a body; returns a Deferred of the answer or of
        :class:`~pollenstile.peer.Unanswered`.

    Attributes
    ==========

    down : set of str
        Hosts that did not answer last.
    ended : set of str
        Those of them at whose address no process listened last.
    probed_at : dict
        Time of the last probe, by host.
    """

    __slots__ = ('ask', 'clock', 'down', 'ended', 'host', 'log', 'probed_at')

    def __init__(self, clock, host, ask, log=silent_log):
        self.clock = clock
        self.host = host
        self.ask = ask
        self.log = log
        self.down = set()
        self.ended = set()
        self.probed_at = {}

    def first(self, order):
        """Return the first host that answers, probing those before it.

        Parameters
        ==========

        order : list of str
            Hosts by rank; this host always counts as reachable.

        Returns
        =======

        str or None
            None when no host of the list is known to answer.
        """
        for host in order:
            if host == self.host or host not in self.down:
                return host
            self.probe(host)
        return None

    def note(self, host, answer):
        """Record whether a host answered a request."""
        if isinstance(answer, Unanswered):
            self.down.add(host)
        else:
            self.down.discard(host)
        if has_ended(answer):
            self.ended.add(host)
        else:
            self.ended.discard(host)

    def silent(self, order):
        """Return those hosts of a list that may run although they are down."""
        return [
            host
            for host in order
            if host in self.down and host not in self.ended
        ]

    def probe(self, host):
        """Ask a host for nothing, to learn whether it answers."""
        now = self.clock.seconds()
        last = self.probed_at.get(host, now - _PROBE_PERIOD_SECONDS)
        if now - last >= _PROBE_PERIOD_SECONDS:
            self.probed_at[host] = now
            start_step(self.log, _LOOP, self._probe(host))

    def keep_only(self, hosts):
        """Forget the hosts that have left."""
        self.down.intersection_update(hosts)
        self.ended.intersection_update(hosts)
        self.probed_at = {
            host: at for host, at in self.probed_at.items() if host in hosts
        }

    async def _probe(self, host):
        self.note(host, await self.ask(host, b''))
