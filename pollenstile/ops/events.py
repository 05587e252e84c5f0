"""Numbered log events.

Explanation
===========

Each package defines its events in a module of its own, from its own hundred:
1000 pipeline and routing, 2000 limits, 3000 claims, 4000 fleet, 5000
placement, 6000 peer, 7000 platform, 8000 entry and ops, 9000 invariants.
``docs/EVENTS.md`` is the catalogue; a test holds it against :func:`catalogue`.
"""

from dataclasses import dataclass

_CATALOGUE = {}


@dataclass(slots=True, frozen=True)
class Event:
    """A kind of log line.

    Parameters
    ==========

    number : int
        Never used again for something else.
    name : str
        Short and stable, for searching.
    meaning : str
        What happened, for operators.
    action : str
        What to do about it; empty when nothing is to be done.
    """

    number: int
    name: str
    meaning: str
    action: str = ''


def define(number, name, meaning, action=''):
    """Return a new event and enter it in the catalogue.

    Raises
    ======

    ValueError
        When the number is taken.
    """
    if number in _CATALOGUE:
        raise ValueError(f'event {number} is defined twice')
    event = Event(number, name, meaning, action)
    _CATALOGUE[number] = event
    return event


def catalogue():
    """Return every event that is defined, by number."""
    return [_CATALOGUE[number] for number in sorted(_CATALOGUE)]
