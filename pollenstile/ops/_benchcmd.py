"""``pollenstile bench``: runs benchmarks."""

from pollenstile.bench import (
    claims,
    crashes,
    fleet,
    flood,
    floor,
    lag,
    live,
    placement,
    policy,
    promptparts,
    ratelimits,
    returns,
    shared,
    silences,
    stages,
    versions,
    withdrawals,
)

_BENCHES = (
    flood,
    floor,
    claims,
    crashes,
    fleet,
    lag,
    live,
    placement,
    policy,
    promptparts,
    ratelimits,
    returns,
    shared,
    silences,
    stages,
    versions,
    withdrawals,
)


def add_parser(commands):
    """Add the subcommand and a nested subcommand for each benchmark."""
    parser = commands.add_parser('bench', help='run a benchmark')
    benches = parser.add_subparsers(dest='bench', required=True)
    for bench in _BENCHES:
        bench.add_parser(benches)
