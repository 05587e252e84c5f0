"""Which process listens at the address of an upstream."""

import enum
from functools import partial

from twisted.internet.defer import Deferred

from pollenstile.forward import events
from pollenstile.forward._response import read_response
from pollenstile.forward._types import Lost
from pollenstile.ops.bounded import drop_oldest
from pollenstile.ops.logs import silent_log
from pollenstile.ops.loops import start_step
from pollenstile.platform import SharedReads

_LOOP = 'reports of upstreams'
_OK_STATUS = 200
# Statuses of an upstream that has no reports.
_WITHOUT_REPORT = frozenset((404, 405, 501))
_MAX_REPORT_BYTES = 65536
# Timeout of a report, which takes a few ms.
_REPORT_SECONDS = 0.5
# Time in which the streams that wait for a report of one upstream share it.
# Keepers are told of streams as often.
_GATHER_SECONDS = 0.25
# Upstreams whose reports are shared.
_MAX_REPORTS = 512


class Process(enum.Enum):
    """Process that listens at the address of an upstream."""

    # The one that the registry lists.
    LISTED = 'listed'
    # One that started later.
    LATER = 'later'
    # The upstream has no reports, or they state no start.
    UNSTATED = 'unstated'
    # There was no answer, or none that can be read.
    UNKNOWN = 'unknown'


class Processes:
    """Asks upstreams for their reports, which state when they started.

    Explanation
    ===========

    The processes of an upstream listen at its address one after the other. So
    a connection that was open before a report was asked for leads to the
    process that the registry lists if the report still states its start.

    Parameters
    ==========

    clock : IReactorTime
        Measures the timeout of a report.
    client : HttpClient
        Sends the requests.
    codec : object
        Encodes a request for a report, and decodes the start that it states.
    doubts : VersionDoubts
        Learns what the reports show.
    log : function
        Writes events.

    Attributes
    ==========

    waiting : dict
        Deferreds that wait for the next shared report, by incarnation.
    reports : dict
        :class:`SharedReads` of reports, by incarnation, oldest first.
    """

    __slots__ = (
        'client',
        'clock',
        'codec',
        'doubts',
        'log',
        'reports',
        'waiting',
    )

    def __init__(self, clock, client, codec, doubts, log=silent_log):
        self.clock = clock
        self.client = client
        self.codec = codec
        self.doubts = doubts
        self.log = log
        self.waiting = {}
        self.reports = {}

    def ask_now(self, view):
        """Return a Deferred of the :class:`Process` that listens from now on.

        Explanation
        ===========

        Streams that ask at the same time share a report, so that an upstream
        does not get a second connection for each of them.
        """
        name = view.incarnation
        if name not in self.reports:
            self.reports[name] = SharedReads(
                self.clock,
                partial(self.ask, view),
                _no_pause,
                self.log,
                Process.UNKNOWN,
            )
            drop_oldest(self.reports, _MAX_REPORTS)
        return self.reports[name].begun_now(2 * _REPORT_SECONDS)

    async def ask(self, view):
        """Return the :class:`Process` that listens now, by its report."""
        asked_at = self.clock.seconds()
        process, reason = await self._reported(view)
        name = view.incarnation
        if process is Process.LISTED:
            self.doubts.note_same(name, asked_at)
        elif process is Process.LATER:
            self.doubts.note_followed(name)
        self.log(
            events.UPSTREAM_REPORTED,
            peer=view.ident,
            address=view.address,
            born=view.born,
            process=process.value,
            reason=reason,
        )
        return process

    def ask_together(self, view):
        """Return a Deferred of the result of the next shared report."""
        name = view.incarnation
        waiter = Deferred()
        waiters = self.waiting.setdefault(name, [])
        if not waiters:
            self.clock.callLater(_GATHER_SECONDS, self._ask_for_all, view)
        waiters.append(waiter)
        return waiter

    def _ask_for_all(self, view):
        waiters = self.waiting.pop(view.incarnation)
        start_step(self.log, _LOOP, self._answer_all(view, waiters))

    async def _answer_all(self, view, waiters):
        process = await self.ask_now(view)
        for waiter in waiters:
            waiter.callback(process)

    async def _reported(self, view):
        """Return the process, and why its report was not received."""
        target, headers = self.codec.report(view.address)
        call = self.client.send(view.address, b'GET', target, headers, b'')
        work = Deferred.fromCoroutine(read_response(call, _MAX_REPORT_BYTES))
        work.addTimeout(_REPORT_SECONDS, self.clock)
        work.addErrback(_unread)
        status, head, content = await work
        call.cancel()
        if status in _WITHOUT_REPORT:
            return Process.UNSTATED, ''
        if status != _OK_STATUS:
            return Process.UNKNOWN, getattr(head, 'reason', f'status {status}')
        return _process_of(view, self.codec.report_born(content)), ''


def _process_of(view, born):
    """Return the process by the start that a report states, if any."""
    if born is None:
        return Process.UNKNOWN
    if not born:
        return Process.UNSTATED
    return Process.LISTED if born == view.born else Process.LATER


def _no_pause():
    """Return that a report may be asked for after any other one."""
    return 0.0


def _unread(failure):
    """Return what stands for an answer that was not received whole."""
    return 0, Lost(failure.type.__name__), b''
