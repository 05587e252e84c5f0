"""``pollenstile quarantine``: what crashes upstreams, listed or released."""

import json
import sys
import time
from dataclasses import asdict, dataclass

from pollenstile.ops._stores import store_at
from pollenstile.ops.exits import BAD_RESULT, GOOD, UNREACHED, unsure
from pollenstile.ops.running import result_of
from pollenstile.ops.settings import address, identifier, parsed
from pollenstile.platform import Absent, Found, Listing, Written, list_all
from pollenstile.quarantine import QUARANTINE_KIND

_MS = 1000
_NAME = 'pollenstile quarantine'


@dataclass(slots=True, frozen=True)
class HeldRequest:
    """A request in quarantine, as its entry in the store says.

    Parameters
    ==========

    fingerprint, team, service : str
        Which request, whose, and of which service.
    crashes : int
        Upstreams that had crashed under it.
    held_s : int
        Seconds since then.
    """

    fingerprint: str
    team: str
    service: str
    crashes: int
    held_s: int


def add_parser(commands):
    """Add the subcommand."""
    parser = commands.add_parser(
        'quarantine',
        help='list requests that crash upstreams, or lift one',
    )
    parser.add_argument(
        '--platform', required=True, help='IP:PORT of the store'
    )
    parser.add_argument(
        '--lift',
        default='',
        metavar='FINGERPRINT',
        help='let this request go to upstreams again',
    )
    parser.add_argument(
        '--json', action='store_true', help='an object a line, for programs'
    )
    parser.set_defaults(run=run)


def run(arguments):
    """List what is held, or lift it; return the exit code."""
    from twisted.internet import reactor  # noqa: WPS433

    store = store_at(reactor, parsed('--platform', address, arguments.platform))
    if arguments.lift:
        name = parsed('--lift', identifier, arguments.lift)
        return _lifted(
            name, result_of(reactor, lambda: lift_quarantine(store, name))
        )
    listing = result_of(reactor, lambda: list_all(store, QUARANTINE_KIND))
    if not isinstance(listing, Listing):
        sys.stderr.write(f'{_NAME}: the store does not answer; try again\n')
        return UNREACHED
    held = held_requests(listing.objects, int(time.time() * _MS))
    shown = _json_lines(held) if arguments.json else table_lines(held)
    print(*shown, sep='\n')
    return GOOD


def held_requests(entries, now_ms):
    """Return what entries say; those of another form are left out."""
    found = []
    for entry in entries:
        fields = entry.value
        if not isinstance(fields, dict):
            continue
        since = fields.get('since_ms')
        if not isinstance(since, int):
            continue
        found.append(
            HeldRequest(
                entry.name,
                str(fields.get('team', '')),
                str(fields.get('service', '')),
                int(fields.get('crashes', 0)),
                max(0, now_ms - since) // _MS,
            )
        )
    return found


def table_lines(held):
    """Return lines for a terminal.

    Examples
    ========

    >>> from pollenstile.ops._quarantinecmd import HeldRequest, table_lines
    >>> for line in table_lines([HeldRequest('1f', 'clark', 'draft', 3, 42)]):
    ...     print(line)
    1 request in quarantine
    1f  team clark, service draft: 3 upstreams crashed, held for 42 s
    >>> table_lines([])
    ['no request is in quarantine']
    """
    if not held:
        return ['no request is in quarantine']
    noun = 'request' if len(held) == 1 else 'requests'
    lines = [f'{len(held)} {noun} in quarantine']
    for one in held:
        lines.append(
            f'{one.fingerprint}  team {one.team}, service {one.service}: '
            f'{one.crashes} upstreams crashed, held for {one.held_s} s',
        )
    return lines


async def lift_quarantine(store, name):
    """Delete an entry; return ``Absent`` where there is none.

    Returns
    =======

    Absent, Written, Conflict, NotApplied, InDoubt or Unavailable
    """
    standing = await store.get(QUARANTINE_KIND, name)
    if not isinstance(standing, Found):
        return standing
    return await store.delete(QUARANTINE_KIND, name)


def _lifted(name, outcome):
    """Say what became of a release; return the exit code."""
    if isinstance(outcome, Written):
        print(f'{name} goes to upstreams again')
        return GOOD
    if isinstance(outcome, Absent):
        sys.stderr.write(f'{_NAME}: {name} is not in quarantine\n')
        return BAD_RESULT
    return unsure(_NAME, outcome)


def _json_lines(held):
    return [json.dumps(asdict(one)) for one in held]
