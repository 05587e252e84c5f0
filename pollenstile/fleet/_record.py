"""What is known of one host or upstream, and how two such views merge.

Explanation
===========

Views meet in any order, late and more than once, so merging is commutative,
associative and idempotent: all hosts end with the same record whatever the
order of the news. Each part of a record only ever rises:

- the incarnation, by its order, then by its text;
- within an incarnation, *leaving* goes from false to true and never back;
- the number of each witness of a failure: odd while it can't reach the host
  or upstream, even when it can again, so that two witnesses who change their
  minds at one instant don't bring each other back;
- the host list's view, by the list's own incarnation.
"""

from collections import defaultdict
from dataclasses import dataclass, replace

HOST = 1
UPSTREAM = 2
MOST_VIEWS = 16


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
    views : tuple of tuple
        Host and number of each that ever could not reach it, sorted.
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
    views: tuple = ()
    domain: str = ''
    address: str = ''
    listed: int = 0
    listed_leaving: bool = False

    @property
    def witnesses(self):
        """The hosts that can't reach it now, sorted."""
        return tuple(host for host, number in self.views if number % 2)


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
    # Domain and address go with the incarnation and are the same in both,
    # unless a peer is faulty; then too all hosts choose the same.
    base = max(one, other, key=_details)
    views = dict(one.views)
    for host, number in other.views:
        views[host] = max(number, views.get(host, 0))
    return replace(
        base,
        leaving=one.leaving or other.leaving,
        views=_kept(views),
    )


def _details(record):
    return record.domain, record.address


def _kept(views):
    """Return views in order; of very many the ones that changed most."""
    ordered = sorted(views.items(), key=_number, reverse=True)
    return tuple(sorted(ordered[:MOST_VIEWS]))


def _number(view):
    return view[1], view[0]


def _changed(record, hosts):
    views = dict(record.views)
    for host in hosts:
        views[host] = views.get(host, 0) + 1
    return replace(record, views=_kept(views))


def with_witness(record, host):
    """Return the record with one more host that can't reach it."""
    return record if host in record.witnesses else _changed(record, [host])


def with_witnesses_only(record, hosts):
    """Return the record without witnesses that are not among ``hosts``."""
    gone = [name for name in record.witnesses if name not in hosts]
    return _changed(record, gone) if gone else record


def by_domain(records):
    """Return names of hosts by domain, from their records.

    Examples
    ========

    >>> from pollenstile.fleet import HOST, Record, by_domain
    >>> by_domain([Record(HOST, 'a', domain='clark')])
    {'clark': ['a']}
    """
    domains = defaultdict(list)
    for record in records:
        domains[record.domain].append(record.name)
    return dict(domains)
