"""The program with one guard taken out, for a live soak to notice.

Explanation
===========

``python -m features.builders.livemutant GUARD forward ...`` runs the command
``pollenstile`` without that guard;
``python -m features.builders.livemutant GUARD`` runs live soaks of it, seeds
from 1 on, until one notices, and prints what it noticed.
"""

import sys

from pollenstile.forward import _configuration, _daemon, _registry, _run
from pollenstile.forward._decisions import RetryDecision
from pollenstile.forward._types import Refusal
from pollenstile.ops.clock import run_steadily
from pollenstile.ops.main import main
from pollenstile.ops.running import result_of
from pollenstile.soak.live import run_live

_MOST_SEEDS = 6


def _retry_all(route, outcome, sends, runs, *, resumed, may_repeat):
    return (
        RetryDecision.RETRY
        if sends < 3 and not resumed
        else RetryDecision.GIVE_UP
    )


def without_once():
    """Send a request again that may run once only."""
    _run.decide_retry = _retry_all


def without_new_configuration():
    """Keep the first configuration for good."""
    replaced = _configuration.Configuration._replace_table

    def keep(reader, found):
        return reader.table is not None or replaced(reader, found)

    _configuration.Configuration._replace_table = keep


def _is_never_busy(daemon):
    return False


def without_drain():
    """End a host at once when it is told to stop."""
    _daemon._LAME_DUCK_SECONDS = 0.0
    _daemon.ForwardDaemon._is_busy = _is_never_busy


def without_truth():
    """Say of a request that ran that it has not."""
    _run.expired_refusal = lambda runs: Refusal(503, 'timeout', 'send')


def without_drained_domains():
    """Send to the upstreams of drained domains."""
    _registry.Registry.drain = lambda registry, domains: None


def without_quarantine():
    """Send on what has crashed three upstreams and more."""
    _run.quarantine_refusal = lambda core, exchange: None


GUARDS = {
    'drained domains': without_drained_domains,
    'once': without_once,
    'quarantine': without_quarantine,
    'configuration': without_new_configuration,
    'drain': without_drain,
    'truth': without_truth,
}


def mutant_command(guard):
    """Return the words that run the program without a guard."""
    return (sys.executable, '-m', 'features.builders.livemutant', guard)


async def find_violating_run(reactor, guard, seeds, seconds=8.0):
    """Return the first result that has broken promises, or None."""
    for seed in seeds:
        result = await run_live(
            reactor,
            seed,
            seconds,
            command=mutant_command(guard),
        )
        if result.broken:
            return result
    return None


def _run_seeds(guard):
    from twisted.internet import reactor

    run_steadily(reactor)
    seeds = range(1, _MOST_SEEDS + 1)
    result = result_of(
        reactor, lambda: find_violating_run(reactor, guard, seeds)
    )
    if result is None:
        sys.stdout.write(f'{guard}: not noticed in {_MOST_SEEDS} seeds\n')
        return 1
    lines = (f'{guard}: seed {result.seed} noticed', *result.broken[:2], '')
    sys.stdout.write('\n  '.join(lines))
    return 0


if __name__ == '__main__':
    name, *rest = sys.argv[1:]
    if not rest:
        sys.exit(_run_seeds(name))
    GUARDS[name]()
    sys.argv = ['pollenstile', *rest]
    sys.exit(main())
