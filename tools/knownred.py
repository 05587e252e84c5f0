"""Known failures of ``KNOWN-RED.txt``, compared with the scenarios that ran.

Explanation
===========

Each entry is a line that begins with the location of one scenario and the
scenario's name in quotes::

    features/a.feature:12 "Two hosts: seed 1": command, what was seen; issue 2

or with the folder of one case of ``review/`` and the rule of its claim::

    review/2 "LOST": command, what was seen; issue 2

A failed scenario or case counts as known only if an entry names it by both. An
entry whose scenario passes, or is no longer at its location, is stale.

A scenario that fails in some runs only is listed with their number::

    features/a.feature:12 "Two hosts" (fails at times, 1 of 11): command, ...

Such an entry is stale only if its scenario is no longer at its location.
"""

import json
import re
from dataclasses import dataclass, field

from behave.parser import parse_file

_ENTRY = re.compile(r'(features/\S+\.feature:\d+|review/\d+) "([^"]+)": \S')
_AT_TIMES = re.compile(
    r'(features/\S+\.feature:\d+) "([^"]+)"'
    r' \(fails at times, (\d+) of (\d+)\): \S'
)
_CASE = re.compile(r'review/\d+$')
_RULE = re.compile(r'^rule: (\S+)$', re.MULTILINE)
_FAILED = re.compile(r'^  (features/\S+\.feature:\d+)  (.+)$', re.MULTILINE)
# Suffix that names the row of a scenario outline, such as `` -- @1.2 ``.
_ROW = re.compile(r'(?<=\S) -- @\S+ ?.*$')


@dataclass(slots=True, frozen=True)
class Scenario:
    """A scenario, or a case of the review, by its location and its name.

    Parameters
    ==========

    location : str
        Path of the feature from the root, and the line number; the folder of
        a case.
    name : str
        The name without the suffix of an outline's row; the rule of a case.
    """

    location: str
    name: str


@dataclass(slots=True)
class Listed:
    """Entries of a page.

    Attributes
    ==========

    known : set of Scenario
        Scenarios and cases that fail in each run.
    at_times : set of Scenario
        Scenarios that fail in some runs.
    unreadable : list of str
        Lines that are no entry.
    """

    known: set = field(default_factory=set)
    at_times: set = field(default_factory=set)
    unreadable: list = field(default_factory=list)


def failed_scenarios(text):
    """Return the failed scenarios that a summary of behave lists."""
    return {
        Scenario(location, _name_of(title))
        for location, title in _FAILED.findall(text)
    }


def failure_messages(text):
    """Return the steps and messages of failed scenarios.

    Parameters
    ==========

    text : str
        What :class:`tools.failures.FailureFormatter` wrote.

    Returns
    =======

    dict of Scenario to str
    """
    messages = {}
    for line in text.splitlines():
        failure = json.loads(line)
        scenario = Scenario(failure['location'], _name_of(failure['name']))
        messages[scenario] = f'{failure["step"]}: {failure["message"]}'
    return messages


def existing_scenarios(root, location):
    """Return the scenarios of the feature of a location; none if it is gone.

    Parameters
    ==========

    root : pathlib.Path
        Root of the repository.
    location : str
        Location of any line of the feature.
    """
    if _CASE.match(location):
        return _existing_cases(root, location)
    path = location.rpartition(':')[0]
    if not (root / path).exists():
        return set()
    feature = parse_file(str(root / path))
    return {
        Scenario(f'{path}:{scenario.line}', _name_of(scenario.name))
        for scenario in feature.walk_scenarios()
    }


def read_entries(page):
    """Return the entries of a page, as :class:`Listed`."""
    listed = Listed()
    for line in filter(str.strip, page.splitlines()):
        entry = _ENTRY.match(line)
        at_times = _AT_TIMES.match(line)
        if entry:
            listed.known.add(Scenario(entry[1], entry[2]))
        elif at_times and 0 < int(at_times[3]) < int(at_times[4]):
            listed.at_times.add(Scenario(at_times[1], at_times[2]))
        else:
            listed.unreadable.append(line)
    return listed


def stale_entries(listed, failed, root):
    """Return a message for each entry that names no failed scenario.

    Explanation
    ===========

    One that fails at times names a scenario that may pass, but is there.

    Parameters
    ==========

    listed : Listed
        The entries.
    failed : set of Scenario
        Scenarios that failed in a run of all features.
    root : pathlib.Path
        Root of the repository.
    """
    messages = []
    passed = (listed.known | listed.at_times) - failed
    for entry in sorted(passed, key=_location):
        if entry not in existing_scenarios(root, entry.location):
            messages.append(f'{entry.location} is not "{entry.name}"')
            continue
        if entry in listed.known:
            messages.append(f'{entry.location} passes, but is listed')
    return messages


def listed_cases(listed):
    """Return the entries that name a case of the review, in order."""
    cases = [entry for entry in listed.known if _CASE.match(entry.location)]
    return sorted(cases, key=_location)


def _existing_cases(root, location):
    """Return the case of a folder by the rule that its claim names."""
    claim = root / location / 'claim.txt'
    if not claim.exists():
        return set()
    return {
        Scenario(location, rule) for rule in _RULE.findall(claim.read_text())
    }


def _location(scenario):
    return scenario.location


def _name_of(title):
    return _ROW.sub('', title).strip()
