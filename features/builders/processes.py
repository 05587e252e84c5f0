"""Real processes for scenarios: stand-ins and entry hosts on free ports."""

import json
import os
import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
COMMAND = (sys.executable, '-m', 'pollenstile.ops')
_LOCAL = '127.0.0.1:0'


class Processes:
    """Processes that one scenario started; all are ended with it."""

    def __init__(self):
        self.started = []

    def start(self, *arguments, **variables):
        """Return a new process of the command line."""
        environment = dict(os.environ, PYTHONPATH=str(ROOT), **variables)
        process = subprocess.Popen(
            [*COMMAND, *arguments],
            cwd=ROOT,
            env=environment,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        self.started.append(process)
        return process

    def start_entry_host(self, name, domain, platform):
        """Return an entry host's process and its addresses."""
        process = self.start(
            'entry',
            POLLENSTILE_HOST=name,
            POLLENSTILE_DOMAIN=domain,
            POLLENSTILE_LISTEN=_LOCAL,
            POLLENSTILE_ADMIN=_LOCAL,
            POLLENSTILE_PEER_LISTEN=_LOCAL,
            POLLENSTILE_PLATFORM=platform,
        )
        line = wait_for_line(process.stderr, 'started')
        return process, json.loads(line)

    def kill_all(self):
        """End every process that still runs."""
        for process in self.started:
            if process.poll() is None:
                process.kill()
            process.communicate()


def wait_for_line(stream, word):
    """Return the next line that holds a word; read what comes before it."""
    for line in stream:
        if word in line:
            return line
    raise AssertionError(f'the process ended before it said {word!r}')


def run_command(*arguments):
    """Return the finished process of one command."""
    return subprocess.run(
        [*COMMAND, *arguments],
        cwd=ROOT,
        env=dict(os.environ, PYTHONPATH=str(ROOT)),
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
