"""What forwarding a request depends on."""

from dataclasses import dataclass, field

from pollenstile.estimates import Fetching, FirstTokens
from pollenstile.forward._cold import ColdShares
from pollenstile.forward._crashes import Crashes
from pollenstile.forward._types import HeaderNames
from pollenstile.ops.logs import silent_log
from pollenstile.quarantine import Quarantine


def _unknown_shares():
    """Return the shares of a host that has heard of no hosts: none."""
    return ColdShares('', '')


@dataclass(slots=True)
class ForwardCore:
    """Parts of one entry host that forwarded requests share.

    Parameters
    ==========

    clock : IReactorTime
        Real, or virtual under test.
    rng : random.Random
        Seeded under test.
    domain : str
        The host's failure domain.
    client : HttpClient
        Sends requests.
    registry : Registry
        Upstreams.
    configuration : Configuration
        The route table in force.
    budget : RepeatBudget
        Repeats that may be sent.
    stages : StageClient
        Has stage work done.
    names : HeaderNames
        Of the headers that the system reads and sets.
    first_tokens : FirstTokens
        How long model engines take to answer.
    fetching : Fetching
        How long they take to fetch stage results.
    cold : ColdShares
        What may be sent to upstreams that are cold.
    quarantine : Quarantine or None
        Requests that crash upstreams; one of its own where there is none.
    crashes : Crashes or None
        Finds out which upstreams have crashed; made from the others.
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
    cold: ColdShares = field(default_factory=_unknown_shares)
    quarantine: Quarantine | None = None
    crashes: Crashes | None = None

    def __post_init__(self):
        if self.quarantine is None:
            self.quarantine = Quarantine(
                self.clock, '', self.registry.count, self.log
            )
        if self.crashes is None:
            self.crashes = Crashes(
                self.registry, self.client, self.clock, self.log
            )
            self.crashes.on_crash = self.quarantine.note_crash
