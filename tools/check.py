"""Run the checks of the project and print the total counts.

Explanation
===========

``check.py`` runs the formatter, the linter, the doctests, behave and the
specification; ``check.py NAME ...`` runs only the named checks. Each check
prints its own output; the last line is ``N passed, N failed``. A failed
scenario that a line of ``KNOWN-RED.txt`` names does not count as failed, and
these lines are printed. A line whose scenario passes or has moved counts as
failed. So does a line of a case of ``review/`` that does not fail when it is
run. A scenario that a line names as failing at times is run again alone when it
fails, and counts as failed only if each run fails; what these lines showed is
printed and counted by itself. Failed scenarios are printed with their messages
after those of behave, but for known ones.
"""

import os
import pathlib
import re
import subprocess  # noqa: S404
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

from knownred import (
    failed_scenarios,
    failure_messages,
    listed_cases,
    read_entries,
    stale_entries,
)
from reruns import repeat_failed

ROOT = pathlib.Path(__file__).resolve().parent.parent
BIN = pathlib.Path(sys.executable).parent
SOURCES = ('pollenstile', 'platform', 'features', 'tools', 'spec')
MODULES = re.compile(r'(\d+) modules passed, (\d+) failed')
# Features of many whole hosts in virtual time, which take the most processor
# time, in four groups of about the same time.
_FLEET_FEATURES = (
    'features/lag.feature',
    'features/ratelimits.feature',
    'features/stagework.feature',
    'features/stagework_heavy.feature',
)
_CRASH_FEATURES = (
    'features/brittle.feature',
    'features/quarantine.feature',
    'features/silences.feature',
)
_PART_FEATURES = (
    'features/deadly_parts.feature',
    'features/versions.feature',
)
_SOAK_FEATURES = (
    'features/soak.feature',
    'features/soak_hardload.feature',
    'features/soak_malformed.feature',
    'features/withdrawals.feature',
)
# Features of answers on loopback and of processes that send them, which mostly
# wait.
_ANSWER_FEATURES = (
    'features/answer_ends.feature',
    'features/answer_ends_races.feature',
    'features/early_answers.feature',
    'features/knownred.feature',
    'features/malformed.feature',
    'features/second_copies.feature',
    'features/thinpath.feature',
)
# Features of daemons on loopback, which mostly wait.
_LIVE_FEATURES = (
    'features/cut_hosts.feature',
    'features/soak_live.feature',
    'features/tunnels.feature',
)
# Arguments of the behave processes that run beside each other.
_FEATURE_GROUPS = (
    (
        '--exclude',
        '|'.join(
            (
                *_FLEET_FEATURES,
                *_CRASH_FEATURES,
                *_PART_FEATURES,
                *_SOAK_FEATURES,
                *_ANSWER_FEATURES,
                *_LIVE_FEATURES,
            )
        ),
        'features',
    ),
    _FLEET_FEATURES,
    _CRASH_FEATURES,
    _PART_FEATURES,
    _SOAK_FEATURES,
    _ANSWER_FEATURES,
    _LIVE_FEATURES,
)
SUMMARY = re.compile(r'(\d+) scenarios? passed, (\d+) failed(?:, (\d+) error)?')


def _known_red():
    """Return the text of the list of known failures."""
    page = ROOT / 'KNOWN-RED.txt'
    return page.read_text() if page.exists() else ''


def _sources():
    return [name for name in SOURCES if (ROOT / name).is_dir()]


def _run_command(command):
    environment = dict(
        os.environ,
        PYTHONHASHSEED='0',
        TZ='UTC',
        PYTHONPATH=str(ROOT),
    )
    completed = subprocess.run(
        command,
        cwd=ROOT,
        env=environment,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        check=False,
    )
    print(completed.stdout, end='')
    return completed.returncode, completed.stdout


def _run_single(command):
    code, _ = _run_command(command)
    return (1, 0) if code == 0 else (0, 1)


def check_format():
    """Run the formatter; return the counts of passed and failed checks."""
    return _run_single([str(BIN / 'ruff'), 'format', '--check', *_sources()])


def check_lint():
    """Run the linter; return the counts of passed and failed checks."""
    return _run_single([str(BIN / 'flake8'), *_sources()])


def check_doctest():
    """Run the doctests; return the counts of passed and failed modules."""
    code, text = _run_command([sys.executable, 'tools/doctests.py'])
    found = MODULES.search(text)
    if not found:
        return 0, max(code, 1)
    return int(found.group(1)), int(found.group(2))


