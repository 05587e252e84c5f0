"""``pollenstile bench promptparts``: prompt tokens read and moved.

Explanation
===========

Hosts choose engines and sources of shared prompt parts while engines are
replaced by others with new names, one after another, and one engine crashes. No
network and no time of engines is simulated: an engine keeps each part that it
has read or fetched until it ends.
"""

import json
from collections import Counter
from random import Random

from twisted.internet.task import Clock

from pollenstile.estimates import FirstTokens
from pollenstile.forward import (
    Exchange,
    Registry,
    Upstream,
    select_engine,
    usable,
)
from pollenstile.forward._learning import learn_unavailable
from pollenstile.forward._partsources import PartSources
from pollenstile.routes import PartTransfer, RouteTable, Service

_SERVICE = 'model'
_SUBJECTS = 250
_TOKENS = 4000
_OWN_TOKENS = 60
_SLOTS = 64
_DOMAINS = 4
_SENDS_PER_TICK = 4
_TICK_SECONDS = 0.02
_TICKS_OF_REQUEST = 40
# Ticks between two replacements. An engine runs on while it leaves.
_REPLACE_TICKS = 60
_LEAVING_TICKS = 50
_CRASH_TICK = 1000
# The registry lists a crashed engine for three heartbeats.
_LISTED_TICKS = 150
# Numbers of the engines that replace others.
_FIRST_NEW = 500


class PartMoves:
    """Hosts that choose engines and sources, while engines are replaced.

    Parameters
    ==========

    hosts, engines, replaced : int
        Number of hosts and of engines, and how many of these are replaced.
    transfer : PartTransfer or None
        How engines move parts; None where they don't.
    seed : int
        Seed of the requests.

    Attributes
    ==========

    kept : dict
        Subjects that each running engine keeps.
    counts : Counter
        Tokens read for the first time, read again and moved, and requests sent,
        sent again, and among these those whose source had ended.
    """

    def __init__(self, hosts, engines, replaced, transfer, seed=1):
        self.rng = Random(seed)
        self.clock = Clock()
        self.clock.advance(100)
        service = Service(_SERVICE, part_transfer=transfer)
        self.table = RouteTable(1, {}, {_SERVICE: service})
        self.counts = Counter()
        self.kept = {}
        self.ends = {}
        self.known = set()
        self.hosts = []
        for _ in range(hosts):
            registry = Registry(self.clock)
            tokens = FirstTokens()
            self.hosts.append(PartSources(self.clock, registry, tokens))
        for number in range(engines):
            self.list_engine(f'i{number}')
        for host in self.hosts:
            host.registry.note_listed()
        self.replaced = [f'i{number}' for number in range(replaced)]
        self.crashed = f'i{replaced}'

    def list_engine(self, ident, *, leaving=False):
        """Let all hosts learn of an engine."""
        number = int(ident[1:])
        domain = f'd{number % _DOMAINS}'
        address = f'10.0.{number // 200}.{number % 200}:1'
        self.kept.setdefault(ident, set())
        for host in self.hosts:
            upstream = Upstream(
                ident,
                _SERVICE,
                address,
                domain,
                _SLOTS,
                leaving,
            )
            host.registry.apply(ident, upstream)

    def run(self):
        """Send requests until all engines are replaced."""
        for tick in range(_REPLACE_TICKS * (len(self.replaced) + 1)):
            self.clock.advance(_TICK_SECONDS)
            self._replace(tick)
            for view in self.ends.pop(tick, ()):
                view.in_flight -= 1
            for _ in range(_SENDS_PER_TICK):
                self._send(tick)

    def _replace(self, tick):
        place, phase = divmod(tick, _REPLACE_TICKS)
        if place < len(self.replaced) and phase == 0:
            self.list_engine(self.replaced[place], leaving=True)
            self.list_engine(f'i{_FIRST_NEW + place}')
        if place < len(self.replaced) and phase == _LEAVING_TICKS:
            self._end(self.replaced[place])
        if tick == _CRASH_TICK:
            self.kept.pop(self.crashed)
        if tick == _CRASH_TICK + _LISTED_TICKS:
            self._end(self.crashed)

    def _end(self, ident):
        self.kept.pop(ident, None)
        for host in self.hosts:
            host.registry.drop(ident)

    def _send(self, tick):
        host = self.rng.choice(self.hosts)
        subject = f's{self.rng.randrange(_SUBJECTS)}'
        prompt = ((subject, _TOKENS), ('own', _OWN_TOKENS))
        exchange = Exchange(
            '', b'', b'', [], b'', None, self.table, None, prompt=prompt
        )
        exchange.service = _SERVICE
        self.counts['sent'] += 1
        while not self._attempt(host, exchange, tick):
            self.counts['again'] += 1

    def _attempt(self, host, exchange, tick):
        now = self.clock.seconds()
        view = select_engine(
            usable(host.registry.usable(_SERVICE), now),
            now,
            'd0',
            self.rng,
            exchange.prompt,
            host.first_tokens.token_seconds(_SERVICE),
            transfer_seconds=host.transfer_seconds(exchange),
        )
        source = host.take(exchange, view)
        if view.ident not in self.kept:
            learn_unavailable(view, now, arrived=False)
            return False
        if source is not None and source.view.ident not in self.kept:
            self.counts['stalled'] += 1
            return False
        view.in_flight += 1
        self.ends.setdefault(tick + _TICKS_OF_REQUEST, []).append(view)
        self._keep(view, source, exchange.prompt[0][0])
        return True

    def _keep(self, view, source, subject):
        """Let an engine read or fetch a part that it does not keep."""
        if subject in self.kept[view.ident]:
            return
        self.kept[view.ident].add(subject)
        what = 'read_again' if subject in self.known else 'read'
        self.known.add(subject)
        if source is not None and subject in self.kept[source.view.ident]:
            what = 'moved'
        self.counts[what] += _TOKENS


def add_parser(benches):
    """Add ``bench promptparts``."""
    parser = benches.add_parser(
        'promptparts', help='prompt tokens read while engines are replaced'
    )
    parser.add_argument('--hosts', type=int, default=30)
    parser.add_argument('--engines', type=int, default=70)
    parser.add_argument('--replaced', type=int, default=30)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument(
        '--token-bytes', type=int, default=1000, help='kept of each token'
    )
    parser.add_argument(
        '--link-rate', type=float, default=1e9, help='bytes per second'
    )
    parser.set_defaults(run=run)


def run(arguments):
    """Print the counts without and with transfers as JSON."""
    transfer = PartTransfer(arguments.token_bytes, arguments.link_rate)
    counts = {}
    for name, used in (('without', None), ('with', transfer)):
        moves = PartMoves(
            arguments.hosts,
            arguments.engines,
            arguments.replaced,
            used,
            arguments.seed,
        )
        moves.run()
        counts[name] = moves.counts
    print(json.dumps(counts, indent=2))
    return 0
