"""Upstreams of a live run: HTTP servers with faults, each behind a proxy."""

import re
from functools import partial
from zlib import crc32

import msgspec
from twisted.internet.defer import Deferred, gatherResults, maybeDeferred
from twisted.internet.tcp import Server as ServerConnection
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request, Site

from pollenstile.forward import FREE_TARGET, RUN_TARGET, HeaderNames
from pollenstile.ops.http import disable_access_log
from pollenstile.soak.live._loopback import LOOPBACK
from pollenstile.soak.live._proxy import Proxy
from pollenstile.soak.live._records import (
    Fault,
    RunRecord,
    Silence,
    Withdrawal,
)

NAMES = HeaderNames()
PLAIN = 'lookup'
ENGINES = 'engines'
STAGES = ('encode', 'rerank')
# Number of events of a stream.
EVENTS = 12
# Fewest and most repeats of the text of a lookup's answer; the request decides.
_MIN_REPEATS = 4
_MAX_REPEATS = 60
# Bytes that an upstream reads at once, so that of an upload of the least size
# some is unread when its head is known.
_READ_BYTES = 8192
_LEAST_UNREAD_BYTES = 2 * _READ_BYTES
# Seconds for which an upstream is cold, counted by a host from when it reads
# the entry, and the requests a second that it may get meanwhile.
COLD_SECONDS = 1.0
COLD_RATE = 6.0
# Prefix in the target of requests that crash the upstream that runs them, and
# seconds until the crash.
CRASHING_PREFIX = 'deadly'
# Part of a prompt that crashes the engine that answers on it, and the prefix of
# the contents that hold it; no two are alike.
DEADLY_PART = 'deadly-part'
_CRASH_DELAY_SECONDS = 0.03
# Requests a second that an upstream accepts while it is limited.
LIMITED_RATE = 2.0
# Share of its requests that a shedding upstream turns away, and the seconds of
# rest that it asks for.
_SHED_SHARE = 0.4
REST_SECONDS = 2.0
# For whom malformed answers are: no request or stage result is called so.
NOBODY = 'nobody'
# Parts in which the answer of a lookup is sent, if not at once.
_LOOKUP_PARTS = 4
# Seconds that a stage call takes.
_WORK_SECONDS = 0.08
_SLOW_WORK_SECONDS = 0.6
# An event as ``stream_event`` writes it.
_EVENT = re.compile(rb'id: (\d+)\ndata: [^/]+/\d+/(\S+)\n\n')
# Identifiers of requests in the bytes of a request or of a batch of pieces.
_IDENT = re.compile(rb'(?i)(?:x-attempt: |"request":")([\w-]+)')
_MISDIRECTED = 421
_UNAVAILABLE = 503
_NOT_FOUND = 404
_CONFLICT = 409
_FAILED = 500


def lookup_body(ident):
    """Return the complete body of a lookup's answer."""
    repeats = crc32(ident.encode()) % (_MAX_REPEATS - _MIN_REPEATS)
    return f'answer of {ident};'.encode() * (_MIN_REPEATS + repeats)


def raw_head(request):
    """Return the first lines of a success of a request, without its framing."""
    headers = request.responseHeaders.getAllRawHeaders()
    return b'HTTP/1.1 200 OK\r\n%s' % header_lines(headers)


def header_lines(headers):
    """Return the lines of a head.

    Parameters
    ==========

    headers : iterable of tuple
        Names, and lists of their values.
    """
    return b''.join(
        b'%s: %s\r\n' % (name, content)
        for name, values in headers
        for content in values
    )


def stream_event(ident, number, software):
    """Return one event of a stream, made by a software version."""
    return f'id: {number}\ndata: {ident}/{number}/{software}\n\n'.encode()


def events_in(body):
    """Return number and software version of each complete event of a stream."""
    return [
        (int(number), software.decode())
        for number, software in _EVENT.findall(body)
    ]


