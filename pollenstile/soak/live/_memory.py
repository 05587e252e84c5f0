"""Peak memory of the hosts' processes."""

import pathlib
import re

from twisted.internet.task import deferLater

# Seconds between two looks: a host may be killed at any time.
_LOOK_SECONDS = 0.25
_PEAK = re.compile(r'VmHWM:\s+(\d+) kB')
_KB_IN_MB = 1000


def peak_mb(status):
    """Return the peak resident memory that the status of a process states.

    Examples
    ========

    >>> from pollenstile.soak.live._memory import peak_mb
    >>> peak_mb('VmHWM:   69000 kB')
    69.0
    """
    found = _PEAK.search(status)
    return int(found[1]) / _KB_IN_MB if found else 0.0


async def watch_memory(world):
    """Record the peaks of the hosts' processes until the run ends."""
    while world.is_sending:
        note_peaks(world)
        await deferLater(world.reactor, _LOOK_SECONDS)


def note_peaks(world):
    """Record the peaks of the hosts' processes so far."""
    peaks = world.records.peaks
    for host in world.hosts:
        if host.is_running():
            peak = peak_mb(_status_of(host.transport.pid))
            peaks[host.name] = max(peak, peaks.get(host.name, 0.0))


def _status_of(pid):
    try:
        return pathlib.Path(f'/proc/{pid}/status').read_text()
    except OSError:
        return ''
