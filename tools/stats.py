"""Prints code lines by package and holds the project's shares of them.

Explanation
===========

A code line is one that holds a token other than a comment or a docstring;
docstrings are counted apart. Feature files count their lines that are neither
blank nor comments. Tests are all of ``features``, and have no bound; the
specification, which is no test of the code, is shown apart. Exits with 1 when
the soak is more than a tenth of all, or when the code that decides under load
and failure is less than a quarter of the package.
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
CORE = (
    'routing',
    'limits',
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
_MOST_SOAK = 1 / 10
_LEAST_CORE = 1 / 4
_SILENT = frozenset(
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
_DOCUMENTED = (
    ast.Module,
    ast.ClassDef,
    ast.FunctionDef,
    ast.AsyncFunctionDef,
)


def _docstring_lines(text):
    lines = set()
    for node in ast.walk(ast.parse(text)):
        if not isinstance(node, _DOCUMENTED):
            continue
        if ast.get_docstring(node, clean=False) is None:
            continue
        first = node.body[0]
        lines.update(range(first.lineno, first.end_lineno + 1))
    return lines


def python_lines(text):
    """Return the numbers of code lines and of docstring lines of a module."""
    code = set()
    for token in tokenize.generate_tokens(io.StringIO(text).readline):
        if token.type not in _SILENT:
            code.update(range(token.start[0], token.end[0] + 1))
    docstrings = _docstring_lines(text)
    return len(code - docstrings), len(docstrings)


def feature_lines(text):
    """Return the number of a feature's lines, blank and comments apart."""
    lines = (line.strip() for line in text.splitlines())
    return sum(1 for line in lines if line and not line.startswith('#'))


def _group(path):
    parts = path.relative_to(ROOT).parts
    if parts[0] != PACKAGE:
        return parts[0]
    if len(parts) > 2:
        return f'{PACKAGE}.{parts[1]}'
    return PACKAGE


def counted():
    """Return code lines and docstring lines by group."""
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


def shares(code):
    """Return the shares of features, specification, soak and core.

    The first three are of all code lines, the last is of the package's.
    """
    total = sum(code.values())
    package = 0
    core = 0
    for group, lines in code.items():
        if not group.startswith(PACKAGE):
            continue
        package += lines
        if group.rpartition('.')[2] in CORE:
            core += lines
    parts = [code[group] / total for group in ('features', 'spec', _SOAK)]
    return *parts, core / package


def main():
    """Print the table and the shares; return the exit code."""
    code, docstrings = counted()
    _print_table(code, docstrings)
    features, spec, soak, core = shares(code)
    print(
        f'tests: {features:.1%} of all code lines; '
        f'with the specification ({spec:.1%}): {features + spec:.1%}',
    )
    print(f'soak: {soak:.1%} of all code lines, at most {_MOST_SOAK:.0%}')
    print(
        f'{", ".join(CORE)}: {core:.1%} of the package, '
        f'at least {_LEAST_CORE:.1%}',
    )
    return 1 if soak > _MOST_SOAK or core < _LEAST_CORE else 0


if __name__ == '__main__':
    sys.exit(main())
