"""Builders of fleets in virtual time."""

from twisted.internet.defer import Deferred

from pollenstile.bench.fleetworld import (
    changed_text,
    fleet_manifest,
    started_world,
)
from pollenstile.fleet import HOST, Record, apply_manifest, by_domain
from pollenstile.peer import neighbours
from pollenstile.platform import make_pause

DOMAINS = 'abcdefgh'


def started_fleet(hosts, domains, upstreams, seed=1):
    """Return a started fleet of hosts named by domain and number."""
    manifest = fleet_manifest(DOMAINS[:domains], upstreams)
    return started_world(manifest, hosts, seed)


def next_text(world, name):
    """Return the text of the fleet's manifest under another name."""
    return changed_text(world.manifest, name=name)


def applying(world, name, reviewed, apply_id, settled=False):
    """Apply a changed manifest; return the list that gets the outcome."""
    told = []
    pause = make_pause(world.clock, world.random, 0.2, 2.0)
    call = apply_manifest(
        world.store,
        next_text(world, name),
        reviewed,
        apply_id,
        pause,
    )
    Deferred.fromCoroutine(call).addBoth(told.append)
    return told


def link_graph(hosts, domains, without=None, prefix='h'):
    """Return the links of a fleet, both ways, from the choice of each host."""
    records = []
    for number in range(hosts):
        name = f'{prefix}{number}'
        if name != without:
            domain = DOMAINS[number % domains]
            records.append(Record(HOST, name, domain=domain))
    fleet = by_domain(records)
    links = {record.name: set() for record in records}
    for record in records:
        for other in neighbours(record.name, record.domain, fleet):
            links[record.name].add(other)
            links[other].add(record.name)
    return links


def is_connected(links):
    """Return whether every host can be reached from every other."""
    waiting = [min(links)]
    seen = set(waiting)
    while waiting:
        for other in links[waiting.pop()] - seen:
            seen.add(other)
            waiting.append(other)
    return len(seen) == len(links)
