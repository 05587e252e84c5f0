"""Values with which upstreams state that they leave or want a rest."""

import math
from datetime import datetime
from email.utils import parsedate_to_datetime

# Maximum seconds for which one answer keeps a host from an upstream. An answer
# with a wrong time would otherwise take the upstream out of service for good.
MAX_REST_SECONDS = 300.0
_LEAVING_VALUES = {'0': False, '1': True}


def parse_leaving(values):
    """Return whether the values of an answer's header state leaving.

    Parameters
    ==========

    values : sequence of str
        Values of the header. If they differ, the upstream counts as leaving.

    Returns
    =======

    bool or None
        None when no value is readable.

    Examples
    ========

    >>> from pollenstile.statements import parse_leaving
    >>> parse_leaving([]), parse_leaving(['1']), parse_leaving(['0', ' 1 '])
    (False, True, True)
    >>> parse_leaving(['true']), parse_leaving([''])
    (None, None)
    """
    if not values:
        return False
    known = [_LEAVING_VALUES.get(text.strip()) for text in values]
    if True in known:
        return True
    return False if False in known else None


def parse_count(values):
    """Return the smallest count in the values of an answer's header.

    Returns
    =======

    int or None
        None when no value is readable.

    Examples
    ========

    >>> from pollenstile.statements import parse_count
    >>> parse_count(['3']), parse_count(['4', ' 2']), parse_count(['0'])
    (3, 2, 0)
    >>> parse_count(['-1']), parse_count(['many'])
    (None, None)
    """
    counts = [
        int(text)
        for text in values
        if text.strip().isascii() and text.strip().isdigit()
    ]
    return min(counts, default=None)


def parse_rest(values, date=''):
    """Return the seconds for which an answer asks to send nothing.

    Explanation
    ===========

    Of several values the longest counts. A value is a number of seconds,
    possibly with a fraction, or a date, which is compared with the date of the
    same answer: the clocks of hosts and upstreams differ. Negative and infinite
    numbers and other text are not readable.

    Parameters
    ==========

    values : sequence of str
        Values of the header.
    date : str
        Date of the answer; empty if it has none.

    Returns
    =======

    float or None
        At most ``MAX_REST_SECONDS``; 0 without a header, None when no value is
        readable.

    References
    ==========

    RFC 9110, section 10.2.3, which has whole seconds and dates.

    Examples
    ========

    >>> from pollenstile.statements import parse_rest
    >>> parse_rest([]), parse_rest(['0']), parse_rest(['1.5', '3, 2'])
    (0.0, 0.0, 3.0)
    >>> parse_rest(['1e9']), parse_rest(['-1']), parse_rest(['soon'])
    (300.0, None, None)
    >>> now = 'Wed, 21 Oct 2026 07:28:00 GMT'
    >>> parse_rest(['Wed, 21 Oct 2026 07:28:04 GMT'], now)
    4.0
    >>> parse_rest([now]) is None
    True
    """
    if not values:
        return 0.0
    asked = [_seconds_from(text, date) for text in values]
    readable = [seconds for seconds in asked if seconds is not None]
    if not readable:
        return None
    return min(MAX_REST_SECONDS, max(readable))


def _seconds_from(text, date):
    parts = [_readable_seconds(part) for part in text.split(',')]
    numbers = [seconds for seconds in parts if seconds is not None]
    if numbers:
        return max(numbers)
    return _seconds_between(_readable_date(date), _readable_date(text))


def _readable_seconds(text):
    if '_' in text or not text.isascii():
        # float() also reads separators and other digits.
        return None
    try:
        seconds = float(text)
    except ValueError:
        return None
    return seconds if math.isfinite(seconds) and seconds >= 0 else None


def _readable_date(text) -> datetime | None:
    try:
        return parsedate_to_datetime(text)
    except (ValueError, OverflowError):
        return None


def _seconds_between(first, last):
    """Return the seconds from one date to a later one, or None."""
    if first is None or last is None:
        return None
    if (first.tzinfo is None) != (last.tzinfo is None):
        return None
    return max(0.0, (last - first).total_seconds())
