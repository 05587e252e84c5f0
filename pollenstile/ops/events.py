"""Catalogue of numbered log events.

Explanation
===========

Each package defines its events in its ``events`` module, in its own range:
1000 pipeline and routing, 2000 limits, 3000 claims, 4000 fleet, 5000
placement, 6000 peer, 7000 platform, 8000 entry and ops, 9000 invariants.
A test checks that ``docs/EVENTS.md`` agrees with :func:`catalogue`.
"""

from dataclasses import dataclass

_CATALOGUE = {}


@dataclass(slots=True, frozen=True)
class Event:
    """Kind of log line.

    Parameters
    ==========

    number : int
        Unique; never reused for another event.
    name : str
        Short and stable, for searches.
    meaning : str
        What happened, for operators.
    action : str
        What operators should do; empty when no action is needed.
    """

    number: int
    name: str
    meaning: str
    action: str = ''


def define(number, name, meaning, action=''):
    """Return a new event and add it to the catalogue.

    Raises
    ======

    ValueError
        When another event has the number.
    """
    if number in _CATALOGUE:
        raise ValueError(f'event {number} is defined twice')
    event = Event(number, name, meaning, action)
    _CATALOGUE[number] = event
    return event


def catalogue():
    """Return all defined events, ordered by number."""
    return [_CATALOGUE[number] for number in sorted(_CATALOGUE)]
