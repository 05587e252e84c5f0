"""Simulate hosts whose store comes back from an older copy of itself."""

from random import Random

from pollenstile.bench._domainworld import DomainWorld
from pollenstile.forward import DRAINED

UPSTREAMS = 'upstreams'
_CONFIG = ('config', 'main')
_FIRST_ERA = 1
# Kinds that the operator and upstreams write.
_OTHERS = ('config', UPSTREAMS, DRAINED)
# Seconds after the return at which the nth lost object is written again.
_WAITS = {'late': lambda place: 0.3 * place, 'slowly': lambda _: 1.8}


class ReturnWorld(DomainWorld):
    """Hosts, and an operator and upstreams that write to the store.

    Parameters
    ==========

    seed : int
        Seed of the changes and of the order in which they are written again.
    upstreams : int
        The number of upstreams, which run nothing.

    Attributes
    ==========

    truth : dict
        Value that the operator or an upstream has written last, by kind and
        name; None for a deleted object.
    acked_at : dict
        Time on the clock at which the store acknowledged it.
    copy : Objects or None
        The copy that the store will come back from.
    """

    __slots__ = ('acked_at', 'copy', 'number', 'rng', 'truth')

    def __init__(self, hosts, domains, seed=1, upstreams=6, **bounds):
        self.rng = Random(seed)
        self.truth = {}
        self.acked_at = {}
        self.copy = None
        self.number = 0
        super().__init__(
            hosts, domains, has_upstream=False, era=_FIRST_ERA, **bounds
        )
        for _ in range(upstreams):
            self.add_upstream()
        self.write_version(2)
        self.advance(2.0)

    def add_upstream(self):
        """Register an upstream; return its name."""
        self.number += 1
        name = f'u{self.number}'
        self.write(UPSTREAMS, name, _entry(self.number))
        return name

    def usable(self):
        """Return the names of the upstreams that are not leaving."""
        return sorted(
            name
            for (kind, name), entry in self.truth.items()
            if kind == UPSTREAMS and entry and not entry['leaving']
        )

    def say_leaving(self, name):
        """Let an upstream write that it leaves."""
        entry = self.truth[UPSTREAMS, name]
        self.write(UPSTREAMS, name, {**entry, 'leaving': True})

    def write_version(self, version):
        """Let the operator write a configuration."""
        self.write(*_CONFIG, version)

    @property
    def newest(self):
        """Return the version that the operator has written last."""
        return self.truth[_CONFIG]

    def write(self, kind, name, value):
        """Write an object that is no host's; the store takes it at once."""
        self.truth[kind, name] = value
        self.store.write_at_once(kind, name, value)
        self.acked_at[kind, name] = self.clock.seconds()

    def change(self):
        """Let the operator or an upstream make a random change."""
        kinds = (self._change_version, self._leave, self._replace)
        self.rng.choice(kinds)()

    def change_often(self, count):
        """Make several changes, one in 0.1 s; one at least is a version."""
        for _ in range(count):
            self.change()
            self.advance(0.1)
        self._change_version()

    def take_copy(self):
        """Take the copy that the store will come back from."""
        self.copy = self.store.objects.copy()

    def forget_hosts_writes(self):
        """Let the copy have nothing that hosts have written."""
        kinds = {kind for kind, _ in self.copy.rows if kind not in _OTHERS}
        for kind, name in list(self.copy.rows):
            if kind in kinds:
                self.copy.rows.pop((kind, name))
        for kind in kinds:
            self.copy.names.pop(kind)
        self.copy.compact()

    def stay_away(self, seconds):
        """Let the store answer nobody for some seconds."""
        self.store.down = True
        self.advance(seconds)

    def come_back(self, rewriting):
        """Let the store answer again from the copy, if there is one.

        Parameters
        ==========

        rewriting : str
            When the operator and the upstreams write again what is lost:
            ``'early'``, before the first answer; ``'late'``, one object each
            0.3 s while hosts are answered; ``'slowly'``, all 1.8 s after the
            return; or ``'never'``.
        """
        if self.copy is not None:
            self.store.return_from(self.copy)
        lost = self._lost()
        if rewriting == 'early':
            for kind, name in lost:
                self._write_at_once(kind, name)
        self.store.down = False
        for place, (kind, name) in enumerate(lost, start=1):
            wait = _WAITS.get(rewriting)
            if wait is not None:
                self.clock.callLater(
                    wait(place), self._write_at_once, kind, name
                )

    def _change_version(self):
        self.write_version(self.newest + 1)

    def _leave(self):
        names = self.usable()
        if len(names) > 1:
            self.say_leaving(self.rng.choice(names))

    def _replace(self):
        leaving = [
            name
            for (kind, name), entry in self.truth.items()
            if kind == UPSTREAMS and entry and entry['leaving']
        ]
        if leaving:
            self.write(UPSTREAMS, self.rng.choice(leaving), None)
        self.add_upstream()

    def _lost(self):
        """Return what the store lacks, in random order."""
        objects = self.store.objects
        lost = [
            (kind, name)
            for (kind, name), wanted in self.truth.items()
            if objects.value_of(kind, name) != wanted
        ]
        self.rng.shuffle(lost)
        return lost

    def _write_at_once(self, kind, name):
        """Write an object as its writer knows it, without a call."""
        value = self.truth[kind, name]
        if self.store.objects.value_of(kind, name) != value:
            self.store.write_at_once(kind, name, value)


def restart_all(world):
    """Kill all hosts and start them again."""
    for host in world.running():
        host.end()
        world.add_host(host.name, host.domain)


def hosts_with_old_version(world):
    """Return the names of hosts that have not the newest version in force."""
    return [
        host.name for host in world.running() if host.version != world.newest
    ]


def hosts_with_wrong_upstreams(world):
    """Return the names of hosts that would send to other upstreams."""
    wanted = world.usable()
    return [host.name for host in world.running() if usable_at(host) != wanted]


def hosts_refusing_keys(world):
    """Return the names of hosts that would refuse requests with a key."""
    return [
        host.name
        for host in world.running()
        if not host.configuration.is_verified()
    ]


def usable_at(host):
    """Return the names of the upstreams to which a host may send."""
    return sorted(view.ident for view in host.core.registry.usable('s'))


def _entry(number):
    return {'address': f'10.1.0.{number}:1', 'domain': 'd', 'leaving': False}
