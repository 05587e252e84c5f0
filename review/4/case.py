"""Requests whose callers have left reach engines over half a second later."""

import asyncio
import os
import sys
import time

from engines import Engine
from hosts import (
    Host,
    Record,
    exit_code,
    read_answer,
    request_bytes,
)
from store import Store

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
LOOPBACK = '127.0.0.1'
REQUESTS = 100
# give_up: share of the clients, and the milliseconds within which they leave.
SHARE = 0.3
LEAVE_SECONDS = 0.3
GAP_SECONDS = 0.1
# GONE: a request reaches an engine over half a second after the close.
LATE_SECONDS = 0.5
# GONE: "more than a few requests".
A_FEW = 5
STAGES = ('tenant-intake', 'assoc-portal', 'invoicing')
CONFIG = {
    'version': 1,
    'routes': [
        {
            'name': 'crew-roster',
            'host': 'crew.example',
            'path_prefix': '/roster/',
            'kind': 'non_idempotent',
            'service': 'dispatch',
            'timeout_ms': 6000,
            'target_latency_ms': 3000,
            'max_attempts': 1,
            'priority': 2,
            'stages': [
                {'service': STAGES[0], 'after': [], 'bytes': 100000},
                {'service': STAGES[1], 'after': [0], 'bytes': 100000},
                {'service': STAGES[2], 'after': [1], 'bytes': 100000},
            ],
        }
    ],
    'services': [
        {'name': 'dispatch'},
        *(
            {
                'name': name,
                'segments': {
                    'slots': 1,
                    'queue': 2,
                    'batch': 12,
                    'call_ms': 240,
                    'item_ms': 17,
                    'headroom_mb': 14,
                    'handle_s': 4,
                    'link_mbps': 10000,
                },
            }
            for name in STAGES
        ),
    ],
    'limits': {
        'header_bytes': 16384,
        'max_body_bytes': 4194304,
        'header_timeout_ms': 3000,
        'idle_timeout_ms': 15000,
    },
}


async def send(host, ident, leaves, record, answers, closes):
    reader, writer = await asyncio.open_connection(*host.front)
    writer.write(
        request_bytes(
            'POST',
            '/roster/today',
            'crew.example',
            ident,
            [
                ('X-Deadline-Ms', '6000'),
                ('X-Segments', '1,1,1'),
                ('X-Segment-Key', f'{ident}aa'),
            ],
            f'roster {ident}'.encode(),
        )
    )
    await writer.drain()
    record(f'sent {ident} to {host.name}')
    if leaves:
        await asyncio.sleep(LEAVE_SECONDS)
        writer.close()
        closes[ident] = time.monotonic()
        record(f'caller of {ident} closes its channel')
        return
    status, _, _, whole = await read_answer(reader)
    answers[ident] = status if whole else 0
    record(f'answered {ident} {status} whole={whole}')
    writer.close()


async def run(folder):
    record = Record(os.path.dirname(os.path.abspath(__file__)))
    store = Store()
    await store.start(LOOPBACK)
    engines = [
        Engine(f'd{number}', 'dispatch', 'erie', record, slots=6, work=0.06)
        for number in range(4)
    ]
    for name in STAGES:
        engines += [
            Engine(f'{name}-{number}', name, 'erie', record, slots=1, work=0.26)
            for number in range(4)
        ]
    for engine in engines:
        await engine.start(LOOPBACK)
        await store.write('servers', engine.ident, engine.entry())
    await store.write('config', 'main', CONFIG)
    hosts = [
        Host(f'front-erie-{number}', 'erie', LOOPBACK, store.address, folder)
        for number in range(2)
    ]
    try:
        for host in hosts:
            await host.start()
        for host in hosts:
            if not await host.wait_ready():
                print('a host did not become ready')
                return 2
        await asyncio.sleep(3)
        answers, closes, work = {}, {}, []
        for number in range(REQUESTS):
            ident = f'{number:016x}'
            leaves = TROUBLE and number % 10 < 10 * SHARE
            work.append(
                asyncio.ensure_future(
                    send(
                        hosts[number % 2], ident, leaves, record, answers, closes
                    )
                )
            )
            await asyncio.sleep(GAP_SECONDS)
        await asyncio.gather(*work, return_exceptions=True)
        await asyncio.sleep(5)
    finally:
        for host in hosts:
            await host.end()
    served = sum(status == 200 for status in answers.values())
    late_runs = sorted(
        {
            ident
            for engine in engines
            for at, ident, _ in engine.runs
            if ident in closes and at - closes[ident] > LATE_SECONDS
        }
    )
    late = sorted(
        {
            ident
            for engine in engines
            for at, ident in engine.arrivals
            if ident in closes and at - closes[ident] > LATE_SECONDS
        }
    )
    record(f'stayed and served {served} of {len(answers)}')
    record(f'left {len(closes)}')
    record(f'left, reached an engine over 0.5 s later {len(late)}')
    record(f'left, run by dispatch over 0.5 s later {len(late_runs)}')
    print(
        f'stayed {len(answers)}, served {served}; left {len(closes)}, reached '
        f'an engine over 0.5 s later {len(late)}, run there {len(late_runs)}'
    )
    if served < 0.8 * len(answers):
        return 2
    return 1 if len(late) > A_FEW else 0


if __name__ == '__main__':
    sys.exit(exit_code(run))
