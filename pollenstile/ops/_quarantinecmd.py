"""``pollenstile quarantine``: lists or lifts requests that crash upstreams."""

import json
import sys
import time
from dataclasses import asdict, dataclass

from pollenstile.ops._stores import command_store
from pollenstile.ops.exits import (
    BAD_RESULT,
    GOOD,
    UNREACHED,
    report_unknown_outcome,
)
from pollenstile.ops.running import result_of
from pollenstile.ops.settings import address, identifier, parse_argument
from pollenstile.platform import Absent, Found, Listing, Written, list_all
from pollenstile.quarantine import QUARANTINE_KIND

_MS_PER_SECOND = 1000
_NAME = 'pollenstile quarantine'


@dataclass(slots=True, frozen=True)
class HeldRequest:
    """A request or prompt part in quarantine, as its store entry describes it.

    Parameters
    ==========

    fingerprint, team, service : str
        Fingerprint of the request or part, its team, or one of those that sent
        the part, and the service that it called.
    crashes : int
        Number of upstreams that crashed while they ran it.
    held_s : int
        Seconds since it was quarantined.
    is_part : bool
        Whether all requests with a prompt part are refused.
    """

    fingerprint: str
    team: str
    service: str
    crashes: int
    held_s: int
    is_part: bool = False


def add_parser(commands):
    """Add the subcommand."""
    parser = commands.add_parser(
        'quarantine',
        help='list quarantined requests, or lift the quarantine of one',
    )
    parser.add_argument(
        '--platform', required=True, help='IP:PORT of the store'
    )
    parser.add_argument(
        '--lift',
        default='',
        metavar='FINGERPRINT',
        help='allow this request to reach upstreams again',
    )
    parser.add_argument(
        '--json', action='store_true', help='print one JSON object per line'
    )
    parser.set_defaults(run=run)


def run(arguments):
    """List held requests, or lift one; return the exit code."""
    from twisted.internet import reactor  # noqa: WPS433

    store = command_store(
        reactor, parse_argument('--platform', address, arguments.platform)
    )
    if arguments.lift:
        name = parse_argument('--lift', identifier, arguments.lift)
        return _report_lift(
            name, result_of(reactor, lambda: lift_quarantine(store, name))
        )
    listing = result_of(reactor, lambda: list_all(store, QUARANTINE_KIND))
    if not isinstance(listing, Listing):
        sys.stderr.write(f'{_NAME}: the store did not answer; try again\n')
        return UNREACHED
    held = held_requests(listing.objects, int(time.time() * _MS_PER_SECOND))
    shown = _json_lines(held) if arguments.json else table_lines(held)
    print(*shown, sep='\n')
    return GOOD


def held_requests(entries, now_ms):
    """Return the requests of store entries; malformed entries are skipped."""
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
                max(0, now_ms - since) // _MS_PER_SECOND,
                fields.get('part') is True,
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
    1 in quarantine
    1f  request, team clark, service draft: 3 upstreams crashed, held for 42 s
    >>> table_lines([])
    ['nothing is in quarantine']
    """
    if not held:
        return ['nothing is in quarantine']
    lines = [f'{len(held)} in quarantine']
    for request in held:
        kind = 'prompt part' if request.is_part else 'request'
        lines.append(
            f'{request.fingerprint}  {kind}, team {request.team}, '
            f'service {request.service}: '
            f'{request.crashes} upstreams crashed, held for {request.held_s} s',
        )
    return lines


async def lift_quarantine(store, name):
    """Delete a quarantine entry; return ``Absent`` if there is none.

    Returns
    =======

    Absent, Written, Conflict, NotApplied, InDoubt or Unavailable
    """
    existing = await store.get(QUARANTINE_KIND, name)
    if not isinstance(existing, Found):
        return existing
    return await store.delete(QUARANTINE_KIND, name)


def _report_lift(name, outcome):
    """Report the outcome of lifting a quarantine; return the exit code."""
    if isinstance(outcome, Written):
        print(f'{name} goes to upstreams again')
        return GOOD
    if isinstance(outcome, Absent):
        sys.stderr.write(f'{_NAME}: {name} is not in quarantine\n')
        return BAD_RESULT
    return report_unknown_outcome(_NAME, outcome)


def _json_lines(held):
    return [json.dumps(asdict(request)) for request in held]
