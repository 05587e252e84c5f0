"""``pollenstile drain``: stops new work at a failure domain's upstreams."""

import sys
from dataclasses import dataclass

from prometheus_client.parser import text_string_to_metric_families

from pollenstile.forward import DRAINED, DRAINED_SECONDS, UNDER_WAY
from pollenstile.ops._admin import fetch_body, http_client_at
from pollenstile.ops._statuscmd import parse_entries
from pollenstile.ops._stores import command_store
from pollenstile.ops.exits import (
    BAD_INPUT,
    BAD_RESULT,
    GOOD,
    UNREACHED,
    report_unknown_outcome,
)
from pollenstile.ops.measures import metric_name
from pollenstile.ops.running import result_of
from pollenstile.ops.settings import (
    address,
    format_address,
    identifier,
    parse_argument,
)
from pollenstile.platform import Absent, Found, Written


@dataclass(slots=True, frozen=True)
class HostDrain:
    """State of a drained domain as one host reports it.

    Parameters
    ==========

    host : str
        Address of its metrics.
    answers : bool
        Whether the host answered.
    drained_for : float or None
        Seconds since the host received the drain; None if it has not.
    under_way : int
        Requests and pieces that the host still runs in the domain.
    """

    host: str
    answers: bool
    drained_for: float | None = None
    under_way: int = 0


def add_parser(commands):
    """Add the subcommand."""
    parser = commands.add_parser(
        'drain',
        help="stop new work at a failure domain's upstreams",
    )
    parser.add_argument('domain', help='the failure domain')
    parser.add_argument('--platform', default='', help='IP:PORT of the store')
    parser.add_argument(
        '--end',
        action='store_true',
        help='end the drain: send work to the domain again',
    )
    parser.add_argument(
        '--metrics',
        default='',
        help="IP:PORT of hosts' metrics: show the remaining work",
    )
    parser.set_defaults(run=run)


def run(arguments):
    """Write the drain or show the remaining work; return the exit code."""
    from twisted.internet import reactor  # noqa: WPS433

    domain = parse_argument('domain', identifier, arguments.domain)
    if bool(arguments.platform) == bool(arguments.metrics):
        sys.stderr.write('pollenstile drain: give either --platform to write ')
        sys.stderr.write('the drain or --metrics to show the remaining work\n')
        return BAD_INPUT
    if arguments.metrics:
        hosts = parse_entries(arguments.metrics, '--metrics')
        drains = result_of(
            reactor, lambda: _read_drains(reactor, hosts, domain)
        )
        print(*drain_lines(domain, drains), sep='\n')
        return exit_code(drains)
    platform = parse_argument('--platform', address, arguments.platform)
    store = command_store(reactor, platform)
    written = result_of(
        reactor, lambda: write_drain(store, domain, ends=arguments.end)
    )
    if isinstance(written, Written):
        verb = 'has work again' if arguments.end else 'is drained'
        print(f'{domain} {verb}, revision {written.version}')
        return GOOD
    return report_unknown_outcome('pollenstile drain', written)


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
    remaining = sum(host.under_way for host in hosts)
    drained_hosts = sum(host.drained_for is not None for host in hosts)
    lines = [
        f'{domain}: {remaining} requests and pieces left, '
        f'{drained_hosts} of {len(hosts)} hosts obey',
    ]
    for host in hosts:
        lines.append(f'{host.host}  {_host_state(host)}')
    return lines


def parse_drain(host, domain, text):
    """Return the drain state of a domain, read from a host's metrics."""
    values = {}
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            if sample.labels.get('domain') == domain:
                values[sample.name] = sample.value
    return HostDrain(
        host,
        answers=True,
        drained_for=values.get(metric_name(DRAINED_SECONDS)),
        under_way=int(values.get(metric_name(UNDER_WAY), 0)),
    )


def _host_state(host):
    if not host.answers:
        return 'no answer'
    if host.drained_for is None:
        return f'has not heard of it, {host.under_way} left'
    return f'drained for {host.drained_for:.1f} s, {host.under_way} left'


def exit_code(hosts):
    """Return the exit code; GOOD if all hosts drained the empty domain."""
    if not any(host.answers for host in hosts):
        return UNREACHED
    is_empty = all(
        host.drained_for is not None and not host.under_way for host in hosts
    )
    return GOOD if is_empty else BAD_RESULT


async def _read_drains(reactor, hosts, domain):
    found = []
    for host in hosts:
        body = await fetch_body(http_client_at(reactor, host), '/')
        name = format_address(host)
        if body is None:
            found.append(HostDrain(name, answers=False))
            continue
        found.append(parse_drain(name, domain, body.decode()))
    return found


async def write_drain(store, domain, *, ends):
    """Write or delete a domain's drain entry unless it is already so.

    Returns
    =======

    Written, Conflict, NotApplied or InDoubt
    """
    existing = await store.get(DRAINED, domain)
    if isinstance(existing, Found) and not ends:
        return Written(existing.version)
    if isinstance(existing, Absent) and ends:
        return Written(0)
    if ends:
        return await store.delete(DRAINED, domain)
    return await store.put(DRAINED, domain, {})
