"""``pollenstile bench live``: measure a fleet of running entry hosts.

Explanation
===========

The hosts already run as separate processes; the benchmark only sends requests
to them. It applies the manifest in force again without changes and measures the
time until each host has the new version in force. Then it leaves the fleet idle
and reads the processor time and the memory of each process.
"""

import secrets
from dataclasses import dataclass
from random import Random

from twisted.internet.defer import Deferred, gatherResults
from twisted.internet.task import deferLater

from pollenstile.fleet import (
    Accepted,
    CurrentConfig,
    apply_manifest,
    current_config,
)
from pollenstile.ops._admin import admin_reader
from pollenstile.ops._statuscmd import parse_entries
from pollenstile.ops._stores import command_store
from pollenstile.ops.exits import BAD_RESULT, GOOD, UNREACHED
from pollenstile.ops.running import result_of
from pollenstile.ops.settings import SettingsError, address
from pollenstile.platform import make_pause

_POLL_SECONDS = 0.005
_TIMEOUT_SECONDS = 10.0
_MARK_BYTES = 8
_MS = 1000


@dataclass(slots=True, frozen=True)
class Spread:
    """Time until a version is in force at each host.

    Parameters
    ==========

    version : int
        The version number that the platform assigned.
    seconds : list of float or None
        Seconds for each host; None if the version is not in force there after
        ten seconds.
    """

    version: int
    seconds: list


def add_parser(benches):
    """Add ``bench live``."""
    parser = benches.add_parser('live', help='measure running entry hosts')
    parser.add_argument('--platform', required=True, help='IP:PORT')
    parser.add_argument(
        '--entry',
        required=True,
        help='IP:PORT of the admin interface of each host, comma-separated',
    )
    parser.add_argument('--changes', type=int, default=5, help='number')
    parser.add_argument('--idle', type=float, default=10, help='seconds')
    parser.set_defaults(run=run)


def run(arguments):
    """Run the benchmark, print the results, and return the exit code."""
    from twisted.internet import reactor  # noqa: WPS433

    entries = parse_entries(arguments.entry)
    try:
        store = command_store(reactor, address(arguments.platform))
    except ValueError as error:
        raise SettingsError([f'--platform: {error}']) from None
    readers = [admin_reader(reactor, entry) for entry in entries]
    return result_of(
        reactor,
        lambda: _measure(reactor, store, readers, arguments),
    )


async def _measure(reactor, store, readers, arguments):
    slowest = []
    for _ in range(arguments.changes):
        spread = await _apply_unchanged(reactor, store, readers)
        if spread is None:
            print('the platform did not accept the change')
            return UNREACHED
        if None in spread.seconds:
            print(f'version {spread.version} is not in force everywhere')
            return BAD_RESULT
        slowest.append(max(spread.seconds))
    print(
        f'{len(readers)} hosts, {len(slowest)} changes: in force everywhere '
        f'after {max(slowest):.3f} s at most',
    )
    return await _measure_idle(reactor, readers, arguments.idle)


async def _apply_unchanged(reactor, store, readers):
    """Apply the manifest in force again; return a Spread, None on failure."""
    before = await current_config(store)
    if not isinstance(before, CurrentConfig) or not before.text:
        return None
    started = reactor.seconds()
    outcome = await apply_manifest(
        store,
        before.text,
        before.version,
        secrets.token_hex(_MARK_BYTES),
        make_pause(reactor, Random(), 0.2, 2.0),
    )
    if not isinstance(outcome, Accepted):
        return None
    waits = []
    for read in readers:
        wait = _wait_in_force(reactor, read, outcome.version, started)
        waits.append(Deferred.fromCoroutine(wait))
    return Spread(outcome.version, await gatherResults(waits))


async def _wait_in_force(reactor, read, version, started):
    while reactor.seconds() < started + _TIMEOUT_SECONDS:
        document = await read('/status')
        if document is not None and document['version'] >= version:
            return reactor.seconds() - started
        await deferLater(reactor, _POLL_SECONDS)
    return None


async def _measure_idle(reactor, readers, seconds):
    before = [await read('/status') for read in readers]
    await deferLater(reactor, seconds)
    after = [await read('/status') for read in readers]
    if None in before or None in after:
        print('a host did not answer')
        return UNREACHED
    for first, last in zip(before, after, strict=True):
        used = last['usage']['cpu_seconds'] - first['usage']['cpu_seconds']
        print(
            f'{last["host"]}: {used * _MS / seconds:.1f} ms/s of a core, '
            f'{last["usage"]["memory_mb"]} MB, '
            f'{last["broken_invariants"]} broken invariants',
        )
    return GOOD
