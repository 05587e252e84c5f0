"""``pollenstile drain``: keeps new work from a failure domain's upstreams."""

import sys
from dataclasses import dataclass

from prometheus_client.parser import text_string_to_metric_families

from pollenstile.forward import DRAINED, DRAINED_SECONDS, UNDER_WAY
from pollenstile.ops._admin import body_of, caller_at
from pollenstile.ops._statuscmd import parse_entries
from pollenstile.ops._stores import store_at
from pollenstile.ops.exits import (
    BAD_INPUT,
    BAD_RESULT,
    GOOD,
    UNREACHED,
    unsure,
)
from pollenstile.ops.measures import shown_name
from pollenstile.ops.running import result_of
from pollenstile.ops.settings import address, identifier, parsed, format_address
from pollenstile.platform import Absent, Found, Written


@dataclass(slots=True, frozen=True)
class HostDrain:
    """What one host says of a drained domain.

    Parameters
    ==========

    host : str
        Address of its measures.
    answers : bool
        Whether it answered.
    drained_for : float or None
        Seconds since it heard of the drain; None when it has not.
    under_way : int
        Requests and pieces that it still has there.
    """

    host: str
    answers: bool
    drained_for: float | None = None
    under_way: int = 0


def add_parser(commands):
    """Add the subcommand."""
    parser = commands.add_parser(
        'drain',
        help="keep new work from a failure domain's upstreams",
    )
    parser.add_argument('domain', help='the failure domain')
    parser.add_argument('--platform', default='', help='IP:PORT of the store')
    parser.add_argument(
        '--end',
        action='store_true',
        help='let the domain have work again',
    )
    parser.add_argument(
        '--metrics',
        default='',
        help="IP:PORT of hosts' measures: show what is left there",
    )
    parser.set_defaults(run=run)


def run(arguments):
    """Write the drain, or show what is left; return the exit code."""
    from twisted.internet import reactor  # noqa: WPS433

    domain = parsed('domain', identifier, arguments.domain)
    if bool(arguments.platform) == bool(arguments.metrics):
        sys.stderr.write('pollenstile drain: --platform to write it, or ')
        sys.stderr.write('--metrics to see what is left\n')
        return BAD_INPUT
    if arguments.metrics:
        hosts = parse_entries(arguments.metrics, '--metrics')
        drains = result_of(reactor, lambda: _drains(reactor, hosts, domain))
        print(*drain_lines(domain, drains), sep='\n')
        return exit_code(drains)
    platform = parsed('--platform', address, arguments.platform)
    store = store_at(reactor, platform)
    written = result_of(
        reactor, lambda: write_drain(store, domain, ends=arguments.end)
    )
    if isinstance(written, Written):
        verb = 'has work again' if arguments.end else 'is drained'
        print(f'{domain} {verb}, revision {written.version}')
        return GOOD
    return unsure('pollenstile drain', written)


def drain_lines(domain, hosts):
    """Return lines for a terminal.

    Examples
    ========

    >>> from pollenstile.ops._draincmd import HostDrain, drain_lines
    >>> hosts = [HostDrain('a:1', True, 4.2, 3), HostDrain('b:1', True)]
    >>> for line in drain_lines('clark', hosts):
    ...     print(line)
    clark: 3 requests and pieces left, 1 of 2 hosts obey
    a:1  drained for 4.2 s, 3 left
    b:1  has not heard of it, 0 left
    """
    left = sum(one.under_way for one in hosts)
    obey = sum(one.drained_for is not None for one in hosts)
    lines = [
        f'{domain}: {left} requests and pieces left, '
        f'{obey} of {len(hosts)} hosts obey',
    ]
    for one in hosts:
        lines.append(f'{one.host}  {_state(one)}')
    return lines


def parse_drain(host, domain, text):
    """Return what a host's measures say of a domain."""
    values = {}
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            if sample.labels.get('domain') == domain:
                values[sample.name] = sample.value
    return HostDrain(
        host,
        answers=True,
        drained_for=values.get(shown_name(DRAINED_SECONDS)),
        under_way=int(values.get(shown_name(UNDER_WAY), 0)),
    )


def _state(host):
    if not host.answers:
        return 'no answer'
    if host.drained_for is None:
        return f'has not heard of it, {host.under_way} left'
    return f'drained for {host.drained_for:.1f} s, {host.under_way} left'


def exit_code(hosts):
    """Return whether a domain is empty and all hosts obey, as an exit code."""
    if not any(one.answers for one in hosts):
        return UNREACHED
    is_empty = all(
        one.drained_for is not None and not one.under_way for one in hosts
    )
    return GOOD if is_empty else BAD_RESULT


async def _drains(reactor, hosts, domain):
    found = []
    for host in hosts:
        body = await body_of(caller_at(reactor, host), '/')
        name = format_address(host)
        if body is None:
            found.append(HostDrain(name, answers=False))
            continue
        found.append(parse_drain(name, domain, body.decode()))
    return found


async def write_drain(store, domain, *, ends):
    """Write or delete a domain's entry; what stands as asked is kept.

    Returns
    =======

    Written, Conflict, NotApplied or InDoubt
    """
    standing = await store.get(DRAINED, domain)
    if isinstance(standing, Found) and not ends:
        return Written(standing.version)
    if isinstance(standing, Absent) and ends:
        return Written(0)
    if ends:
        return await store.delete(DRAINED, domain)
    return await store.put(DRAINED, domain, {})