class Server:
    """One incarnation of an upstream.

    Parameters
    ==========

    world : World
        Clock, random generator, records and results of the run.
    service, ident, domain : str
        Service, incarnation and failure domain.
    software : str
        Version of its software.
    port : int
        Port at which hosts find it; 0 for a free one.

    Attributes
    ==========

    fault : str
        ``''``, ``'hang'``, ``'fail'``, ``'lose'`` (runs the request and resets
        the connection), ``'cut'`` (closes it within the answer) or ``'slow'``.
    rate : float
        Requests a second that its answers state; 0 if they state none.
    leaving : bool
        Whether its answers state that it leaves.
    shedding : bool
        Whether it turns requests away and asks for rest.
    endless : EndlessSource or None
        Answers all requests with bytes that never end.
    malformed : MalformedSource or None
        Answers all requests with a malformed head.
    silences : list of Silence
        The current reasons why it stands still: it neither reads nor writes.
    waiting : list of function
        What it does as it goes on.
    """

    def __init__(self, world, service, ident, domain, software, port=0):
        self.world = world
        self.service = service
        self.ident = ident
        self.domain = domain
        self.software = software
        self.fault = ''
        self.rate = 0.0
        self.leaving = False
        self.shedding = False
        self.endless = None
        self.malformed = None
        self.silences = []
        self.waiting = []
        self.proxy = Proxy(world.reactor, port)
        self.proxy.on_sent = self._note_sent
        resource = _RESOURCES.get(service, _StageResource)(self)
        site = disable_access_log(Site(resource, requestFactory=_Request))
        self.port = world.reactor.listenTCP(0, site, 512, LOOPBACK)
        self.port.transport = _SmallReads
        self.proxy.target = (LOOPBACK, self.port.getHost().port)

    @property
    def address(self):
        """Address of the proxy, which hosts connect to."""
        host, port = self.proxy.address
        return f'{host}:{port}'

    def entry(self, *, leaving=False):
        """Return the upstream's entry for the registry."""
        return {
            'service': self.service,
            'address': self.address,
            'domain': self.domain,
            'slots': 16,
            'leaving': leaving,
            'software': self.software,
            'cold_seconds': 0.0 if leaving else COLD_SECONDS,
        }

    def record_run(self, ident, team=''):
        """Record a run of a request; return the record."""
        now = self.world.reactor.seconds()
        run = RunRecord(ident, self.ident, now, team)
        self.world.records.runs.append(run)
        return run

    def later(self, seconds, function, *arguments):
        """Call a function after some seconds, or as the upstream goes on."""
        call = partial(function, *arguments)
        self.world.reactor.callLater(seconds, self._call, call)

    def stand_still(self):
        """Neither read nor write until it goes on; return the Silence."""
        self.proxy.still = True
        silence = Silence(self.ident, self.world.reactor.seconds())
        self.silences.append(silence)
        self.world.records.silences.append(silence)
        return silence

    def go_on(self, silence):
        """End a silence; go on where it began, unless another one lasts."""
        silence.ended = self.world.reactor.seconds()
        self.silences.remove(silence)
        if self.silences:
            return
        waiting = self.waiting
        self.waiting = []
        for call in waiting:
            call()
        self.proxy.go_on()

    def work_seconds(self, usual=_WORK_SECONDS):
        """Return the duration of a call in seconds."""
        return _SLOW_WORK_SECONDS if self.fault == 'slow' else usual

    def crash(self):
        """Reset all connections and stop listening; return a Deferred."""
        self.proxy.target = None
        ended = [
            maybeDeferred(self.proxy.close),
            maybeDeferred(self.port.stopListening),
        ]
        return gatherResults(ended)

    def kill(self):
        """End as a killed process; return a Deferred of the free port."""
        ended = [
            maybeDeferred(self.proxy.kill_server),
            maybeDeferred(self.port.stopListening),
        ]
        return gatherResults(ended)

    def _call(self, call):
        if self.silences:
            self.waiting.append(call)
        else:
            call()

    def _note_sent(self, data, *, is_lost):
        records = self.world.records
        now = self.world.reactor.seconds()
        for found in _IDENT.findall(data):
            ident = found.decode()
            records.sent.append(RunRecord(ident, self.ident, now))
            if is_lost:
                records.lost.add(ident)


class _SmallReads(ServerConnection):
    """A connection of which few bytes are read at once."""

    bufferSize = _READ_BYTES


class _Request(Request):
    """A request that may be answered before its body is read."""

    def gotLength(self, length):
        """Take the length of the body; called by twisted."""
        super().gotLength(length)
        self.channel.site.resource.answer_unread(self, length or 0)


