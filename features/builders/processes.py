"""Command-line processes for scenarios, with entry hosts on free ports."""

import json
import os
import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
COMMAND = (sys.executable, '-m', 'pollenstile.ops')
_FREE_LOCAL_PORT = '127.0.0.1:0'


class Processes:
    """Starts processes of one scenario and kills them at its end."""

    def __init__(self):
        self.started = []

    def start(self, *arguments, **variables):
        """Start a process of the command line interface."""
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
        """Start an entry host; return its process and the started log line."""
        process = self.start(
            'entry',
            POLLENSTILE_HOST=name,
            POLLENSTILE_DOMAIN=domain,
            POLLENSTILE_LISTEN=_FREE_LOCAL_PORT,
            POLLENSTILE_ADMIN=_FREE_LOCAL_PORT,
            POLLENSTILE_PEER_LISTEN=_FREE_LOCAL_PORT,
            POLLENSTILE_PLATFORM=platform,
        )
        line = wait_for_line(process.stderr, 'started')
        return process, json.loads(line)

    def kill_all(self):
        """Kill every process that is still running."""
        for process in self.started:
            if process.poll() is None:
                process.kill()
            process.communicate()


def wait_for_line(stream, word):
    """Read lines up to the next one that contains a word; return that line."""
    for line in stream:
        if word in line:
            return line
    raise AssertionError(f'the process ended before it printed {word!r}')


def run_command(*arguments):
    """Run a command to its end and return the completed process."""
    return subprocess.run(
        [*COMMAND, *arguments],
        cwd=ROOT,
        env=dict(os.environ, PYTHONPATH=str(ROOT)),
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
