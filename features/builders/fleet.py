"""Builders of fleets of entry hosts in virtual time."""

from twisted.internet.defer import Deferred

from pollenstile.bench.fleetworld import (
    changed_text,
    fleet_manifest,
    start_world,
)
from pollenstile.fleet import HOST, Record, apply_manifest, by_domain
from pollenstile.peer import neighbours
from pollenstile.platform import make_pause

DOMAINS = 'abcdefgh'


def started_fleet(hosts, domains, upstreams, seed=1):
    """Return a started fleet of hosts named by domain and number."""
    manifest = fleet_manifest(DOMAINS[:domains], upstreams)
    return start_world(manifest, hosts, seed)


def next_text(world, name):
    """Return the text of the fleet's manifest with another name."""
    return changed_text(world.manifest, name=name)


def start_apply(world, name, reviewed, apply_id, settled=False):
    """Start to apply a changed manifest; return a list for its outcome."""
    outcomes = []
    pause = make_pause(world.clock, world.random, 0.2, 2.0)
    call = apply_manifest(
        world.store,
        next_text(world, name),
        reviewed,
        apply_id,
        pause,
    )
    Deferred.fromCoroutine(call).addBoth(outcomes.append)
    return outcomes


def link_graph(hosts, domains, without=None, prefix='h'):
    """Return the links of a fleet, in both directions, by host."""
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
    """Return whether every host can be reached from every other one."""
    unvisited = [min(links)]
    reached = set(unvisited)
    while unvisited:
        for other in links[unvisited.pop()] - reached:
            reached.add(other)
            unvisited.append(other)
    return len(reached) == len(links)
