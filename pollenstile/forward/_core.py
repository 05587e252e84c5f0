"""Shared dependencies of forwarded requests."""

from dataclasses import dataclass, field

from pollenstile.conditions import EngineConditions
from pollenstile.estimates import Fetching, FirstTokens
from pollenstile.forward._bounds import HeldBytes
from pollenstile.forward._brittle import BrittleShares
from pollenstile.forward._cold import ColdShares
from pollenstile.forward._copies import Copies
from pollenstile.forward._crashes import CrashDetector
from pollenstile.forward._plaincodec import PlainCodec
from pollenstile.forward._processes import Processes
from pollenstile.forward._departure import Departure
from pollenstile.forward._partsources import PartSources
from pollenstile.forward._silence import SilenceCounts
from pollenstile.forward._tokenqueue import TokenQueue
from pollenstile.forward._types import HeaderNames
from pollenstile.ops.logs import silent_log
from pollenstile.origins import Origins, VersionDoubts, build_origins
from pollenstile.permission import Permissions, build_permissions
from pollenstile.quarantine import Quarantine
from pollenstile.reachability import ALL_REACHABLE


def _empty_shares():
    """Return shares that are empty, as no other hosts are known."""
    return ColdShares('', '')


@dataclass(slots=True)
class ForwardCore:
    """Components of an entry host that forwarded requests share.

    Parameters
    ==========

    clock : IReactorTime
        Clock and timers; virtual in tests.
    rng : random.Random
        Seeded in tests.
    domain : str
        The host's failure domain.
    client : HttpClient
        Sends requests.
    registry : Registry
        Known upstreams.
    configuration : Configuration
        The route table in force.
    budget : SharedRetryBudget
        Limits retries.
    stages : StageClient
        Submits stage work.
    names : HeaderNames
        Names of the headers that the system reads and sets.
    log : function
        Writes events.
    first_tokens : FirstTokens
        Estimates the time of a model engine's first token.
    fetching : Fetching
        Estimates how long engines take to fetch stage results.
    cold : ColdShares
        Limits sends to cold upstreams.
    quarantine : Quarantine or None
        Requests that crash upstreams; None creates a new quarantine.
    crashes : CrashDetector or None
        Detects crashed upstreams; None creates a detector from the other
        components.
    permissions : Permissions or None
        Whether the host may send to an upstream, by what the upstream states;
        None creates those of a host that is alone.
    origins : Origins or None
        Software versions at which streams began; None creates those of a host
        that is alone.
    domains : DomainReachability
        Failure domains that this host can't reach.
    codec : object
        Encodes requests for reports of upstreams, and decodes the reports.

    Attributes
    ==========

    processes : Processes
        Asks upstreams which process listens at their address.
    conditions : EngineConditions
        Slowdowns that engines report, and how fast they were measured to be.
    copies : Copies
        Turns of identical requests.
    tokens : TokenQueue
        Requests that wait until they may be sent to such an upstream.
    brittle : BrittleShares
        Limits sends to brittle upstreams.
    part_sources : PartSources
        Engines that keep shared prompt parts.
    silences : SilenceCounts
        What became of the attempts of silent upstreams.
    runs : dict
        The requests that have not ended, in the order of their arrival.
    departure : Departure or None
        When this host ends; None before it was asked to stop.
    held : HeldBytes
        Bytes of answers that are held back.
    """

    clock: object
    rng: object
    domain: str
    client: object
    registry: object
    configuration: object
    budget: object
    stages: object
    names: HeaderNames = field(default_factory=HeaderNames)
    log: object = silent_log
    first_tokens: FirstTokens = field(default_factory=FirstTokens)
    fetching: Fetching = field(default_factory=Fetching)
    cold: ColdShares = field(default_factory=_empty_shares)
    quarantine: Quarantine | None = None
    crashes: CrashDetector | None = None
    permissions: Permissions | None = None
    origins: Origins | None = None
    domains: object = ALL_REACHABLE
    codec: object = field(default_factory=PlainCodec)
    conditions: EngineConditions = field(init=False)
    doubts: VersionDoubts = field(init=False)
    processes: Processes = field(init=False)
    copies: Copies = field(init=False)
    tokens: TokenQueue = field(init=False)
    brittle: BrittleShares = field(init=False)
    part_sources: PartSources = field(init=False)
    silences: SilenceCounts = field(default_factory=SilenceCounts)
    runs: dict = field(default_factory=dict)
    departure: Departure | None = None
    held: HeldBytes = field(default_factory=HeldBytes)

    def __post_init__(self):
        if self.quarantine is None:
            self.quarantine = Quarantine(
                self.clock, '', self.registry.count, self.log
            )
        self.conditions = EngineConditions(self.clock, self.log)
        self.copies = Copies(self.clock, self.quarantine)
        if self.crashes is None:
            self.crashes = CrashDetector(
                self.registry, self.client, self.clock, self.log
            )
            self.crashes.on_crash = self.quarantine.note_crash
        if self.permissions is None:
            self.permissions = build_permissions(
                self.clock, self.rng, peers={}, log=self.log
            )
        if self.origins is None:
            self.origins = build_origins(self.clock)
        self.doubts = VersionDoubts(self.clock, self.origins.history)
        self.processes = Processes(
            self.clock, self.client, self.codec, self.doubts, self.log
        )
        self.quarantine.on_ended = self.doubts.note_ended
        self.registry.on_process = self.doubts.note_listed
        self.registry.listeners.append(self._note_software)
        self.registry.follow_leaving(self.permissions.leaving)
        self.permissions.leaving.listeners.append(self._wake_all)
        self.part_sources = PartSources(
            self.clock, self.registry, self.first_tokens
        )
        self.tokens = TokenQueue(self.clock)
        self.brittle = BrittleShares(
            self.clock,
            self.registry,
            self.permissions.brittle,
            self.rates.ranking,
        )
        self.rates.listeners.append(self.tokens.wake)
        self.permissions.rests.listeners.append(self.tokens.wake)

    @property
    def rates(self):
        """Limits of sends to upstreams that state a request rate."""
        return self.permissions.rates

    def _note_software(self):
        self.origins.history.update(
            self.registry.upstreams.values(), is_listed=self.registry.known
        )

    def _wake_all(self, name):
        """Let all waiting requests choose again: their upstream may leave."""
        for service in list(self.tokens.waiting):
            self.tokens.wake(service)
