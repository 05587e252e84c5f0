"""Repositories of one feature, on which the check of CI runs."""

import pathlib
import re
import shutil

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
FEATURE = 'features/a.feature'

_TOOLS = ('check.py', 'failures.py', 'knownred.py', 'reruns.py')
# Features that the check names.
_NAMED = re.compile(r"'(features/\w+\.feature)'")
_FEATURE_TEXT = """Feature: a

  Scenario: One
    Then it passes after {one} runs
  Scenario: Two
    Then it passes after {two} runs
"""
_STEPS = """
import pathlib

from behave import then


@then('it passes after {count:d} runs')
def then_passes(context, count):
    name = context.scenario.name
    counter = pathlib.Path(f'{name}.runs')
    runs = 1 + (int(counter.read_text()) if counter.exists() else 0)
    counter.write_text(str(runs))
    assert runs > count, f'run {runs} of {name}'
"""


def write_root(root, one, two):
    """Write a repository with the tools of CI and two scenarios.

    Parameters
    ==========

    root : pathlib.Path
        An empty folder.
    one, two : int
        Number of runs of "One" and "Two", at lines 3 and 5 of the feature,
        that fail before they pass.
    """
    tools = root / 'tools'
    tools.mkdir()
    for name in _TOOLS:
        shutil.copy(ROOT / 'tools' / name, tools)
    steps = root / 'features' / 'steps'
    steps.mkdir(parents=True)
    (steps / 'a_steps.py').write_text(_STEPS)
    # A feature that is named and missing would fail the check.
    for path in _NAMED.findall((tools / 'check.py').read_text()):
        (root / path).write_text('Feature: empty\n')
    (root / FEATURE).write_text(_FEATURE_TEXT.format(one=one, two=two))


def count_runs(root, name):
    """Return how often a scenario was run."""
    return int((root / f'{name}.runs').read_text())
