"""Writes docs/CAPACITY.md from docs/capacity.json.

Explanation
===========

The data file holds the size to design for and what was measured, each value
with the command that gave it. The page is worked out from them and nothing
else, so that it can't drift from the measurements; a test holds the two
together. ``capacity.py --write`` writes the page, without it the page is
printed.
"""

import json
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
DATA = ROOT / 'docs' / 'capacity.json'
PAGE = ROOT / 'docs' / 'CAPACITY.md'

_DAY = 86400
_KB = 1000
_MB = 1000000
_WATCHER = 'configuration watcher (three a domain)'
_HOLDER = 'placement holder (one a domain)'
_READER = 'store reader (one a domain)'

_HEAD = """# Capacity at the size to design for

Written by `make capacity` from `docs/capacity.json`; change the data, not the
page. Sizes: {nodes} nodes, {engines} engines, {requests_s} requests and
{tokens_s} tokens a second, {changes_day} changes of configuration a day,
{domains} failure domains. Membership and polls come from a run of this size in
virtual time on one machine; the rest is worked out from measured slopes.

## Control, for each node

The budget is {cpu} ms of processor time a second (3.1% of a core), {memory} MB
and {bytes} bytes a second.

| role | state | messages | cpu ms/s | bytes/s | memory MB | mechanism |
| --- | --- | --- | --- | --- | --- | --- |
"""


class Row:
    """One role: what it takes of a node."""

    __slots__ = ('bytes_s', 'cpu', 'mechanism', 'memory', 'messages', 'state')

    def __init__(self, state, messages, mechanism, cpu, bytes_s, memory=0):
        self.state = state
        self.messages = messages
        self.mechanism = mechanism
        self.cpu = cpu
        self.bytes_s = bytes_s
        self.memory = memory


def _value(got, name):
    return got[name]['value']


def _nodes(size):
    return size['nodes']


def _line_at(slope, hosts=0, upstreams=0):
    along_hosts = slope.get('per_host', 0) * hosts
    along_upstreams = slope.get('per_upstream', 0) * upstreams
    return slope['at_0'] + along_hosts + along_upstreams


def _membership(size, got):
    nodes = _nodes(size)
    engines = size['engines']
    return Row(
        'records of hosts and upstreams',
        'digests with heartbeats to a bounded set of peers',
        'deterministic neighbours, digests',
        _line_at(got['fleet_cpu_ms_s'], nodes, engines),
        _line_at(got['sent_bytes_s'], nodes),
        _line_at(got['fleet_memory_kb'], nodes, engines) / _KB,
    )


def _polls(size, got):
    polls = _value(got, 'polls_s')
    return Row(
        'last load of own share of upstreams',
        f'{polls:.1f} polls a second',
        'two watchers for each upstream, by rendezvous',
        polls * _value(got, 'poll_cpu_ms'),
        polls * _value(got, 'poll_bytes'),
    )


def _configuration(size, got):
    changes = size['changes_day'] / _DAY
    return Row(
        'one manifest',
        f'{size["changes_day"]} changes a day, as patches between peers',
        'platform watch by three hosts a domain, relay by peers',
        changes * _value(got, 'validate_ms'),
        changes * _line_at(got['change_bytes'], _nodes(size)),
    )


def _watcher(size, got):
    changes = size['changes_day'] / _DAY
    return Row(
        'nothing more',
        'the whole manifest at each change',
        'three watching hosts a domain; others get patches',
        0,
        changes * _value(got, 'manifest_bytes'),
    )


def _claims(size, got):
    rate = size['requests_s'] * size['keyed_share'] / _nodes(size)
    kept = rate * size['claim_window_s']
    return Row(
        f'{kept:.0f} claims of the window, shards spread evenly',
        f'{rate:.2f} claims a second, forwarded and batched',
        'claims log by create-if-absent, group commit, folding',
        rate * _value(got, 'claim_writes') * _value(got, 'store_get_ms'),
        rate * _value(got, 'claim_bytes') * 2,
        kept * _value(got, 'claim_memory_bytes') / _MB,
    )


