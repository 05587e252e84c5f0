"""Arguments and output that several benchmarks have in common."""

import json
from dataclasses import asdict


def add_sizes(parser, default):
    """Add the argument ``--sizes`` to the parser of a benchmark.

    Parameters
    ==========

    parser : argparse.ArgumentParser
        The parser.
    default : str
        Sizes as in :func:`fleet_sizes`.
    """
    parser.add_argument('--sizes', default=default, help='hosts/domains')


def fleet_sizes(text):
    """Return the numbers of hosts and domains of each fleet in a list.

    Examples
    ========

    >>> from pollenstile.bench._commandline import fleet_sizes
    >>> fleet_sizes('9/4,30/3')
    [(9, 4), (30, 3)]
    """
    sizes = []
    for size in text.split(','):
        hosts, domains = map(int, size.split('/'))
        sizes.append((hosts, domains))
    return sizes


def print_measured(measured):
    """Print a dataclass as a line of JSON."""
    print(json.dumps(asdict(measured)), flush=True)
