"""Sends to upstreams that fall over if they turn too many requests away.

Explanation
===========

Hosts don't see each other's sends, and a load report is old when it arrives. So
the places of a brittle upstream are divided among the hosts, which compute the
same shares from the same lists. Sends beyond a share are made only where all
hosts together could make them without more being turned away than the upstream
bears: within a share of these requests, or of the places that its last report
left free.
"""

from collections import deque
from dataclasses import dataclass

from pollenstile.forward._sendwait import SendWait
from pollenstile.ops.rendezvous import rendezvous_weight
from pollenstile.permission import events

BRITTLE_REASON = 'brittle'
# Time over which an upstream counts the requests that it turns away.
_WINDOW_SECONDS = 1.0
# Age up to which a load report shows free places.
_REPORT_SECONDS = 0.5
# Time after which a waiting request looks for a free place again in any case.
_RECHECK_SECONDS = 0.25
# Assumed time until an answer begins, for an upstream without measurements.
_DEFAULT_ANSWER_SECONDS = 0.2
_MS = 1000


@dataclass(slots=True, frozen=True)
class _Shares:
    """Computed shares, and what they were computed from."""

    slots: dict
    peers: dict | None
    by_name: dict

    def holds_for(self, slots, peers):
        """Return whether the shares are those of upstreams and hosts."""
        return peers is self.peers and slots == self.slots


def divide_places(slots, host, hosts):
    """Return a host's places by incarnation.

    Explanation
    ===========

    The places are dealt to the hosts in turn, so that each has as many as any
    other, but for one. Where there are more hosts than places, a host without
    any may have one request in flight, at the incarnation that it ranks first.

    Parameters
    ==========

    slots : dict
        Numbers of places by incarnation.
    host : str
        The host.
    hosts : list of str
        All hosts.

    Examples
    ========

    >>> from pollenstile.forward._brittle import divide_places
    >>> hosts = ['a', 'b', 'c']
    >>> [divide_places({'i': 4}, host, hosts)['i'] for host in hosts]
    [2, 1, 1]
    >>> divide_places({'i': 2, 'j': 2}, 'a', hosts)
    {'i': 1, 'j': 1}
    >>> [divide_places({'i': 1}, host, hosts)['i'] for host in hosts]
    [1, 1, 1]
    """
    position = sorted(hosts).index(host)
    places = {}
    dealt = 0
    for name, count in sorted(slots.items()):
        # The first of these places falls to the host after the last one.
        offset = (position - dealt) % len(hosts)
        places[name] = max(0, (count - offset + len(hosts) - 1) // len(hosts))
        dealt += count
    if places and not any(places.values()):
        first = max(places, key=lambda name: rendezvous_weight(host, name))
        places[first] = 1
    return places


class BrittleShares:
    """This host's share of the places of brittle upstreams.

    Parameters
    ==========

    clock : IReactorTime
        Provides the time.
    registry : Registry
        Lists the upstreams of a service.
    services : BrittleServices
        The services whose upstreams are brittle.
    ranking : AllocatorRanking
        Name of this host, and the other hosts.

    Attributes
    ==========

    risky_sends : dict
        Times of recent sends beyond the share, by incarnation.
    """

    __slots__ = (
        'clock',
        'computed',
        'ranking',
        'registry',
        'risky_sends',
        'services',
    )

    def __init__(self, clock, registry, services, ranking):
        self.clock = clock
        self.registry = registry
        self.computed = {}
        self.services = services
        self.ranking = ranking
        self.risky_sends = {}

    def may_send(self, service, view):
        """Return whether a request may be sent to an upstream of a service."""
        limit = self.services.limit(service)
        if limit is None or self._is_within_share(service, view):
            return True
        return self._is_bearable(view, limit) or self._has_room(view)

    def note_sent(self, service, view):
        """Record a send, which :meth:`may_send` has permitted before."""
        limit = self.services.limit(service)
        if limit is None or self._is_within_share(service, view):
            return
        if not self._has_room(view):
            sends = self.risky_sends.setdefault(view.incarnation, deque())
            sends.append(self.clock.seconds())

    def is_brittle(self, service):
        """Return whether the upstreams of a service are brittle."""
        return self.services.limit(service) is not None

    def places(self, service):
        """Return how many requests this host may have in flight there."""
        return sum(self._shares(service).values())

    def _is_within_share(self, service, view):
        return view.in_flight < self._shares(service).get(view.incarnation, 0)

    def _shares(self, service):
        """Return this host's places by incarnation."""
        views = self.registry.usable(service)
        slots = {view.incarnation: view.slots for view in views}
        known = self.computed.get(service)
        if known is None or not known.holds_for(slots, self.ranking.peers):
            shares = divide_places(slots, self.ranking.host, self._hosts())
            known = _Shares(slots, self.ranking.peers, shares)
            self.computed[service] = known
        return known.by_name

    def _is_bearable(self, view, limit):
        sends = self.risky_sends.get(view.incarnation, ())
        oldest = self.clock.seconds() - _WINDOW_SECONDS
        while sends and sends[0] < oldest:
            sends.popleft()
        return len(sends) < limit // len(self._hosts())

    def _has_room(self, view):
        if self.clock.seconds() - view.load_at > _REPORT_SECONDS:
            return False
        free = view.slots - view.running - view.queued
        sent_since = view.in_flight - view.in_flight_at_report
        return sent_since < free // len(self._hosts())

    def _hosts(self):
        return [self.ranking.host, *(self.ranking.peers or ())]


def _log_held_back(core, exchange, held_back, choice):
    core.log(
        events.BRITTLE_HELD_BACK,
        request=exchange.ident,
        service=exchange.service,
        peer=held_back.view.ident,
        flying=held_back.view.in_flight,
        choice=choice,
        wait_ms=int(held_back.wait * _MS),
    )


def brittle_wait(core, exchange, views):
    """Return the :class:`SendWait` of a request that no view has room for.

    Parameters
    ==========

    views : list of UpstreamView
        The upstreams that it could go to; not empty.
    """
    places = core.brittle.places(exchange.service)
    ahead = core.tokens.ahead(exchange)
    view = min(views, key=lambda candidate: candidate.in_flight)
    seconds = view.seconds or _DEFAULT_ANSWER_SECONDS
    wait = seconds * (ahead + 1) / max(1, places)
    return SendWait(
        view,
        BRITTLE_REASON,
        wait,
        _log_held_back,
        # Each place lets one request go on.
        takes_turns=True,
        recheck_seconds=_RECHECK_SECONDS,
    )
