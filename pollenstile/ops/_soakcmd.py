"""``pollenstile soak``: randomised runs that check invariants."""

import argparse
import pathlib
import sys
import time
from collections import Counter
from contextlib import nullcontext

from pollenstile.ops.clock import use_boot_clock
from pollenstile.ops.exits import BAD_RESULT, GOOD
from pollenstile.ops.logs import configure_logs, event_log
from pollenstile.ops.running import result_of
from pollenstile.soak import run_hard_load, run_soak

# Seconds of a silence of a live run of only these, and the most.
_SILENT_SECONDS = 1.8
_MAX_SILENCE_SECONDS = 60.0
_SILENT_SERVICES = {
    'engines': ('engines',),
    'stages': ('encode', 'rerank'),
    'lookups': ('lookup',),
    'all': ('engines', 'encode', 'rerank', 'lookup'),
}


# Grace of the hosts of a live run whose requests may outlast it.
_GRACE_SECONDS = 4.0
_SILENT_SETS = ('nobody', 'engines', 'stages', 'both', 'results-gone')
_STORE_STATES = ('well', 'slow', 'away')
# How upstreams may end answers in unusual ways.
_ENDS = (
    'killed',
    'replaced',
    'unread',
    'reset',
    'twice',
    'half-twice',
    'contradiction',
)
_NO_ENDS = 'none'
_ALL_FORMS = 'all'
_FORMS = (
    'head',
    'continue',
    'event',
    'nobody',
    'failure',
    'lookup',
    'stage',
    _ALL_FORMS,
)


def add_parser(commands):
    """Add the subcommand."""
    parser = commands.add_parser(
        'soak',
        help='run hosts, upstreams and callers under random faults',
        description=(
            'Runs several entry hosts in virtual time under random faults, '
            'and checks invariants. The same seed gives the same run and the '
            'same digest. Exit code 1 when an invariant was broken.'
        ),
    )
    parser.add_argument('--seed', type=int, default=1, help='seed of the run')
    parser.add_argument(
        '--seeds',
        type=_seed_range,
        metavar='A-B',
        help='run each seed from A to B instead',
    )
    parser.add_argument(
        '--steps',
        type=_positive,
        default=400,
        help='number of random steps in a run [400]',
    )
    parser.add_argument(
        '--returns',
        action='store_true',
        help='let the store come back from older copies of itself',
    )
    parser.add_argument(
        '--silences',
        action='store_true',
        help='let upstreams stand still and go on, without other faults of them;'
        ' with --live: four times, as the only faults',
    )
    parser.add_argument(
        '--hard-load',
        action='store_true',
        help='run forwarding hosts over uneven engines and a full stage, with '
        'all their faults, for --seconds of virtual time',
    )
    _add_live_flags(parser)
    _add_silence_flags(parser)
    _add_grace_flags(parser)
    _add_endless_flags(parser)
    parser.add_argument(
        '--all-end',
        choices=_STORE_STATES,
        help='with --live: all hosts end at once, twice, as the only faults, '
        'while the store is well, slow or away',
    )
    parser.add_argument(
        '--ending',
        choices=('hosts', 'all'),
        default='hosts',
        help='with --live --all-end: what ends, the hosts or all upstreams too',
    )
    parser.set_defaults(run=run)


def _add_live_flags(parser):
    parser.add_argument(
        '--live',
        action='store_true',
        help='run real processes, with faults by signals and proxies',
    )
    parser.add_argument(
        '--seconds',
        type=float,
        default=8.0,
        help='with --live or --hard-load: duration of the faults [8]',
    )
    parser.add_argument(
        '--logs',
        type=pathlib.Path,
        help="with --live: folder for each seed's combined host log and the "
        'records of its callers and upstreams',
    )
    parser.add_argument(
        '--hosts',
        type=_positive,
        default=4,
        help='with --live: number of entry hosts [4]',
    )
    parser.add_argument(
        '--ends',
        type=_ends,
        default=_ENDS,
        metavar='NAMES',
        help='with --live: how upstreams end answers beside the other faults, '
        f'{_NO_ENDS} or some of {",".join(_ENDS)} [all]',
    )


def _add_silence_flags(parser):
    parser.add_argument(
        '--silent-seconds',
        type=_positive_seconds,
        default=_SILENT_SECONDS,
        help=f'with --live --silences: length of each [{_SILENT_SECONDS}]',
    )
    parser.add_argument(
        '--silent-services',
        choices=tuple(_SILENT_SERVICES),
        default='all',
        help='with --live --silences: the services that stand still [all]',
    )
    parser.add_argument(
        '--silent-share',
        type=_share,
        default=1.0,
        help='with --live --silences: share of their upstreams, 0 for none [1]',
    )
    parser.add_argument(
        '--changes',
        action='store_true',
        help='with --live --silences: write versions of the configuration meanwhile',
    )


