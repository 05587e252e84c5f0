"""Engines that are replaced end with their last answer, which is thrown away.

Answers have no length and end with their channel. Twice, 0.45 of the engines
of a service are replaced one after the other: each states that it is draining,
serves on for longer than ``drain_ms``, and exits as its last answer has ended.
"""

import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins-2'))

from lab import Caller, main, now, plain, read_body, request  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
ENGINES = 9
DRAIN_SECONDS = 2.0
EVERY = 1.0
SHARE = 0.45
RELEASES = 2
PAUSE = 12.0
EVENTS = 40
EVENT_SECONDS = 0.1
CALLERS = 27
SECONDS = 40
PROMPT = [('X-Model', 'm'), ('X-Token-Usage', '800,300'), ('X-Prompt-Prefix', '5c1e07a2:200,91bd3f06:600')]


def events_of(attempt):
    return [f'id: {number}\ndata: {number} of {attempt}\n\n'.encode() for number in range(1, EVENTS + 1)]


class State:
    stopped = False
    running = {}
    whole = set()
    leaves = set()
    served = 0
    cut = []


async def stream(engine, head, reader, writer):
    await read_body(reader, head)
    attempt = head.get('x-attempt-id')
    engine.lab.runs.setdefault(attempt, []).append((now(), engine.ident))
    State.running[engine.ident] = State.running.get(engine.ident, 0) + 1
    try:
        writer.write(engine.answer(attempt, b'', length=False, fields=[('Content-Type', 'text/event-stream'), ('Connection', 'close')]))
        for event in events_of(attempt):
            writer.write(event)
            await writer.drain()
            await asyncio.sleep(EVENT_SECONDS)
        State.whole.add(attempt)
    finally:
        State.running[engine.ident] -= 1
    writer.close()
    exit_if_done(engine)
    return False


def exit_if_done(engine):
    """End the engine if it leaves and its last answer has ended."""
    if engine.ident not in State.leaves or State.running.get(engine.ident):
        return
    State.leaves.discard(engine.ident)
    engine.server.close()
    for writer in list(engine.writers):
        writer.close()
    engine.lab.store.delete('servers', engine.ident)
    engine.lab.note(f'{engine.ident} has ended its last answer and exits')


async def replace(lab, engine):
    new = await lab.engine('model', stream, slots=64)
    engine.state = 'draining'
    engine.register()
    lab.note(f'{engine.ident} is draining, {new.ident} is new')
    await asyncio.sleep(DRAIN_SECONDS + 0.1)
    State.leaves.add(engine.ident)
    exit_if_done(engine)


async def caller(lab, number):
    """Ask on kept channels: a look-up, then a stream, again and again."""
    host = lab.hosts[number % len(lab.hosts)]
    await asyncio.sleep(number * 0.17)
    channel = None
    count = 0
    while not State.stopped:
        try:
            if channel is None:
                channel = await Caller.open(host.front)
            count += 1
            await channel.send(request('GET', '/find/x', f'look-{number}-{count}'))
            reply = await channel.reply(5)
            if reply.status != 200:
                channel = None
                continue
            attempt = f'tell-{number}-{count}'
            await channel.send(request('POST', '/tell/x', attempt, body=b'a prompt', deadline=12000, fields=PROMPT))
            reply = await channel.reply(12)
        except OSError:
            channel = None
            continue
        if reply.status == 200 and reply.complete and reply.body == b''.join(events_of(attempt)):
            State.served += 1
            continue
        lab.note(f'{attempt} at {lab.runs.get(attempt)} answered {reply.status}, {"complete" if reply.complete else "not complete"}, {len(reply.body)} of {len(b"".join(events_of(attempt)))} bytes, {reply.end}; the engine\'s answer was whole: {attempt in State.whole}')
        if attempt in State.whole and not reply.complete:
            State.cut.append(attempt)
        channel.close()
        channel = None


async def case(lab):
    await lab.store.start()
    lab.configure()
    first = [await lab.engine('model', stream, slots=64) for _ in range(ENGINES)]
    for _ in range(3):
        await lab.engine('plain', plain)
    for _ in range(2):
        await lab.host()
    for host in lab.hosts:
        if not await host.ready():
            return 2
    await asyncio.sleep(2)
    tasks = [asyncio.ensure_future(caller(lab, number)) for number in range(CALLERS)]
    began = now()
    await asyncio.sleep(3)
    if TROUBLE:
        for _ in range(RELEASES):
            for _ in range(int(SHARE * ENGINES)):
                tasks.append(asyncio.ensure_future(replace(lab, first.pop(0))))
                await asyncio.sleep(EVERY)
            await asyncio.sleep(PAUSE)
    await asyncio.sleep(max(0, began + SECONDS - now()))
    State.stopped = True
    await asyncio.wait(tasks, timeout=15)
    lab.note(f'streams served {State.served}; kept channels closed within whole answers of sound engines: {len(State.cut)} (the rule allows 3)')
    if State.served < 50:
        return 2
    return 1 if len(State.cut) > 3 else 0


main(case, HERE)
