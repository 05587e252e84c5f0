"""Non-blocking, rate-limited output stream for log lines."""

import os
import time

from pollenstile.ops.events import define

LINES_DROPPED = define(
    8010,
    'lines-dropped',
    'Log lines were dropped: too many in a second, or they are not read.',
    'Check the log collector; the metrics count all events.',
)
_NOTE = b'{"number": %d, "lines": %d, "event": "lines-dropped"}\n'
# Lines that a process may write in a second; replayed days reached 165 at
# most. A fault that logs in a loop must not use up the processor.
MOST_LINES = 500


class LineStream:
    """Writes lines to a file descriptor, and drops lines that do not fit.

    Explanation
    ===========

    A log collector that hangs leaves its pipe full. A blocking write would
    then stop the event loop and with it all requests. Lines that do not fit
    are dropped and counted. A partly written line is completed first, so that
    every line in the output is complete.

    Parameters
    ==========

    descriptor : int
        File descriptor; set to non-blocking mode.
    clock : function
        Returns seconds.
    most_lines : int
        Maximum number of lines per second.

    Attributes
    ==========

    dropped : int
        Lines dropped since the last ``lines-dropped`` line.
    """

    # The log library keeps a weak reference to its stream.
    __slots__ = (
        '__weakref__',
        'clock',
        'descriptor',
        'dropped',
        'most_lines',
        'number',
        'second',
        'tail',
    )

    def __init__(self, descriptor, clock=time.monotonic, most_lines=MOST_LINES):
        os.set_blocking(descriptor, False)
        self.descriptor = descriptor
        self.clock = clock
        self.most_lines = most_lines
        self.dropped = 0
        self.number = 0
        self.second = 0
        self.tail = b''

    def write(self, text):
        """Write a newline-terminated line, or drop it."""
        if not self._may_write() or not self._finish_tail():
            self.dropped += 1
            return
        if self.dropped:
            self._put(_NOTE % (LINES_DROPPED.number, self.dropped))
            self.dropped = 0
        if self.tail:
            self.dropped += 1
            return
        self._put(text.encode(errors='replace'))

    def flush(self):
        """Do nothing; each line is written at once."""

    def _may_write(self):
        second = int(self.clock())
        if second != self.second:
            self.second = second
            self.number = 0
        self.number += 1
        return self.number <= self.most_lines

    def _finish_tail(self):
        tail = self.tail
        self.tail = b''
        if tail:
            self._put(tail)
        return not self.tail

    def _put(self, data):
        try:
            written = os.write(self.descriptor, data)
        except BlockingIOError:
            self.tail = data
            return
        except OSError:
            # The reader has closed its end of the pipe; drop the data.
            return
        self.tail = data[written:]
