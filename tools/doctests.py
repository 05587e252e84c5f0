"""Runs the examples in docstrings of every module of the package."""

import doctest
import importlib
import pkgutil
import sys

import pollenstile


def main():
    """Run them all and print the counts; return the exit code."""
    passed = 0
    failed = 0
    prefix = f'{pollenstile.__name__}.'
    for found in pkgutil.walk_packages(pollenstile.__path__, prefix):
        if found.name.endswith('.__main__'):
            continue
        module = importlib.import_module(found.name)
        if doctest.testmod(module).failed:
            failed += 1
            continue
        passed += 1
    print(f'{passed} modules passed, {failed} failed')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
