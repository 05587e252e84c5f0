"""The policy in force and the baselines that it is measured against."""

from dataclasses import dataclass

from pollenstile.routing import Choice


@dataclass(slots=True, frozen=True)
class Policy:
    """How hosts of a run are built.

    Parameters
    ==========

    name : str
        For the table.
    apply : function
        Changes a node before it has a configuration.
    hedge : bool
        Whether idempotent stages are hedged.
    """

    name: str
    apply: object
    hedge: bool = True


class _Unlimited:
    """Admission that lets every request start."""

    __slots__ = ()

    async def admit(self, request):
        """Return None."""

    def request_ended(self, request):
        """Note nothing."""

    def stage_ended(self, request, stage):
        """Note nothing."""


def _as_built(node):
    """Change nothing."""


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
    Policy('policy', _as_built),
    Policy('round robin', _round_robin),
    Policy('no hedging', _as_built, hedge=False),
    Policy('no admission', _without_admission),
)
