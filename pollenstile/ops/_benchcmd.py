"""``pollenstile bench``: measurements."""

from pollenstile.bench import (
    claims,
    crashes,
    fleet,
    floor,
    lag,
    live,
    placement,
    policy,
    shared,
    stages,
)

_BENCHES = (
    floor,
    claims,
    crashes,
    fleet,
    lag,
    live,
    placement,
    policy,
    shared,
    stages,
)


def add_parser(commands):
    """Add the subcommand and one for each bench."""
    parser = commands.add_parser('bench', help='run a measurement')
    benches = parser.add_subparsers(dest='bench', required=True)
    for bench in _BENCHES:
        bench.add_parser(benches)
