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
_LINES_DROPPED_LINE = b'{"number": %d, "lines": %d, "event": "lines-dropped"}\n'
# Lines that a process may write in a second; replayed days reached 165 at
# most. A fault that logs in a loop must not use up the processor.
MAX_LINES_PER_SECOND = 500


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
    max_lines_per_second : int
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
        'lines_this_second',
        'max_lines_per_second',
        'second',
        'unwritten',
    )

    def __init__(
        self,
        descriptor,
        clock=time.monotonic,
        max_lines_per_second=MAX_LINES_PER_SECOND,
    ):
        os.set_blocking(descriptor, False)
        self.descriptor = descriptor
        self.clock = clock
        self.max_lines_per_second = max_lines_per_second
        self.dropped = 0
        self.lines_this_second = 0
        self.second = 0
        self.unwritten = b''

    def write(self, text):
        """Write a newline-terminated line, or drop it."""
        if not self._may_write() or not self._write_remainder():
            self.dropped += 1
            return
        if self.dropped:
            self._write_bytes(
                _LINES_DROPPED_LINE % (LINES_DROPPED.number, self.dropped)
            )
            self.dropped = 0
        if self.unwritten:
            self.dropped += 1
            return
        self._write_bytes(text.encode(errors='replace'))

    def flush(self):
        """Do nothing; each line is written at once."""

    def _may_write(self):
        second = int(self.clock())
        if second != self.second:
            self.second = second
            self.lines_this_second = 0
        self.lines_this_second += 1
        return self.lines_this_second <= self.max_lines_per_second

    def _write_remainder(self):
        unwritten = self.unwritten
        self.unwritten = b''
        if unwritten:
            self._write_bytes(unwritten)
        return not self.unwritten

    def _write_bytes(self, data):
        try:
            written = os.write(self.descriptor, data)
        except BlockingIOError:
            self.unwritten = data
            return
        except OSError:
            # The reader has closed its end of the pipe; drop the data.
            return
        self.unwritten = data[written:]
