"""What is known of one host or upstream, and how two such views merge.

Explanation
===========

Views meet in any order, late and more than once, so merging is commutative,
associative and idempotent: all hosts end with the same record whatever the
order of the news. Each part of a record only ever rises:

- the incarnation, by its order, then by its text;
- within an incarnation, *leaving* goes from false to true and never back;
- the witnesses of a failure, by the number of the last change;
- the host list's view, by the list's own incarnation.
"""

from dataclasses import dataclass, replace

HOST = 1
UPSTREAM = 2
MOST_WITNESSES = 4


@dataclass(slots=True, frozen=True)
class Record:
    """One host or upstream.

    Parameters
    ==========

    kind : int
        ``HOST`` or ``UPSTREAM``.
    name : str
        Unique within the kind.
    order : int
        Rises with each incarnation.
    incarnation : str
        As the process states it; empty before it was seen.
    leaving : bool
        Whether this incarnation gets no new work.
    change : int
        Rises whenever a witness is added or removed.
    witnesses : tuple of str
        Hosts that can't reach it, sorted.
    domain, address : str
        Of hosts.
    listed : int
        Its incarnation in the platform's host list; 0 when not listed.
    listed_leaving : bool
        Whether the list says of that incarnation that it is leaving.
    """

    kind: int
    name: str
    order: int = 0
    incarnation: str = ''
    leaving: bool = False
    change: int = 0
    witnesses: tuple = ()
    domain: str = ''
    address: str = ''
    listed: int = 0
    listed_leaving: bool = False


def merged(one, other):
    """Return the record that two views of the same name make.

    Examples
    ========

    >>> from pollenstile.fleet import UPSTREAM, Record, merged
    >>> new = Record(UPSTREAM, 'e1', order=2, incarnation='b')
    >>> old = Record(UPSTREAM, 'e1', order=1, incarnation='a', leaving=True)
    >>> merged(old, new) == merged(new, old) == new
    True
    >>> left = Record(UPSTREAM, 'e1', order=2, incarnation='b', leaving=True)
    >>> merged(new, left).leaving, merged(left, new).leaving
    (True, True)
    """
    base = _newest(one, other)
    listed = max(one.listed, other.listed)
    return replace(
        base,
        listed=listed,
        listed_leaving=_listed_leaving(one, listed)
        or _listed_leaving(other, listed),
    )


def _listed_leaving(record, listed):
    return record.listed == listed and record.listed_leaving


def _place(record):
    return record.order, record.incarnation


def _newest(one, other):
    if _place(one) != _place(other):
        return max(one, other, key=_place)
    newer = max(one, other, key=_last_change)
    witnesses = newer.witnesses
    if one.change == other.change:
        both = sorted({*one.witnesses, *other.witnesses})
        witnesses = tuple(both[:MOST_WITNESSES])
    return replace(
        newer,
        leaving=one.leaving or other.leaving,
        witnesses=witnesses,
    )


def _last_change(record):
    # Domain and address go with the incarnation and are the same in both,
    # unless a peer is faulty; then too all hosts choose the same.
    return record.change, record.domain, record.address


def with_witness(record, host):
    """Return the record with one more host that can't reach it."""
    if host in record.witnesses:
        return record
    witnesses = sorted([host, *record.witnesses])[:MOST_WITNESSES]
    if host not in witnesses:
        return record
    return replace(
        record,
        change=record.change + 1,
        witnesses=tuple(witnesses),
    )


def with_witnesses_only(record, hosts):
    """Return the record without witnesses that are not among ``hosts``."""
    kept = tuple(name for name in record.witnesses if name in hosts)
    if kept == record.witnesses:
        return record
    return replace(record, change=record.change + 1, witnesses=kept)
