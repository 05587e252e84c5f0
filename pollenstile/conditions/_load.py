"""Load reports in the answers of upstreams."""

from dataclasses import dataclass

_PERCENT = 100
_MIN_SLOWDOWN_PERCENT = 1
_MAX_SLOWDOWN_PERCENT = 10_000
# Maximum number of digits of a figure; no upstream has a billion requests.
_MAX_DIGITS = 9
# Numbers of figures without and with the slowdown.
_LOAD_FIGURES = 3
_ALL_FIGURES = 4


@dataclass(slots=True, frozen=True)
class LoadReport:
    """Load of an upstream as its answer states it.

    Parameters
    ==========

    running, queued : int
        Requests that run and that wait.
    slots : int
        Requests that run at the same time at most.
    slowdown : float or None
        How long work currently takes on its machine, as a multiple of the
        usual time; None if the report does not state it.
    """

    running: int
    queued: int
    slots: int
    slowdown: float | None = None


def parse_load(text):
    """Return the :class:`LoadReport` of a header, or None if unreadable.

    Explanation
    ===========

    The text has three or four integers, separated by commas: requests running,
    requests waiting, slots, and optionally the time that work takes, in percent
    of the usual time.

    Examples
    ========

    >>> from pollenstile.conditions import parse_load
    >>> parse_load('3, 0, 8')
    LoadReport(running=3, queued=0, slots=8, slowdown=None)
    >>> parse_load('3,0,8,250').slowdown
    2.5
    >>> parse_load('3,0,8,0')
    >>> parse_load('3,0,8,fast')
    """
    figures = [_figure(part.strip()) for part in text.split(',')]
    if None in figures or len(figures) not in {_LOAD_FIGURES, _ALL_FIGURES}:
        return None
    if len(figures) == _LOAD_FIGURES:
        return LoadReport(*figures)
    percent = figures.pop()
    if not _MIN_SLOWDOWN_PERCENT <= percent <= _MAX_SLOWDOWN_PERCENT:
        return None
    return LoadReport(*figures, percent / _PERCENT)


def _figure(text):
    """Return the integer that a text states, or None."""
    # Other scripts' digits pass ``isdigit``, and ``int`` raises for some.
    if not (text.isascii() and text.isdigit()) or len(text) > _MAX_DIGITS:
        return None
    return int(text)
