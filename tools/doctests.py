"""Run the doctests of all modules of the package."""

import doctest
import importlib
import pkgutil
import sys

import pollenstile


def main():
    """Run all doctests and print the counts; return the exit code."""
    passed = 0
    failed = 0
    prefix = f'{pollenstile.__name__}.'
    for module_info in pkgutil.walk_packages(pollenstile.__path__, prefix):
        if module_info.name.endswith('.__main__'):
            continue
        module = importlib.import_module(module_info.name)
        if doctest.testmod(module).failed:
            failed += 1
            continue
        passed += 1
    print(f'{passed} modules passed, {failed} failed')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
