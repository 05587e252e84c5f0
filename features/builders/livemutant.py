"""Runs the program without one guard, to test that live soaks detect this.

Explanation
===========

``python -m features.builders.livemutant GUARD forward ...`` runs the command
``pollenstile`` without that guard;
``python -m features.builders.livemutant GUARD`` runs live soaks of it with the
seeds from 1 on until one finds violations, and prints these.
"""

import sys

from pollenstile.forward import (
    _attempt,
    _configuration,
    _daemon,
    _registry,
    _run,
)
from pollenstile.forward._contest import Contest
from pollenstile.forward._decisions import RetryDecision
from pollenstile.forward._standby import Standby
from pollenstile.forward._types import Lost, Refusal
from pollenstile.ops.answers import AnswerConnection
from pollenstile.ops.clock import use_boot_clock
from pollenstile.ops.main import main
from pollenstile.ops.running import result_of
from pollenstile.origins import OriginFound, Origins
from pollenstile.permission import LeavingUpstreams, RestPeriods
from pollenstile.ratelimits import RateLimits
from pollenstile.soak.live import MixedPlan, run_live

_MAX_SEEDS = 6
# Ends of answers that sound hosts take for what they are.
_PLAN = MixedPlan(('killed', 'replaced', 'unread', 'reset'))


def _retry_all(route, outcome, sends, runs, *, resumed, may_repeat):
    return (
        RetryDecision.RETRY
        if sends < 3 and not resumed
        else RetryDecision.GIVE_UP
    )


def without_once():
    """Retry also requests that must not run twice."""
    _run.decide_retry = _retry_all


def without_new_configuration():
    """Never replace the first configuration."""
    original = _configuration.Configuration.replace_table

    def keep(reader, found):
        return reader.table is not None or original(reader, found)

    _configuration.Configuration.replace_table = keep


async def _stop_at_once(daemon):
    """Return at once; the process ends, and closes all connections."""


def without_drain():
    """End a host at once on shutdown, without a lame duck period."""
    _daemon.shut_down = _stop_at_once


def without_truth():
    """Report a request as not run although it may have run."""
    _run.expired_refusal = lambda runs: Refusal(503, 'timeout', 'send')


def without_drained_domains():
    """Keep sending to the upstreams of drained domains."""
    _registry.Registry.drain = lambda registry, domains: None


def without_quarantine():
    """Keep sending requests that crashed three or more upstreams."""
    _run.quarantine_refusal = lambda core, exchange: None


def without_rates():
    """Send to upstreams without regard to the rates that they state."""
    RateLimits.may_send = lambda limits, upstream: True


def without_leaving():
    """Send also to upstreams whose answers state that they leave."""
    LeavingUpstreams.note_answer = lambda leaving, name, service, stated: None


def without_rests():
    """Send also to upstreams that have asked for rest."""
    RestPeriods.note_answer = lambda rests, name, service, stated: None


def without_versions():
    """Go on with streams at any software version."""
    original = _registry.Registry.usable
    _registry.Registry.usable = lambda registry, service, software=None: (
        original(registry, service)
    )


async def _find_any(origins, key, service):
    return OriginFound(None, 'any')


def without_origins():
    """Go on with the streams of other hosts at any software version."""
    Origins.find = _find_any


def _end_silent(standby, attempt):
    if attempt.silence.backpressure is None:
        attempt.call.give_up()
        attempt.call.head.callback(Lost('silent', attempt.view.ident))
    else:
        attempt.silence.backpressure.stopProducing()


def without_patience():
    """End the attempt at an upstream that is silent for its limit."""
    Standby.note_silent = _end_silent


def without_closing():
    """Let all attempts of a request go on beside the one that answers."""
    Contest.claim = lambda contest, attempt: None


def without_strict_heads():
    """Take whatever the library takes for the head of an answer."""
    AnswerConnection._use_strict_parser = lambda connection, request: None


def _check_no_end(*components):
    async def confirm(connection):
        return True

    return confirm


def without_ends():
    """Take each close for the end that an upstream gave its answer."""
    _attempt.end_check = _check_no_end


GUARDS = {
    'ends': without_ends,
    'strict heads': without_strict_heads,
    'patience': without_patience,
    'closing': without_closing,
    'origins': without_origins,
    'versions': without_versions,
    'leaving': without_leaving,
    'rests': without_rests,
    'rates': without_rates,
    'drained domains': without_drained_domains,
    'once': without_once,
    'quarantine': without_quarantine,
    'configuration': without_new_configuration,
    'drain': without_drain,
    'truth': without_truth,
}


def mutant_command(guard):
    """Return the command that runs the program without a guard."""
    return (sys.executable, '-m', 'features.builders.livemutant', guard)


async def find_violating_run(reactor, guard, seeds, seconds=8.0):
    """Return the first result with violations, or None."""
    for seed in seeds:
        result = await run_live(
            reactor,
            seed,
            seconds,
            command=mutant_command(guard),
            plan=_PLAN,
        )
        if result.broken:
            return result
    return None


def _run_seeds(guard):
    from twisted.internet import reactor

    use_boot_clock(reactor)
    seeds = range(1, _MAX_SEEDS + 1)
    result = result_of(
        reactor, lambda: find_violating_run(reactor, guard, seeds)
    )
    if result is None:
        sys.stdout.write(f'{guard}: not detected in {_MAX_SEEDS} seeds\n')
        return 1
    lines = (
        f'{guard}: seed {result.seed} found violations',
        *result.broken[:2],
        '',
    )
    sys.stdout.write('\n  '.join(lines))
    return 0


if __name__ == '__main__':
    name, *rest = sys.argv[1:]
    if not rest:
        sys.exit(_run_seeds(name))
    GUARDS[name]()
    sys.argv = ['pollenstile', *rest]
    sys.exit(main())
