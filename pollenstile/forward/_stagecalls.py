"""Calls of stage services: batches of pieces, and releases of results."""

from collections import Counter

from twisted.internet.defer import CancelledError, Deferred, TimeoutError
from twisted.web.client import readBody

from pollenstile.forward._types import Lost, NotRun
from pollenstile.ops.logs import silent_log
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
        which returns a list of :class:`~pollenstile.stagework.Made` or None.
    names : HeaderNames
        Of the header that says that nothing was run.

    Attributes
    ==========

    pieces_in : Counter
        Pieces of the calls that are under way, by failure domain.
    """

    __slots__ = (
        'client',
        'clock',
        'codec',
        'log',
        'names',
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

    def call(self, worker, pieces, seconds):
        """Return a Deferred of the pieces' results, or of ``CallLost``."""
        work = Deferred.fromCoroutine(self._called(worker, pieces))
        work.addTimeout(seconds, self.clock)
        work.addErrback(self._gave_up, worker)
        self.pieces_in[worker.domain] += len(pieces)
        return work.addBoth(self._ended, worker.domain, len(pieces))

    def release(self, address, handles):
        """Release results at their maker; return a Deferred of success."""
        work = Deferred.fromCoroutine(self._released(address, handles))
        work.addTimeout(_RELEASE_SECONDS, self.clock)
        return work.addErrback(self._not_released, address)

    def _ended(self, outcome, domain, count):
        self.pieces_in[domain] -= count
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
            return CallLost(response.reason, worker.ident, arrived=True)
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
        reason = 'timeout' if failure.check(TimeoutError) else 'torn answer'
        return CallLost(reason, worker.ident, arrived=True)

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
