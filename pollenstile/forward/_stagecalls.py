"""Calls of stage services: batches of pieces, and releases of results."""

from collections import Counter

from twisted.internet.defer import CancelledError, Deferred, TimeoutError
from twisted.web.client import readBody

from pollenstile.forward._crashes import incarnation_of
from pollenstile.forward._types import Lost, NotRun
from pollenstile.ops.logs import silent_log
from pollenstile.quarantine import Suspect
from pollenstile.stagework import CallLost
from pollenstile.stagework.events import STAGE_RELEASE_FAILED

_OK = 200
# Seconds for a release; what it names lapses by itself.
_RELEASE_SECONDS = 1.0


class StageCalls:
    """Sends batches to upstreams of stages.

    Parameters
    ==========

    clock : IReactorTime
        Bounds the calls.
    client : HttpClient
        Sends requests.
    codec : object
        With ``batch(worker, pieces, now)`` and ``release(address, handles)``,
        which return target, headers and body, and ``results(body, count)``,
        which returns a list of :class:`~pollenstile.stagework.Result` or None.
    names : HeaderNames
        Of the header that says that nothing was run.

    Attributes
    ==========

    pieces_in : Counter
        Pieces of the calls that are under way, by failure domain.
    calls_at : Counter
        Calls that are under way, by identifier and start of the upstream.
    crashes : Crashes or None
        Finds out whether an upstream that broke a call off has ended.
    on_answer : function
        Called with an incarnation's name and when it was asked.
    """

    __slots__ = (
        'calls_at',
        'client',
        'clock',
        'codec',
        'crashes',
        'log',
        'names',
        'on_answer',
        'on_misdirected',
        'pieces_in',
    )

    def __init__(self, clock, client, codec, names, log=silent_log):
        self.clock = clock
        self.client = client
        self.codec = codec
        self.names = names
        self.log = log
        self.on_misdirected = None
        self.pieces_in = Counter()
        self.calls_at = Counter()
        self.crashes = None
        self.on_answer = None

    def attach_crash_detector(self, crashes, quarantine):
        """Report what was under way at upstreams that crash."""
        self.crashes = crashes
        self.on_answer = quarantine.note_answer
        crashes.busy_checks.append(self.is_busy)

    def is_busy(self, upstream):
        """Return whether calls are under way at an incarnation."""
        return self.calls_at[upstream.ident, upstream.born] > 0

    def call(self, worker, pieces, seconds):
        """Return a Deferred of the pieces' results, or of ``CallLost``."""
        began = self.clock.seconds()
        work = Deferred.fromCoroutine(self._called(worker, pieces))
        work.addTimeout(seconds, self.clock)
        work.addErrback(self._gave_up, worker)
        self.pieces_in[worker.domain] += len(pieces)
        self.calls_at[worker.ident, worker.born] += 1
        work.addBoth(self._ended, worker, len(pieces))
        return work.addCallback(
            lambda outcome: Deferred.fromCoroutine(
                self._examined(outcome, worker, pieces, began)
            )
        )

    def release(self, address, handles):
        """Release results at their maker; return a Deferred of success."""
        work = Deferred.fromCoroutine(self._released(address, handles))
        work.addTimeout(_RELEASE_SECONDS, self.clock)
        return work.addErrback(self._not_released, address)

    def _ended(self, outcome, worker, count):
        self.pieces_in[worker.domain] -= count
        place = worker.ident, worker.born
        self.calls_at[place] -= 1
        if not self.calls_at[place]:
            self.calls_at.pop(place)
        return outcome

    async def _examined(self, outcome, worker, pieces, began):
        """Learn whether a call's upstream has ended; return the outcome.

        Explanation
        ===========

        The pieces wait until that is known: sent again together, none of them
        could be told from the one that is to blame.
        """
        if self.crashes is None:
            return outcome
        incarnation = incarnation_of(pieces[0].group.service, worker)
        if not isinstance(outcome, CallLost):
            self.on_answer(incarnation.name, began)
            return outcome
        if not outcome.broken:
            return outcome
        ran = self.clock.seconds() - began
        groups = {piece.group.ident: piece.group for piece in pieces}
        looks = [
            self.crashes.note_broken(
                incarnation, Suspect(one.content, one.team, ran)
            )
            for one in groups.values()
        ]
        await looks[-1]
        return outcome

    async def _called(self, worker, pieces):
        now = self.clock.seconds()
        target, headers, body = self.codec.batch(worker, pieces, now)
        status, response, content = await self._exchanged(
            worker.address,
            target,
            headers,
            body,
        )
        if isinstance(response, NotRun):
            return CallLost(response.reason, worker.ident, arrived=False)
        if isinstance(response, Lost):
            return CallLost(
                response.reason,
                worker.ident,
                arrived=True,
                broken=response.broken,
            )
        if response.headers.hasHeader(self.names.not_run) or status == 421:
            if status == 421 and self.on_misdirected is not None:
                self.on_misdirected(worker.ident, worker.born)
            return CallLost(f'status {status}', worker.ident, arrived=False)
        results = None
        if status == _OK:
            results = self.codec.results(content, len(pieces))
        if results is None:
            return CallLost(f'status {status}', worker.ident, arrived=True)
        return results

    async def _released(self, address, handles):
        target, headers, body = self.codec.release(address, handles)
        status, response, _ = await self._exchanged(
            address,
            target,
            headers,
            body,
        )
        if status != _OK:
            self.log(
                STAGE_RELEASE_FAILED,
                peer=address,
                reason=getattr(response, 'reason', f'status {status}'),
            )
        return status == _OK

    async def _exchanged(self, address, target, headers, body):
        call = self.client.send(address, b'POST', target, headers, body)
        try:
            return await _whole(call)
        except CancelledError:
            call.cancel()
            raise

    def _gave_up(self, failure, worker):
        if failure.check(TimeoutError):
            return CallLost('timeout', worker.ident, arrived=True)
        return CallLost('torn answer', worker.ident, arrived=True, broken=True)

    def _not_released(self, failure, address):
        self.log(
            STAGE_RELEASE_FAILED,
            peer=address,
            reason=failure.type.__name__,
        )
        return False


async def _whole(call):
    """Return status, head and body of a call; status 0 when there is none."""
    response = await call.head
    if isinstance(response, (NotRun, Lost)):
        return 0, response, b''
    content = await readBody(response)
    call.close()
    return response.code, response, content