def check_behave():
    """Run behave; return the counts of passed and failed scenarios.

    Explanation
    ===========

    Known failures are not counted as failed; entries of the list that name
    none, or can't be read, are. The features of daemons mostly wait for
    them, and the features of whole hosts take most of the time, so both
    run beside the other features. So do the listed cases of the review.
    """
    listed = read_entries(_known_red())
    with ThreadPoolExecutor() as pool:
        cases = pool.submit(_run_cases, listed_cases(listed))
        runs = [*pool.map(_run_features, _FEATURE_GROUPS), cases.result()]
    passed = sum(run.passed for run in runs)
    failed = sum(run.failed for run in runs)
    scenarios = set().union(*(run.scenarios for run in runs))
    faults = stale_entries(listed, scenarios, ROOT)
    faults.extend(f'unreadable: {line}' for line in listed.unreadable)
    for fault in faults:
        print(f'KNOWN-RED.txt: {fault}')
    _print_failures(scenarios - listed.known, runs)
    excused = (scenarios & listed.known) | _failed_at_times(listed, scenarios)
    return passed, failed - len(excused) + len(faults)


def _failed_at_times(listed, scenarios):
    """Return which failed scenarios fail at times, and print what was seen."""
    repeated = repeat_failed(listed.at_times, scenarios, _passes_alone)
    for entry in repeated:
        print(entry.describe())
    seen = [entry for entry in repeated if entry.failed]
    print(f'fails at times: {len(repeated)} listed, {len(seen)} failed')
    return {entry.scenario for entry in seen if not entry.fails_always}


def _passes_alone(scenario):
    """Run one scenario by itself; return whether it has passed."""
    run = _run_features((scenario.location,))
    _print_failures(run.scenarios, [run])
    return (run.passed, run.failed) == (1, 0)


@dataclass(slots=True, frozen=True)
class _Run:
    """Counts of the scenarios of one behave process, and the failed ones."""

    passed: int
    failed: int
    scenarios: frozenset = frozenset()
    messages: dict = field(default_factory=dict)


def _print_failures(scenarios, runs):
    """Print failed scenarios with what the runs tell of them."""
    messages = {}
    for run in runs:
        messages.update(run.messages)
    for scenario in sorted(scenarios, key=lambda failed: failed.location):
        print(f'failed: {scenario.location} "{scenario.name}"')
        print(messages.get(scenario, 'no step failed'))


def _run_features(group):
    """Run a group of features."""
    with tempfile.NamedTemporaryFile('r+', suffix='.jsonl') as failures:
        code, text = _run_command([*_behave_command(failures.name), *group])
        messages = failure_messages(failures.read())
    found = SUMMARY.search(text)
    if not found:
        return _Run(0, max(code, 1), messages=messages)
    passed, failed, errors = (int(part or 0) for part in found.groups())
    scenarios = frozenset(failed_scenarios(text))
    return _Run(passed, failed + errors, scenarios, messages)


def _behave_command(failures):
    """Return the command of behave that writes failures to a file."""
    return [
        str(BIN / 'behave'),
        '--no-capture',
        '--format',
        'tools.failures:FailureFormatter',
        '--outfile',
        failures,
        '--format',
        'progress',
    ]


def _run_cases(cases):
    """Run cases of the review, one after the other.

    Explanation
    ===========

    They exit with 0 if their fault is not seen, with 1 if it is, and with
    another code if they could not run, which counts as failed.
    """
    environment = dict(os.environ, PATH=f'{BIN}:{os.environ["PATH"]}')
    failed = set()
    for case in cases:
        completed = subprocess.run(
            ['sh', str(ROOT / case.location / 'run.sh')],
            env=environment,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            check=False,
        )
        print(f'{case.location}: {completed.stdout}', end='')
        if completed.returncode == 1:
            failed.add(case)
    return _Run(0, len(failed), frozenset(failed))


def check_spec():
    """Check the specification; return its counts of passed and failed."""
    script = ROOT / 'spec' / 'run.py'
    if not script.exists():
        return 0, 0
    return _run_single([sys.executable, str(script)])


CHECKS = (
    ('format', check_format),
    ('lint', check_lint),
    ('doctest', check_doctest),
    ('spec', check_spec),
    ('behave', check_behave),
)


def main(names):
    """Run the named checks, or all if none is named; return the exit code."""
    passed = 0
    failed = 0
    for name, check in CHECKS:
        if names and name not in names:
            continue
        print(f'== {name}', flush=True)
        check_passed, check_failed = check()
        print(
            f'== {name}: {check_passed} passed, {check_failed} failed',
            flush=True,
        )
        passed += check_passed
        failed += check_failed
    for line in filter(str.strip, _known_red().splitlines()):
        print(f'known red: {line}')
    print(f'{passed} passed, {failed} failed')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
