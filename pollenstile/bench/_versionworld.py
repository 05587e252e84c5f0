"""Simulate entry hosts over upstreams of several software versions."""

from dataclasses import dataclass

from pollenstile.bench._seededworld import SeededWorld
from pollenstile.bench._streamcallers import StreamCaller
from pollenstile.bench._streamtries import serve_try, serving_hosts

# Run time of a stream.
_STREAM_SECONDS = 2.0
# Seconds until a host that was killed starts again.
_HOST_RESTART_SECONDS = 1.2
# Seconds for which an upstream that leaves goes on running.
_LEAVE_SECONDS = 1.0
_IDENT_BITS = 64


@dataclass(slots=True, frozen=True)
class Versions:
    """Software versions of the upstreams at the start.

    Parameters
    ==========

    first, second : str
        Versions of the first upstreams and of the others.
    share : float
        Part of the upstreams that has the first version.
    """

    first: str = 'v1'
    second: str = 'v1.2'
    share: float = 0.6


class VersionWorld(SeededWorld):
    """Hosts over upstreams of versions, and callers that resume streams.

    Parameters
    ==========

    versions : Versions
        Software versions of the upstreams.
    seed : int
        Seed of the callers and of the faults.

    Attributes
    ==========

    callers : list of StreamCaller
        The callers, in the order of their first tries.
    live : dict
        Answers in progress, by name of their host.
    silent : frozenset of str
        Hosts that the store does not answer, also after they start again.
    """

    __slots__ = ('callers', 'live', 'silent', 'versions')

    def __init__(self, hosts, upstreams, domains, versions=None, seed=1):
        self.versions = versions or Versions()
        self.callers = []
        self.live = {}
        self.silent = frozenset()
        super().__init__(hosts, upstreams, domains, seed=seed)
        self.upstreams.work = _STREAM_SECONDS

    def start_upstream(self, address, domain, number, count):
        """Start one of the first upstreams with the version of its number."""
        versions = self.versions
        is_first = number < versions.share * count
        software = versions.first if is_first else versions.second
        self.upstreams.start(address, domain, software)

    def silence_store(self, names):
        """Let the store answer nothing to some hosts, and all to the others."""
        self.silent = frozenset(names)
        for name, host in self.fleet.hosts.items():
            host.path.silent = name in self.silent

    def join(self, host):
        """Connect a host to the upstreams, and to the store as it is."""
        super().join(host)
        host.path.silent = host.name in self.silent

    def kill_host(self, name=''):
        """End a host, a random one by default; it starts again later."""
        running = self.fleet.running()
        if not running:
            return
        host = self.fleet.hosts[name] if name else self.rng.choice(running)
        if host.gone:
            return
        self.end_host(host.name)
        self.later(
            _HOST_RESTART_SECONDS, self.start_all, {host.name: host.domain}
        )

    def end_host(self, name):
        """End a host for good."""
        self.fleet.hosts[name].end()
        for answer in self.live.pop(name, ()):
            answer.cut_off()

    def schedule_replacement(self, software, seconds):
        """Replace each upstream in turn by one of another version."""
        addresses = list(self.upstreams.processes)
        for number, address in enumerate(addresses):
            moment = seconds * number / len(addresses)
            self.later(moment, self._replace, address, software)

    def serving_hosts(self):
        """Return the running hosts that know their upstreams."""
        return serving_hosts(self.fleet)

    def send_try(self, caller, ident, answer):
        """Send one try of a caller to a random host."""
        host = self.rng.choice(self.serving_hosts())
        self.live.setdefault(host.name, []).append(answer)
        serve_try(self, host, caller, ident, answer)

    def mixed(self):
        """Return the callers whose streams have events of two versions."""
        return [caller for caller in self.callers if len(caller.versions()) > 1]

    def shares(self):
        """Return the shares of streams that begin, and that go on.

        Returns
        =======

        tuple of float
            The part of all streams that have begun, and the part of those taken
            up again by their callers that went on.
        """
        taken_up = self.taken_up()
        began = sum(caller.has_begun() for caller in self.callers)
        went_on = sum(caller.went_on() for caller in taken_up)
        return (
            began / max(1, len(self.callers)),
            went_on / max(1, len(taken_up)),
        )

    def taken_up(self):
        """Return the callers that took a stream up again after an event."""
        return [caller for caller in self.callers if caller.was_taken_up()]

    def count_refusals(self, reason):
        """Return the number of tries that were refused for a reason."""
        refusals = [
            answer.refusal
            for caller in self.callers
            for answer in caller.answers
            if answer.refusal is not None
        ]
        return sum(refusal.reason == reason for refusal in refusals)

    def new_caller(self):
        """Return a caller that has not sent anything."""
        number = len(self.callers)
        ident = f'{self.rng.getrandbits(_IDENT_BITS):016x}'
        caller = StreamCaller(self, ident, b'stream %d' % number)
        self.callers.append(caller)
        return caller

    def start_stream(self):
        """Let a new caller send its first try."""
        self.new_caller().send()

    def _replace(self, address, software):
        process = self.upstreams.processes.get(address)
        if process is None:
            # It has crashed, and starts again in the old version.
            self.later(_LEAVE_SECONDS, self._replace, address, software)
            return
        self.upstreams.start(f'{address}0', process.domain, software)
        self.upstreams.leave(address)
        self.later(_LEAVE_SECONDS, self.upstreams.end, address)
