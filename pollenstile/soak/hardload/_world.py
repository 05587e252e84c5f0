"""Hosts, engines, stage upstreams and callers of one hard-load run."""

from pollenstile.bench._crashworld import RETRY_SLACK
from pollenstile.bench._domainworld import DomainWorld
from pollenstile.bench._seededworld import SeededWorld
from pollenstile.bench._streamtries import serving_hosts
from pollenstile.forward import serve
from pollenstile.forward._parse import parse_exchange
from pollenstile.forward._types import Refusal
from pollenstile.soak._records import Records
from pollenstile.soak._trace import Trace
from pollenstile.soak.hardload._callers import (
    LoadCaller,
    Order,
    ReceivedRequest,
)
from pollenstile.soak.hardload._checks import check_event
from pollenstile.soak.hardload._client import CutClient
from pollenstile.soak.hardload._engines import SLOTS, UnevenEngines
from pollenstile.soak.hardload._stages import StageServers
from pollenstile.soak.hardload._tables import (
    KEYS,
    ROUTES,
    SERVICES,
    TEAM_SHARES,
)
from pollenstile.standin.crashing import EVENT_GAP_SECONDS

_HOSTS = 6
_DOMAINS = 3
# A domain is judged from 16 upstreams on; one has these and its stages.
_ENGINES = 54
_STAGES = 6
_GRACE_SECONDS = 2.0
_PIECES = (1, 2, 2, 3, 4)
_HEADS = 6
_HEAD_TOKENS = 4000
_OWN_TOKENS = 60
_FORGED_SHARE = 0.1
_IMPATIENT_SHARE = 0.05
_MAX_PATIENCE_SECONDS = 3.0


class HardLoadWorld(SeededWorld):
    """State of one run.

    Parameters
    ==========

    seed : int
        Seed of the callers and of the faults.
    log : function
        Log function for violations.

    Attributes
    ==========

    answers : list of LoadAnswer
        Answers to all tries, in order.
    callers : list of LoadCaller
        All callers, in order.
    engine_addresses : set of str
        Addresses at which an engine has ever run.
    domain_of : dict
        Failure domain of each upstream's address.
    counts : dict
        How often each part of the design acted, by name.
    version : int
        Version of the newest configuration.
    """

    __slots__ = (
        'answers',
        'callers',
        'clients',
        'counts',
        'domain_of',
        'engine_addresses',
        'log',
        'records',
        'stages',
        'trace',
        'version',
    )

    def __init__(self, seed, log):
        self.log = log
        self.answers = []
        self.callers = []
        self.clients = {}
        self.counts = {}
        self.version = 1
        self.domain_of = {}
        self.engine_addresses = set()
        super().__init__(_HOSTS, _ENGINES, _DOMAINS, slots=SLOTS, seed=seed)
        domains = sorted({host.domain for host in self.fleet.hosts.values()})
        for number in range(_STAGES):
            address = f'10.1.0.{number}:1'
            self.domain_of[address] = domains[number % len(domains)]
            self.stages.start(address, self.domain_of[address])
        self.fleet.on_event = self._note_event
        self.advance(1.0)

    def make_fleet(self, hosts, domains):
        """Return the started hosts."""
        fleet = DomainWorld(
            hosts,
            domains,
            has_upstream=False,
            by_host={'host': ROUTES},
            services=SERVICES,
            keys=KEYS,
            repeat_slack=RETRY_SLACK,
            grace_seconds=_GRACE_SECONDS,
            return_times=True,
            engine_speeds=True,
        )
        self.trace = Trace(fleet.clock)
        self.records = Records(self.trace, self.log)
        return fleet

    def make_upstreams(self):
        """Return the engines, none of them started."""
        self.stages = StageServers(self.fleet.clock, self._write)
        return UnevenEngines(self, self._write)

    def start_upstream(self, address, domain, number, count):
        """Start an engine."""
        self.start_engine(address, domain)

    def start_engine(self, address, domain):
        """Start an engine, which registers under a new name."""
        self.domain_of[address] = domain
        self.engine_addresses.add(address)
        self.upstreams.start(address, domain)

    def join(self, host):
        """Connect a host to the upstreams."""
        client = CutClient(self, host)
        self.clients[host.name] = client
        core = host.core
        core.client = client
        core.crashes.client = client
        core.domains.probe = client.probe_domain
        host.daemon.parts.owners.calls.client = client

    def events_per_answer(self):
        """Return the number of events of a whole answer."""
        return round(self.upstreams.work / EVENT_GAP_SECONDS)

    def chance(self, share):
        """Return True with a given probability."""
        return self.rng.random() < share

    def violate(self, name, subject, **fields):
        """Record a violated invariant."""
        self.records.violate(name, subject, **fields)

    def count(self, name):
        """Count that a part of the design acted."""
        self.counts[name] = self.counts.get(name, 0) + 1

    def is_cut(self, host, address):
        """Return whether a host can't reach an upstream's address."""
        domains = {host.domain, self.domain_of[address]}
        return len(domains) > 1 and bool(domains & self.fleet.cut)

    def serving_hosts(self):
        """Return the hosts that the load balancer may choose."""
        return [
            host
            for host in serving_hosts(self.fleet)
            if not host.daemon.leaving
        ]

    def start_caller(self, route=None):
        """Let a new caller send its first try."""
        rng = self.rng
        number = len(self.callers)
        prompt = (
            f'head-{rng.randrange(_HEADS)}:{_HEAD_TOKENS},'
            f'own-{number}:{_OWN_TOKENS}'
        )
        teams = list(TEAM_SHARES)
        order = Order(
            route or rng.choice(ROUTES),
            rng.choices(teams, TEAM_SHARES.values())[0],
            rng.choice(_PIECES),
            prompt,
            self.chance(_FORGED_SHARE),
        )
        caller = LoadCaller(self, f'c{number}', order)
        self.callers.append(caller)
        caller.send()

    def send_try(self, caller, ident, answer):
        """Send one try of a caller to a random host."""
        host = self.rng.choice(self.serving_hosts())
        answer.host = host
        self.answers.append(answer)
        self.trace.note('ask', ident=ident, host=host.name)
        exchange = parse_exchange(host.core, ReceivedRequest(caller, ident))
        if isinstance(exchange, Refusal):
            answer.refuse(exchange)
            return
        answer.work = serve(host.core, exchange, answer)
        if self.chance(_IMPATIENT_SHARE):
            patience = self.rng.uniform(0, _MAX_PATIENCE_SECONDS)
            self.later(patience, answer.leave)

    def note_end(self, answer):
        """Note the end of a try in the trace."""
        reason = answer.refusal.reason if answer.refusal else ''
        self.trace.note(
            'end',
            ident=answer.ident,
            end=answer.end,
            status=answer.status,
            reason=reason,
        )

    def live_answers(self, host):
        """Return the tries at a host that have not ended."""
        return [
            answer
            for answer in self.answers
            if answer.host is host and not answer.end
        ]

    def _note_event(self, name, event, fields):
        check_event(self, name, event, fields)