def _lease(size, got):
    reads = _value(got, 'lease_reads_s')
    return Row(
        'the lease and placement records of the own domain',
        f'{reads} reads a second',
        'lease object with fencing number',
        reads * _value(got, 'store_get_ms'),
        reads * _value(got, 'lease_bytes'),
    )


def _placer(size, got):
    engines = size['engines'] / size['domains']
    looks = engines * _value(got, 'looks_s_per_engine')
    return Row(
        f'what {engines:.0f} engines hold',
        f'{looks:.0f} looks a second',
        'one lease holder a domain; others do none of this',
        looks * _value(got, 'look_cpu_ms'),
        looks * _value(got, 'poll_bytes'),
    )


def _follower(size, got):
    return Row(
        'the registry and the proof, as told',
        '1.6 asks a second to the reader',
        'one reader a domain, asks held while nothing is new',
        _value(got, 'follower_cpu_ms_s') / 2,
        _value(got, 'follower_bytes_s'),
    )


def _reader(size, got):
    followers = _nodes(size) / size['domains'] - 1
    return Row(
        f'what {followers:.0f} followers were told, by numbers',
        f'{1.6 * followers:.0f} answers a second',
        'one reader a domain; it alone calls the store',
        followers * _value(got, 'follower_cpu_ms_s') / 2,
        followers * _value(got, 'follower_bytes_s'),
    )


def _process(size, got):
    return Row(
        'interpreter, libraries, connections',
        'idle at six hosts, their control included',
        'one process',
        _value(got, 'base_cpu_ms_s'),
        0,
        _value(got, 'base_memory_mb'),
    )


ROLES = (
    ('membership', _membership),
    ('load polls', _polls),
    ('configuration', _configuration),
    (_WATCHER, _watcher),
    ('claims', _claims),
    ('lease', _lease),
    (_HOLDER, _placer),
    ('store follower', _follower),
    (_READER, _reader),
    ('process', _process),
)


def _row_line(name, row):
    return (
        f'| {name} | {row.state} | {row.messages} | {row.cpu:.2f} | '
        f'{row.bytes_s:.0f} | {row.memory:.1f} | {row.mechanism} |'
    )


def _verdict(name, total, budget):
    word = 'inside' if total <= budget else '**over**'
    return f'- {name}: {total:.1f} of {budget:.0f}, {word} the budget.'


def _totals(title, rows, budget):
    cpu = sum(row.cpu for row in rows)
    bytes_s = sum(row.bytes_s for row in rows)
    memory = sum(row.memory for row in rows)
    return [
        '',
        title,
        '',
        _verdict('processor time, ms/s', cpu, budget['cpu_ms_s']),
        _verdict('bytes a second', bytes_s, budget['bytes_s']),
        _verdict('memory, MB', memory, budget['memory_mb']),
    ]


def _platform(size, got):
    claims = size['requests_s'] * size['keyed_share']
    writes = claims * _value(got, 'claim_writes')
    reads = _value(got, 'lease_reads_s') * _nodes(size)
    readers = _value(got, 'reader_calls_s') * size['domains']
    return [
        '',
        '## The platform, for the whole fleet',
        '',
        f'- configuration: {_value(got, "store_calls_s")} calls a second, '
        'waiting watches included;',
        f'- claims: {writes:.0f} writes a second and, when folded, about as '
        'many deletes;',
        f'- leases and placement records: {reads:.0f} reads a second;',
        f'- forwarding hosts: {readers:.0f} calls a second, by one reader a '
        'domain.',
        '',
        'The object API takes several hundred writes and about two thousand '
        'reads.',
    ]


def _requests(size, got):
    requests = size['requests_s'] / _nodes(size)
    tokens = size['tokens_s'] / _nodes(size)
    calls = requests * size['stages'] * _value(got, 'request_cpu_ms')
    chunks = tokens * _value(got, 'chunk_cpu_ms')
    groups = size['requests_s'] * size['stages']
    cost = _value(got, 'group_cpu_ms')
    return [
        '',
        '## Requests, for each node',
        '',
        f'- {requests:.1f} requests a second of {size["stages"]} stages: '
        f'{calls:.0f} ms of processor time a second;',
        f'- {tokens:.0f} tokens a second, one chunk each: {chunks:.0f} ms of '
        'processor time a second;',
        f'- {groups:.0f} groups of stage work a second in the whole fleet, '
        f'{cost} ms each at asker and owner together: one core bears '
        f'{_KB / cost:.0f} groups a second as their owner.',
    ]


