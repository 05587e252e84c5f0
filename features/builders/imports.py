"""Names of the modules that a program has imported once it may run."""

import subprocess
import sys

from features.builders.processes import ROOT

_NAMES_OF_ALL = 'import sys; print(*sys.modules)'
# What each program imports up to the point at which it reads its settings.
_PROGRAMS = {
    'the entry program': (
        "import sys; sys.path.append('platform'); import adapter.start"
    ),
    'the command of a host': (
        'from pollenstile.ops.main import parse_command; '
        "parse_command(['forward'])"
    ),
}


def imported_by(program):
    """Return the names of all modules that a new process has imported."""
    code = f'{_PROGRAMS[program]}; {_NAMES_OF_ALL}'
    done = subprocess.run(
        (sys.executable, '-c', code),
        cwd=ROOT,
        capture_output=True,
        check=True,
        text=True,
    )
    return set(done.stdout.split())