class _FaultyResource(Resource):
    """A resource with faults, which checks a request's expected incarnation."""

    isLeaf = True
    content_type = b'text/plain'

    def __init__(self, server):
        super().__init__()
        self.server = server
        self.clock = server.world.reactor

    def render(self, request):
        """Serve a request; called by twisted."""
        attempt = request.getHeader(NAMES.attempt) or b''
        if not self._is_expected(request):
            request.setHeader(NAMES.not_run, b'1')
            request.setResponseCode(_MISDIRECTED)
            return b''
        if self.server.fault == 'hang':
            self.note(request, attempt.decode())
            return NOT_DONE_YET
        if CRASHING_PREFIX.encode() in request.uri:
            self.note(request, attempt.decode())
            content = attempt.decode().rpartition('-')[0]
            self.server.later(_CRASH_DELAY_SECONDS, self._crash_server, content)
            return NOT_DONE_YET
        self._set_proof(request, attempt)
        if self.server.rate:
            request.setHeader(NAMES.rate, f'{self.server.rate:g}')
        self._note_reached(attempt.decode())
        if self.server.leaving:
            request.setHeader(NAMES.leaving, b'1')
            self._note_withdrawal(attempt.decode(), float('inf'))
        return self._answer_or_turn_away(request, attempt.decode())

    def answer_unread(self, request, length):
        """Answer a request whose body is not read, if its upstream is to."""
        server = self.server
        endings = server.world.endings
        is_faulty = server.fault or server.endless or server.malformed
        if is_faulty or length < _LEAST_UNREAD_BYTES:
            return
        if not (self._is_expected(request) and endings.leaves_unread()):
            return
        attempt = request.getHeader(NAMES.attempt)
        self._set_proof(request, attempt)
        request.setHeader(b'content-type', self.content_type)
        run = self.note(request, attempt.decode())
        request.channel.transport.pauseProducing()
        endings.answer_unread(server, request, run, self.parts(request, run))

    def parts(self, request, run):
        """Return the parts of the answer to a request."""
        raise NotImplementedError

    def _is_expected(self, request):
        expected = request.getHeader(NAMES.expect)
        return expected is None or expected.decode() == self.server.ident

    def _set_proof(self, request, attempt):
        if attempt:
            request.setHeader(NAMES.attempt, attempt)
            request.setHeader(NAMES.stamp, f'proof of {self.server.ident}')

    def _answer_or_turn_away(self, request, ident):
        source = self.server.endless or self.server.malformed
        if source is not None:
            if ident:
                self.note(request, ident)
            source.answer(self.server, request, ident)
            return NOT_DONE_YET
        if request.method == b'GET':
            # It has no reports.
            request.setResponseCode(_NOT_FOUND)
            return b''
        if self._is_shed():
            return self._turn_away(request, ident)
        return self.serve(request, ident)

    def _is_shed(self):
        rng = self.server.world.rng
        return self.server.shedding and rng.random() < _SHED_SHARE

    def _turn_away(self, request, ident):
        request.setHeader(NAMES.not_run, b'1')
        request.setHeader(NAMES.rest, f'{REST_SECONDS:g}')
        request.setResponseCode(_UNAVAILABLE)
        self._note_withdrawal(ident, REST_SECONDS)
        return b''

    def _note_reached(self, ident):
        now = self.clock.seconds()
        self.server.world.records.reached.append(
            RunRecord(ident, self.server.ident, now)
        )

    def _note_withdrawal(self, ident, seconds):
        now = self.clock.seconds()
        self.server.world.records.withdrawals.append(
            Withdrawal(ident, self.server.ident, now, now + seconds)
        )

    def _crash_server(self, content):
        world = self.server.world
        if self.server.ident in world.servers:
            now = self.clock.seconds()
            world.records.crashes.append((now, content))
            world.records.faults.append(Fault(now, self.server.ident, 'ended'))
            Deferred.fromCoroutine(world.replace_server(self.server))

    def note(self, request, ident):
        """Record a run; return the record, or None if its answer is lost."""
        team = request.getHeader(NAMES.team) or b''
        run = self.server.record_run(ident, team.decode())
        if self.server.fault != 'lose':
            return run
        self.server.later(_WORK_SECONDS, _abort, request)
        return None


