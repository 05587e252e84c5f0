"""Print code lines by package and check the limits of their shares.

Explanation
===========

A code line contains a token other than a comment or a docstring; docstrings
are counted separately. In feature files, all lines except blank lines and
comments count. Tests are all of ``features`` and have no limit; the
specification does not test the code and is shown separately. The exit code is 1
if the soak is more than a tenth of all code lines, or if the code that decides
under load and failure (``CORE_PACKAGES``) is less than a quarter of the
package.
"""

import ast
import io
import pathlib
import sys
import tokenize
from collections import Counter

ROOT = pathlib.Path(__file__).resolve().parent.parent
PACKAGE = 'pollenstile'
# Routing, limits, retries, membership, state and recovery.
CORE_PACKAGES = (
    'routing',
    'limits',
    'ratelimits',
    'permission',
    'claims',
    'fleet',
    'placement',
    'peer',
    'pipeline',
    'forward',
    'relay',
    'routes',
    'stagework',
)
_SOAK = 'pollenstile.soak'
_MAX_SOAK_SHARE = 1 / 10
_MIN_CORE_SHARE = 1 / 4
_NON_CODE_TOKENS = frozenset(
    (
        tokenize.COMMENT,
        tokenize.NL,
        tokenize.NEWLINE,
        tokenize.INDENT,
        tokenize.DEDENT,
        tokenize.ENCODING,
        tokenize.ENDMARKER,
    )
)
_DOCUMENTED_NODES = (
    ast.Module,
    ast.ClassDef,
    ast.FunctionDef,
    ast.AsyncFunctionDef,
)


def _docstring_lines(text):
    lines = set()
    for node in ast.walk(ast.parse(text)):
        if not isinstance(node, _DOCUMENTED_NODES):
            continue
        if ast.get_docstring(node, clean=False) is None:
            continue
        first = node.body[0]
        lines.update(range(first.lineno, first.end_lineno + 1))
    return lines


def python_lines(text):
    """Return the counts of code lines and of docstring lines of a module."""
    code = set()
    for token in tokenize.generate_tokens(io.StringIO(text).readline):
        if token.type not in _NON_CODE_TOKENS:
            code.update(range(token.start[0], token.end[0] + 1))
    docstrings = _docstring_lines(text)
    return len(code - docstrings), len(docstrings)


def feature_lines(text):
    """Return the number of lines of a feature except blanks and comments."""
    lines = (line.strip() for line in text.splitlines())
    return sum(1 for line in lines if line and not line.startswith('#'))


def _group(path):
    parts = path.relative_to(ROOT).parts
    if parts[0] != PACKAGE:
        return parts[0]
    if len(parts) > 2:
        return f'{PACKAGE}.{parts[1]}'
    return PACKAGE


def count_lines():
    """Return the counts of code lines and of docstring lines by group."""
    code = Counter()
    docstrings = Counter()
    for top in (PACKAGE, 'features', 'spec', 'tools'):
        for path in sorted((ROOT / top).rglob('*')):
            if path.suffix == '.py':
                lines, doc = python_lines(path.read_text(encoding='utf8'))
                code[_group(path)] += lines
                docstrings[_group(path)] += doc
            elif path.suffix == '.feature':
                code[_group(path)] += feature_lines(
                    path.read_text(encoding='utf8'),
                )
    return code, docstrings


def _print_table(code, docstrings):
    print(f'{"":<26}{"code":>8}{"docstrings":>12}')
    for group in sorted(code):
        print(f'{group:<26}{code[group]:>8}{docstrings[group]:>12}')
    total = sum(code.values())
    print(f'{"all":<26}{total:>8}{sum(docstrings.values()):>12}')


def compute_shares(code):
    """Return the shares of features, specification, soak and core.

    The first three are shares of all code lines, the last one is a share of
    the code lines of the package.
    """
    total = sum(code.values())
    package = 0
    core = 0
    for group, lines in code.items():
        if not group.startswith(PACKAGE):
            continue
        package += lines
        if group.rpartition('.')[2] in CORE_PACKAGES:
            core += lines
    parts = [code[group] / total for group in ('features', 'spec', _SOAK)]
    return *parts, core / package


def main():
    """Print the table and the shares; return the exit code."""
    code, docstrings = count_lines()
    _print_table(code, docstrings)
    features, spec, soak, core = compute_shares(code)
    print(
        f'tests: {features:.1%} of all code lines; '
        f'with the specification ({spec:.1%}): {features + spec:.1%}',
    )
    print(f'soak: {soak:.1%} of all code lines, at most {_MAX_SOAK_SHARE:.0%}')
    print(
        f'{", ".join(CORE_PACKAGES)}: {core:.1%} of the package, '
        f'at least {_MIN_CORE_SHARE:.1%}',
    )
    return 1 if soak > _MAX_SOAK_SHARE or core < _MIN_CORE_SHARE else 0


if __name__ == '__main__':
    sys.exit(main())