def _add_grace_flags(parser):
    parser.add_argument(
        '--graces',
        nargs='?',
        choices=_SILENT_SETS,
        const=_SILENT_SETS[1],
        metavar='SILENT',
        help='stop hosts gracefully while requests may outlast their grace; '
        'with --live: two hosts in turn, as the only faults, while the '
        'upstreams of SILENT stand still from shortly before each SIGTERM on: '
        f'{", ".join(_SILENT_SETS)} (engines whose stage results are gone when '
        f'they go on) [{_SILENT_SETS[1]}]',
    )
    parser.add_argument(
        '--grace-seconds',
        type=_positive_seconds,
        default=_GRACE_SECONDS,
        help=f'with --live --graces: grace of the hosts [{_GRACE_SECONDS:g}]',
    )


def _add_endless_flags(parser):
    parser.add_argument(
        '--endless',
        nargs='?',
        choices=_FORMS,
        const=_ALL_FORMS,
        metavar='FORM',
        help='let upstreams send without end what brings nothing; with --live: '
        'as the only fault, for --seconds, one upstream of each service that '
        f'FORM is for: {", ".join(_FORMS)} [{_ALL_FORMS}]',
    )
    parser.add_argument(
        '--endless-rate',
        choices=('fast', 'slow', 'drip'),
        default='fast',
        help='with --live --endless: 4 MB/s, 20 kB/s or 1 kB/s [fast]',
    )
    parser.add_argument(
        '--endless-whole',
        action='store_true',
        help='with --live --endless: all upstreams of a service do so',
    )


def _positive_seconds(text):
    seconds = float(text)
    if not 0 < seconds <= _MAX_SILENCE_SECONDS:
        raise argparse.ArgumentTypeError(
            f'must be above 0 and at most {_MAX_SILENCE_SECONDS:g}'
        )
    return seconds


def _share(text):
    share = float(text)
    if not 0 <= share <= 1:
        raise argparse.ArgumentTypeError('must be from 0 to 1')
    return share


def _ends(text):
    names = () if text == _NO_ENDS else tuple(text.split(','))
    if not set(names) <= set(_ENDS):
        raise argparse.ArgumentTypeError(
            f'{text!r} is neither {_NO_ENDS} nor some of {",".join(_ENDS)}'
        )
    return names


def _positive(text):
    number = int(text)
    if number < 1:
        raise argparse.ArgumentTypeError('must be at least 1')
    return number


def _seed_range(text):
    first, dash, last = text.partition('-')
    if not (dash and first.isdigit() and last.isdigit()):
        raise argparse.ArgumentTypeError(f'{text!r} is not A-B')
    if int(last) < int(first):
        raise argparse.ArgumentTypeError(f'{text!r} is an empty range')
    return range(int(first), int(last) + 1)


def run(arguments):
    """Run each seed, print a line for each and return the exit code."""
    configure_logs('error')
    seeds = arguments.seeds or [arguments.seed]
    if arguments.live:
        return _run_live(seeds, arguments)
    broken = []
    started = time.perf_counter()
    for seed in seeds:
        result = _run_seed(seed, arguments)
        print(_result_line(result))
        if result.violations:
            broken.append(seed)
            _print_tail(result)
    seed_seconds = (time.perf_counter() - started) / len(seeds)
    print(
        f'{len(seeds)} seeds, {len(broken)} broken, {seed_seconds:.2f} s a seed'
    )
    if not broken:
        return GOOD
    print(
        'broken seeds: {}'.format(
            ' '.join(str(broken_seed) for broken_seed in broken)
        )
    )
    return BAD_RESULT


def _run_seed(seed, arguments):
    """Return the result of one run in virtual time."""
    log = event_log(seed=seed)
    if arguments.hard_load:
        return run_hard_load(seed, arguments.seconds, log)
    return run_soak(
        seed,
        arguments.steps,
        log,
        returns=arguments.returns,
        silences=arguments.silences,
        graces=bool(arguments.graces),
        endless=bool(arguments.endless),
    )


def _run_live(seeds, arguments):
    # The only use of the global reactor; importing the module installs it.
    from twisted.internet import reactor  # noqa: WPS433

    use_boot_clock(reactor)
    return result_of(
        reactor, lambda: _run_live_seeds(reactor, seeds, arguments)
    )


async def _run_live_seeds(reactor, seeds, arguments):
    from pollenstile.soak.live import run_live  # noqa: WPS433

    broken = []
    for seed in seeds:
        with _log_file(arguments.logs, seed) as logs:
            result = await run_live(
                reactor,
                seed,
                arguments.seconds,
                arguments.hosts,
                logs=logs,
                plan=_plan(arguments),
            )
        print(_live_line(result), flush=True)
        if arguments.logs:
            _write_records(reactor, arguments.logs, result)
        if result.broken:
            broken.append(seed)
            _print_broken(result)
    print(f'{len(seeds)} live seeds, {len(broken)} broken')
    return BAD_RESULT if broken else GOOD