class _LookupResource(_FaultyResource):
    """Resource of the lookup service."""

    def serve(self, request, ident):
        """Run a lookup."""
        run = self.note(request, ident)
        if run is None:
            return NOT_DONE_YET
        if self.server.fault == 'fail':
            request.setResponseCode(_FAILED)
            return b'failed'
        usual = self.server.world.lengths.lookup_seconds(ident)
        self.server.later(
            self.server.work_seconds(usual), self._answer, request, run
        )
        return NOT_DONE_YET

    def parts(self, request, run):
        """Return the parts of the answer to a request."""
        body = lookup_body(run.ident)
        size = -(-len(body) // _LOOKUP_PARTS)
        return [body[at : at + size] for at in range(0, len(body), size)]

    def _answer(self, request, run):
        body = lookup_body(run.ident)
        if is_over(request):
            return
        run.work.append(self.clock.seconds())
        if self.server.fault == 'cut':
            request.setHeader(b'content-length', b'%d' % len(body))
            request.write(body[: len(body) // 2])
            self.server.later(_WORK_SECONDS, _close, request)
            return
        parts = self.parts(request, run)
        if self.server.world.endings.answer(self.server, request, run, parts):
            return
        request.write(body)
        request.finish()


class _StreamResource(_FaultyResource):
    """Resource of the engines, which stream events."""

    content_type = b'text/event-stream'

    def serve(self, request, ident):
        """Run a request, or resume one after its last event."""
        header = request.getHeader(NAMES.results) or b''
        handles = [item for item in header.decode().split(',') if item]
        results = self.server.world.results
        if NOBODY in handles:
            self.server.world.records.broken.append(
                f'mixed: {ident} received the result of a malformed answer'
            )
        if not handles or any(item not in results for item in handles):
            request.setHeader(NAMES.not_run, b'1')
            request.setResponseCode(_CONFLICT)
            return b''
        for handle in handles:
            if results[handle] != ident:
                self.server.world.records.broken.append(
                    f'mixed: {ident} received a result of {results[handle]}'
                )
        run = self.note(request, ident)
        if run is None:
            return NOT_DONE_YET
        request.setHeader(b'content-type', self.content_type)
        parts = self.parts(request, run)
        is_cut = self.server.fault == 'cut'
        endings = self.server.world.endings
        if is_cut or not endings.answer(self.server, request, run, parts):
            self._write_event(request, run, EVENTS - len(parts) + 1)
        return NOT_DONE_YET

    def parts(self, request, run):
        """Return the events that a request asks for."""
        last = int(request.getHeader(NAMES.last_event) or b'0')
        return [
            stream_event(run.ident, number, self.server.software)
            for number in range(last + 1, EVENTS + 1)
        ]

    def _write_event(self, request, run, number):
        if is_over(request):
            return
        run.work.append(self.clock.seconds())
        event = stream_event(run.ident, number, self.server.software)
        if self.server.fault == 'cut' and number > EVENTS // 2:
            request.write(event[:7])
            self.server.later(_WORK_SECONDS, _close, request)
            return
        if number <= EVENTS:
            request.write(event)
        if number >= EVENTS:
            request.finish()
            return
        gap = self.server.world.lengths.event_gap(run.ident)
        self.server.later(gap, self._write_event, request, run, number + 1)


class _StageResource(_FaultyResource):
    """Resource of the stage services, which run batches of pieces."""

    def serve(self, request, ident):
        """Run a batch, or release results."""
        content = request.content.read()
        results = self.server.world.results
        if request.path == FREE_TARGET:
            for handle in msgspec.json.decode(content):
                results.pop(handle, None)
            return b''
        assert request.path == RUN_TARGET
        if self.server.fault == 'fail':
            request.setResponseCode(_FAILED)
            return b''
        pieces = msgspec.json.decode(content)
        self.server.later(
            self.server.work_seconds(), self._finish_batch, request, pieces
        )
        return NOT_DONE_YET

    def _finish_batch(self, request, pieces):
        handles = [self._run_piece(piece) for piece in pieces]
        if self.server.fault == 'lose':
            _abort(request)
            return
        if is_over(request):
            return
        request.write(msgspec.json.encode(handles))
        request.finish()

    def _run_piece(self, piece):
        world = self.server.world
        if any(
            input_handle not in world.results
            for input_handle in piece['inputs']
        ):
            return ''
        for input_handle in piece['inputs']:
            if world.results[input_handle] != piece['request']:
                world.records.broken.append(f'mixed piece: {piece}')
        world.result_count += 1
        handle = f'{self.server.address}/{world.result_count}'
        world.results[handle] = piece['request']
        return handle


_RESOURCES = {PLAIN: _LookupResource, ENGINES: _StreamResource}


def is_over(request):
    """Return whether nothing more can be sent to a request."""
    return request._disconnected or request.finished  # noqa: WPS437


def _abort(request):
    if not is_over(request):
        request.transport.abortConnection()


def _close(request):
    if not is_over(request):
        request.channel.loseConnection()
