"""Membership records of hosts and upstreams, and their merge.

Explanation
===========

Records arrive in any order, late and more than once, so the merge is
commutative, associative and idempotent: all hosts end with the same record
whatever the order of the updates. Each part of a record is monotonic:

- the incarnation, ordered by its ``order``, then by its text;
- within an incarnation, *leaving* goes from false to true and never back;
- the counter of each witness of a failure: odd while the witness can't reach
  the host or upstream, even when it can again, so that two witnesses that
  withdraw at the same time don't restore each other's report;
- the state in the host list, ordered by the list's own incarnation.
"""

from collections import defaultdict
from dataclasses import dataclass, replace

HOST = 1
UPSTREAM = 2
# Maximum number of witness counters in a record.
MAX_VIEWS = 16


@dataclass(slots=True, frozen=True)
class Record:
    """Membership record of one host or upstream.

    Parameters
    ==========

    kind : int
        ``HOST`` or ``UPSTREAM``.
    name : str
        Unique within the kind.
    order : int
        Number that rises with each incarnation.
    incarnation : str
        Incarnation reported by the process; empty while none was seen.
    leaving : bool
        Whether this incarnation gets no new work.
    views : tuple of tuple
        Name and counter of each host that ever failed to reach this one,
        sorted.
    domain, address : str
        Domain and address; of hosts only.
    listed : int
        Incarnation in the platform's host list; 0 when not listed.
    listed_leaving : bool
        Whether the host list shows that incarnation as leaving.
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
        """Hosts that can't reach this host or upstream now, sorted."""
        return tuple(host for host, number in self.views if number % 2)


def merged(one, other):
    """Return the merge of two records of the same name.

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


def _incarnation_key(record):
    return record.order, record.incarnation


def _newest(one, other):
    if _incarnation_key(one) != _incarnation_key(other):
        return max(one, other, key=_incarnation_key)
    # Domain and address belong to the incarnation and are the same in both
    # records unless a peer is faulty; the choice is then still deterministic.
    base = max(one, other, key=_address_key)
    views = dict(one.views)
    for host, number in other.views:
        views[host] = max(number, views.get(host, 0))
    return replace(
        base,
        leaving=one.leaving or other.leaving,
        views=_limit_views(views),
    )


def _address_key(record):
    return record.domain, record.address


def _limit_views(views):
    """Return the views in order, limited to those that changed most often."""
    ordered = sorted(views.items(), key=_view_key, reverse=True)
    return tuple(sorted(ordered[:MAX_VIEWS]))


def _view_key(view):
    return view[1], view[0]


def _advance_views(record, hosts):
    views = dict(record.views)
    for host in hosts:
        views[host] = views.get(host, 0) + 1
    return replace(record, views=_limit_views(views))


def with_witness(record, host):
    """Return the record with one more host that can't reach it."""
    return (
        record if host in record.witnesses else _advance_views(record, [host])
    )


def with_witnesses_only(record, hosts):
    """Return the record without witnesses that are not among ``hosts``."""
    gone = [name for name in record.witnesses if name not in hosts]
    return _advance_views(record, gone) if gone else record


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