def _sweep(sweep):
    """Return what one day shows as the fleet grows, and where it leads."""
    sizes = ' | '.join(f'{one} hosts' for one in sweep['hosts'])
    lines = [
        '',
        '## Forwarding hosts, as the fleet grows',
        '',
        sweep['by'],
        '',
        f'| | {sizes} | power | at {sweep["target"]} |',
        f'| --- |{" --- |" * (len(sweep["hosts"]) + 2)}',
    ]
    for name, row in sweep['rows'].items():
        seen = ' | '.join(str(one) for one in row['seen'])
        lines.append(
            f'| {name} | {seen} | {row["power"]} | {row["leads_to"]} |'
        )
    return lines


def _shortcomings(size, got):
    rate = size['requests_s'] * size['keyed_share'] * size['claim_window_s']
    few = rate * _value(got, 'claim_memory_bytes') / _MB / 32
    return [
        '',
        '## Where it falls short, or was not measured',
        '',
        f'- Claims: with 32 shards, 32 owners would hold {few:.0f} MB each; '
        'the row above needs at least as many shards as nodes, or a shorter '
        'window.',
        '- Membership and polls were measured at this size in virtual time, '
        'all else is worked out from slopes.',
        '- A stage service has one owner; at this size one service gets more '
        'groups than a core bears, and groups of upstreams by domain are not '
        'built.',
        '- A reader of 42 hosts answers more bytes than its budget. Lists that '
        'followers keep for themselves would take most of them away, a second '
        'tier of readers the rest; neither is built.',
        "- Engines only are counted as upstreams; each stage's server adds "
        'the same polls.',
        '- First token in 0.53 s and 77 ms between tokens were not measured '
        'at this size.',
        '- The manifest of 1,400 teams is decoded at each change; its memory '
        'was not measured.',
    ]


def _sources(got):
    lines = ['', '## What was measured', '', '| value | by |', '| --- | --- |']
    for name in sorted(got):
        entry = dict(got[name])
        source = entry.pop('by')
        shown = ', '.join(f'{key} {number}' for key, number in entry.items())
        lines.append(f'| `{name}`: {shown} | {source} |')
    return lines


def _head(size, budget):
    return _HEAD.format(
        cpu=budget['cpu_ms_s'],
        memory=budget['memory_mb'],
        bytes=budget['bytes_s'],
        **size,
    )


def _control(size, got, budget):
    rows = [(name, row(size, got)) for name, row in ROLES]
    lines = [_row_line(name, row) for name, row in rows]
    special = (_HOLDER, _WATCHER, _READER)
    rest = [row for name, row in rows if name not in special]
    holder = rest + [row for name, row in rows if name == _HOLDER]
    watcher = rest + [row for name, row in rows if name == _WATCHER]
    lines.extend(_totals('Most nodes:', rest, budget))
    reader = rest + [row for name, row in rows if name == _READER]
    lines.extend(_totals('A watcher of the configuration:', watcher, budget))
    lines.extend(_totals('A reader of the store:', reader, budget))
    lines.extend(_totals('The holder of a lease:', holder, budget))
    return lines


def page_text():
    """Return the page's text."""
    document = json.loads(DATA.read_text())
    size = document['size']
    got = document['measured']
    budget = document['budget']
    lines = _control(size, got, budget)
    for part in (_platform, _requests, _shortcomings):
        lines.extend(part(size, got))
    lines.extend(_sweep(document['sweep']))
    lines.extend(_sources(got))
    body = '\n'.join(lines)
    return f'{_head(size, budget)}{body}\n'


if __name__ == '__main__':
    if '--write' in sys.argv:
        PAGE.write_text(page_text())
    else:
        sys.stdout.write(page_text())
