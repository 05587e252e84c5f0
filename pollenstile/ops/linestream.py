"""A stream for log lines that never blocks and is bounded."""

import os
import time

from pollenstile.ops.events import define

LINES_DROPPED = define(
    8010,
    'lines-dropped',
    'Log lines were dropped: too many in a second, or nobody reads them.',
    'Look at the collector of logs; measures count all events.',
)
_NOTE = b'{"number": %d, "lines": %d, "event": "lines-dropped"}\n'
# Lines that a process may write in a second; on played days one wrote 165 at
# most. A fault that logs in a loop must not take the processor.
MOST_LINES = 500


class LineStream:
    """Writes lines to a descriptor, and drops what nobody takes.

    Explanation
    ===========

    A collector of logs that hangs leaves its pipe full. A blocking write
    would then stop the loop, and with it all requests. Lines that do not fit
    are dropped and counted; a line that was written in part is finished first,
    so that none is torn.

    Parameters
    ==========

    descriptor : int
        Set to not block.
    clock : function
        Returns seconds.
    most_lines : int
        Lines a second.

    Attributes
    ==========

    dropped : int
        Lines that were dropped since the last note of that.
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
        """Write a line with its end, or drop it."""
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
        """Do nothing: each line is written at once."""

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
            # The reader has closed its end: nobody will read any more.
            return
        self.tail = data[written:]
