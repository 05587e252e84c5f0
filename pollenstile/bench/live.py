"""``pollenstile bench live``: a fleet of running entry hosts, measured.

Explanation
===========

The hosts run already, as processes of their own; this only asks them. It
applies the manifest in force anew, unchanged, and looks how long each host
takes until it serves under the new version. Then it leaves the fleet alone and
reads what each process used meanwhile.
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
from pollenstile.ops._stores import store_at
from pollenstile.ops.exits import BAD_RESULT, GOOD, UNREACHED
from pollenstile.ops.running import result_of
from pollenstile.ops.settings import SettingsError, address
from pollenstile.platform import make_pause

_LOOK_SECONDS = 0.005
_MOST_SECONDS = 10.0
_MARK_BYTES = 8
_MS = 1000


@dataclass(slots=True, frozen=True)
class Spread:
    """How long a version took to be in force at each host, in seconds.

    Parameters
    ==========

    version : int
        As the platform numbers it.
    seconds : list of float or None
        By host; None where it did not come in ten seconds.
    """

    version: int
    seconds: list


def add_parser(benches):
    """Add the bench."""
    parser = benches.add_parser('live', help='running entry hosts, measured')
    parser.add_argument('--platform', required=True, help='IP:PORT')
    parser.add_argument(
        '--entry',
        required=True,
        help="IP:PORT of every host's admin face, with commas",
    )
    parser.add_argument('--changes', type=int, default=5, help='applies')
    parser.add_argument('--idle', type=float, default=10, help='seconds')
    parser.set_defaults(run=run)


def run(arguments):
    """Measure and print; return the exit code."""
    from twisted.internet import reactor  # noqa: WPS433

    entries = parse_entries(arguments.entry)
    try:
        store = store_at(reactor, address(arguments.platform))
    except ValueError as error:
        raise SettingsError([f'--platform: {error}']) from None
    readers = [admin_reader(reactor, entry) for entry in entries]
    return result_of(
        reactor,
        lambda: _measured(reactor, store, readers, arguments),
    )


async def _measured(reactor, store, readers, arguments):
    slowest = []
    for _ in range(arguments.changes):
        spread = await _spread(reactor, store, readers)
        if spread is None:
            print('the platform took no change')
            return UNREACHED
        if None in spread.seconds:
            print(f'version {spread.version} is not in force everywhere')
            return BAD_RESULT
        slowest.append(max(spread.seconds))
    print(
        f'{len(readers)} hosts, {len(slowest)} changes: in force everywhere '
        f'after {max(slowest):.3f} s at most',
    )
    return await _idle(reactor, readers, arguments.idle)


async def _spread(reactor, store, readers):
    """Apply the manifest in force anew; return a Spread, or None."""
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
        wait = _in_force(reactor, read, outcome.version, started)
        waits.append(Deferred.fromCoroutine(wait))
    return Spread(outcome.version, await gatherResults(waits))


async def _in_force(reactor, read, version, started):
    while reactor.seconds() < started + _MOST_SECONDS:
        document = await read('/status')
        if document is not None and document['version'] >= version:
            return reactor.seconds() - started
        await deferLater(reactor, _LOOK_SECONDS)
    return None


async def _idle(reactor, readers, seconds):
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
