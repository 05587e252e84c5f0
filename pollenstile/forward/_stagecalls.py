"""Calls to stage services: batches of pieces, and releases of results."""

from collections import Counter

from twisted.internet.defer import CancelledError, Deferred, TimeoutError

from pollenstile.forward._crashes import incarnation_of
from pollenstile.forward._response import read_response
from pollenstile.forward._types import Lost, NotRun
from pollenstile.forward._withdrawn import withdrawal_check
from pollenstile.ops.documents import TooLongError
from pollenstile.ops.logs import silent_log
from pollenstile.quarantine import Suspect
from pollenstile.stagework import CallLost
from pollenstile.stagework.events import STAGE_RELEASE_FAILED
from pollenstile.statements import read_statements

_OK_STATUS = 200
_MISDIRECTED_STATUS = 421
# Timeout of a release; results that are not released expire by themselves.
_RELEASE_TIMEOUT_SECONDS = 1.0
# Bytes of the longest answer to a call: of its envelope, or of a failure, and
# of each piece's handle or reason. A handle is an address and a short name.
_ENVELOPE_BYTES = 16384
_PIECE_BYTES = 1024
_TOO_LONG = 'answer too long'


class StageCalls:
    """Sends batches and releases to the upstreams of stage services.

    Parameters
    ==========

    clock : IReactorTime
        Provides the time, and timers for the timeouts of the calls.
    client : HttpClient
        Sends requests.
    codec : object
        With ``batch(worker, pieces, now)`` and ``release(address, handles)``,
        which return target, headers and body, and ``results(body, count)``,
        which returns a list of :class:`~pollenstile.stagework.Result` or None.
    names : HeaderNames
        Contains the name of the header by which an upstream states that it
        ran nothing.
    permissions : Permissions
        What upstreams state; gets the statements of answers.

    Attributes
    ==========

    pieces_in : Counter
        Pieces of the calls in flight, by failure domain.
    calls_at : Counter
        Calls in flight, by identifier and start time of the upstream.
    crashes : CrashDetector or None
        Checks whether an upstream that broke a connection has crashed.
    on_answer : function
        Called with an incarnation's name and the time of the call.
    on_misdirected : function or None
        Called with identifier and start time of an upstream whose address now
        has another incarnation.
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
        'permissions',
        'pieces_in',
    )

    def __init__(
        self, clock, client, codec, names, permissions, log=silent_log
    ):
        self.clock = clock
        self.client = client
        self.codec = codec
        self.names = names
        self.permissions = permissions
        self.log = log
        self.on_misdirected = None
        self.pieces_in = Counter()
        self.calls_at = Counter()
        self.crashes = None
        self.on_answer = None

    def attach_crash_detector(self, crashes, quarantine):
        """Report broken calls to a detector, and answers to a quarantine."""
        self.crashes = crashes
        self.on_answer = quarantine.note_answer
        crashes.busy_checks.append(self.is_busy)

    def is_busy(self, upstream):
        """Return whether calls to an incarnation are in flight."""
        return self.calls_at[upstream.ident, upstream.born] > 0

    def call(self, worker, pieces, seconds):
        """Send a batch; return a Deferred of its results or ``CallLost``.

        Parameters
        ==========

        worker : Worker
            The upstream.
        pieces : list of Piece
            The batch.
        seconds : float
            Timeout of the call.
        """
        began = self.clock.seconds()
        work = Deferred.fromCoroutine(self._send_batch(worker, pieces))
        work.addTimeout(seconds, self.clock)
        work.addErrback(self._call_failed, worker)
        self.pieces_in[worker.domain] += len(pieces)
        self.calls_at[worker.ident, worker.born] += 1
        work.addBoth(self._count_end, worker, len(pieces))
        return work.addCallback(
            lambda outcome: Deferred.fromCoroutine(
                self._check_crash(outcome, worker, pieces, began)
            )
        )

    def release(self, address, handles):
        """Release results; return a Deferred of whether the upstream did so."""
        work = Deferred.fromCoroutine(self._send_release(address, handles))
        work.addTimeout(_RELEASE_TIMEOUT_SECONDS, self.clock)
        return work.addErrback(self._release_failed, address)

    def _count_end(self, outcome, worker, count):
        self.pieces_in[worker.domain] -= count
        key = worker.ident, worker.born
        self.calls_at[key] -= 1
        if not self.calls_at[key]:
            self.calls_at.pop(key)
        return outcome

    async def _check_crash(self, outcome, worker, pieces, began):
        """Check whether a lost call's upstream crashed; return the outcome.

        Explanation
        ===========

        The pieces wait for the check: if they were sent again together, the
        one that causes the crash could not be identified.
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
        checks = [
            self.crashes.note_broken(
                incarnation, Suspect(group.fingerprint, group.team, ran)
            )
            for group in groups.values()
        ]
        await checks[-1]
        return outcome

    async def _send_batch(self, worker, pieces):
        now = self.clock.seconds()
        target, headers, body = self.codec.batch(worker, pieces, now)
        status, response, content = await self._exchange(
            worker.address,
            target,
            headers,
            body,
            len(pieces),
            withdrawal_check(self.permissions, worker),
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
        is_misdirected = status == _MISDIRECTED_STATUS
        if not is_misdirected:
            self._note_statements(pieces[0].group.service, worker, response)
        if is_misdirected or response.headers.hasHeader(self.names.not_run):
            if is_misdirected and self.on_misdirected is not None:
                self.on_misdirected(worker.ident, worker.born)
            return CallLost(f'status {status}', worker.ident, arrived=False)
        results = None
        if status == _OK_STATUS:
            results = self.codec.results(content, len(pieces))
        if results is None:
            return CallLost(f'status {status}', worker.ident, arrived=True)
        return results

    def _note_statements(self, service, worker, response):
        is_proof = response.code == _OK_STATUS
        self.permissions.note_answer(
            worker.incarnation,
            service,
            read_statements(response, self.names, is_proof=is_proof),
        )

    async def _send_release(self, address, handles):
        target, headers, body = self.codec.release(address, handles)
        status, response, _ = await self._exchange(
            address,
            target,
            headers,
            body,
            pieces=0,
        )
        if status != _OK_STATUS:
            self.log(
                STAGE_RELEASE_FAILED,
                peer=address,
                reason=getattr(response, 'reason', f'status {status}'),
            )
        return status == _OK_STATUS

    async def _exchange(
        self, address, target, headers, body, pieces, check=None
    ):
        call = self.client.send(address, b'POST', target, headers, body)
        if check is not None:
            call.check = check
        try:
            return await read_response(
                call, _ENVELOPE_BYTES + pieces * _PIECE_BYTES
            )
        except (CancelledError, TooLongError):
            call.cancel()
            raise

    def _call_failed(self, failure, worker):
        if failure.check(TimeoutError):
            return CallLost('timeout', worker.ident, arrived=True)
        if failure.check(TooLongError):
            return CallLost(_TOO_LONG, worker.ident, arrived=True)
        return CallLost('torn answer', worker.ident, arrived=True, broken=True)

    def _release_failed(self, failure, address):
        self.log(
            STAGE_RELEASE_FAILED,
            peer=address,
            reason=failure.type.__name__,
        )
        return False
