"""Hosts that start beside an entry of another writer never serve again.

Another writer puts an entry of kind ``servers`` whose ``slots`` are lists in
lists. All processes of the system are killed and started again. The store
removes the entry after three heartbeats of silence.
"""

import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins-2'))

from lab import NET, call, main, now, plain, request  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
DEPTH = 1100
SLOTS = b'[' * DEPTH + b']' * DEPTH
SILENCE_SECONDS = 3.6
RECOVERY_SECONDS = 12.0
SERVED_SHARE = 0.25
PER_SECOND = 10


async def one(lab, host, name, statuses):
    try:
        reply = await call(host.front, request('GET', '/find/x', name), 4)
        status = reply.status
    except (OSError, asyncio.TimeoutError):
        status = 0
    statuses[status] = statuses.get(status, 0) + 1


async def load(lab, label, seconds):
    """Return the answers to requests of some seconds, by status."""
    statuses = {}
    tasks = []
    began = now()
    number = 0
    while now() - began < seconds:
        host = lab.hosts[number % len(lab.hosts)]
        tasks.append(asyncio.ensure_future(one(lab, host, f'{label}-{number}', statuses)))
        number += 1
        await asyncio.sleep(1 / PER_SECOND)
    await asyncio.gather(*tasks)
    lab.note(f'{label}: answers by status {statuses}')
    return statuses


def share(statuses):
    return statuses.get(200, 0) / max(1, sum(statuses.values()))


async def forget(lab):
    await asyncio.sleep(SILENCE_SECONDS)
    lab.store.delete('servers', 'w-77')
    lab.note('the store has removed servers/w-77')


async def case(lab):
    await lab.begin(hosts=2, engines=3)
    before = await load(lab, 'before', 3)
    removal = None
    if TROUBLE:
        lab.store.raw[b'@slots'] = SLOTS
        lab.store.put('servers', 'w-77', {'service': 'plain', 'address': f'{NET}.3.99:9', 'zone': 'z1', 'slots': '@slots', 'state': 'ready', 'seq': 1})
        lab.note('another writer has put servers/w-77')
        removal = asyncio.ensure_future(forget(lab))
    await asyncio.sleep(0.5)
    for host in lab.hosts:
        host.process.kill()
        await host.process.wait()
        lab.note(f'{host.name} is killed')
    await asyncio.sleep(0.3)
    for host in lab.hosts:
        await host.start()
    back_at = now()
    if removal is not None:
        await removal
    await asyncio.sleep(max(0, back_at + RECOVERY_SECONDS - now()))
    after = await load(lab, f'later than {RECOVERY_SECONDS:.0f} s after the machines are back', 30)
    ready = [await host.is_ready() for host in lab.hosts]
    lab.note(f'ready: {ready}; calls to the store so far {lab.store.calls}; served before {share(before):.2f}, after {share(after):.2f} (the rule asks for {SERVED_SHARE})')
    if share(before) < SERVED_SHARE:
        return 2
    return 1 if share(after) < SERVED_SHARE else 0


main(case, HERE)
