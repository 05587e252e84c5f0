"""Define the production policy and the baselines of the policy benchmark."""

from dataclasses import dataclass

from pollenstile.routing import Choice


@dataclass(slots=True, frozen=True)
class Policy:
    """A variant of admission, routing and hedging that a run measures.

    Parameters
    ==========

    name : str
        The name in the printed table.
    apply : function
        Modifies a node before its first configuration.
    hedge : bool
        Whether idempotent stages are hedged.
    """

    name: str
    apply: object
    hedge: bool = True


class _Unlimited:
    """Admission control that admits every request."""

    __slots__ = ()

    async def admit(self, request):
        """Admit the request at once."""

    def request_ended(self, request):
        """Do nothing when a request ends."""

    def stage_ended(self, request, stage):
        """Do nothing when a stage ends."""


def _unchanged(node):
    """Leave the node unchanged."""


def _without_admission(node):
    node.core.admission = _Unlimited()


def _round_robin(node):
    turns = {}

    def choose(pool, tracker, domain, rng, excluded=(), hints=None):
        names = [name for name in pool.upstreams if name not in excluded]
        if not names:
            return None
        first = names[0]
        turns[first] = turns.get(first, -1) + 1
        name = names[turns[first] % len(names)]
        return Choice(name, pool.upstreams[name], 0, len(names))

    node.core.choose = choose


POLICIES = (
    Policy('policy', _unchanged),
    Policy('round robin', _round_robin),
    Policy('no hedging', _unchanged, hedge=False),
    Policy('no admission', _without_admission),
)