def _write_records(reactor, folder, result):
    from pollenstile.soak.live import write_records  # noqa: WPS433

    utc = time.time() - reactor.seconds()
    with (folder / f'seed-{result.seed}.records').open('wb') as output:
        write_records(result.records, output, utc)


def _plan(arguments):
    """Return the faults of a live run."""
    from pollenstile.soak.live import (  # noqa: WPS433
        GracePlan,
        MixedPlan,
        ReturnPlan,
        SilencePlan,
    )

    if arguments.all_end:
        return ReturnPlan(
            arguments.all_end, with_upstreams=arguments.ending == 'all'
        )
    if arguments.graces:
        return GracePlan(arguments.graces, arguments.grace_seconds)
    if arguments.endless:
        return _endless_plan(arguments)
    if not arguments.silences:
        return MixedPlan(arguments.ends)
    return SilencePlan(
        arguments.silent_seconds,
        _SILENT_SERVICES[arguments.silent_services],
        arguments.silent_share,
        arguments.changes,
    )


def _endless_plan(arguments):
    from pollenstile.soak.live import (  # noqa: WPS433
        FORMS,
        RATES,
        EndlessPlan,
    )

    names = (arguments.endless,)
    if arguments.endless == _ALL_FORMS:
        names = tuple(FORMS)
    return EndlessPlan(
        names,
        RATES[arguments.endless_rate],
        arguments.endless_whole,
        arguments.seconds,
    )


def _log_file(folder, seed):
    if folder is None:
        return nullcontext()
    folder.mkdir(parents=True, exist_ok=True)
    return (folder / f'seed-{seed}.log').open('wb')


def _live_line(result):
    outcomes = [
        f'{key} {result.outcomes[key]}' for key in sorted(result.outcomes)
    ]
    return (
        f'seed {result.seed}: {len(result.faults)} faults; '
        f'{", ".join(outcomes)}; {len(result.broken)} broken\n'
        f'  beside silences: {_counts_text(result.sound.met)}; '
        f'lost: {_counts_text(result.sound.lost)}; '
        f'refused: {_counts_text(result.sound.refused)}; '
        f'runs: {_counts_text(result.sound.runs)}'
        f'{_graces_text(result.graces)}{_endless_text(result.endless)}'
        f'{_malformed_text(result.records.malformed)}{_ends_text(result.ends)}'
        f'{_recoveries_text(result.recoveries)}\n'
        f'  taken up: {result.taken_up[0]}, went on: {result.taken_up[1]}\n'
        f'  peak memory: {max(result.peaks.values(), default=0.0):.0f} MB'
    )


def _graces_text(graces):
    if not graces.ends:
        return ''
    return f'\n  read before a stop: {_counts_text(graces.ends)}'


def _recoveries_text(recoveries):
    return ''.join(
        f'\n  all ended: ready after {each.first:.1f} s, half {each.half:.1f} s,'
        f' all {each.last:.1f} s; a quarter served from {each.quarter:.2f} s on,'
        f' nine in ten from {each.nearly_all:.2f} s on;'
        f' served later {each.later_share:.2f}'
        for each in recoveries
    )


def _endless_text(endless):
    if not endless.answers:
        return ''
    return (
        f'\n  endless: {endless.answers} answers, longest '
        f'{endless.longest:.2f} s, largest {endless.largest_mb:.1f} MB, '
        f'passed on at most {endless.passed_mb:.1f} MB; '
        f'{_counts_text(endless.ends)}; '
        f'sent elsewhere: {_counts_text(endless.elsewhere)}, '
        f'kept: {_counts_text(endless.kept)}'
    )


def _malformed_text(answers):
    if not answers:
        return ''
    forms = Counter(form for _, form in answers)
    return f'\n  malformed: {len(answers)} answers; {_counts_text(forms)}'


def _ends_text(ends):
    return (
        f'\n  ends: {ends.sent.total()} answers; {_counts_text(ends.sent)}; '
        f'callers got: {_counts_text(ends.got)}'
        f'\n  {ends.broken_off} sound ones were broken off; '
        f'{ends.arrived} answers that ended with their connection arrived, '
        f'{ends.served} of the {ends.undisturbed} that met nothing else'
    )


def _counts_text(counts):
    return ', '.join(f'{key} {counts[key]}' for key in sorted(counts)) or '0'


def _print_broken(result):
    for fault in result.faults:
        print(f'  {fault.at:.3f} {fault.subject} {fault.text}')
    for line in result.broken:
        print(f'seed {result.seed} broken: {line}')


def _result_line(result):
    tags = [f'{tag} {count}' for tag, count in sorted(result.outcomes.items())]
    return (
        f'seed {result.seed} digest {result.digest} '
        f'events {result.events}: {", ".join(tags)}'
    )


def _print_tail(result):
    for line in result.tail:
        sys.stdout.write(f'  {line}\n')
    for violation in result.violations:
        print(f'seed {result.seed} violation: {violation}')
