"""Callers of a hard-load run, and the answers to their tries."""

from dataclasses import dataclass
from io import BytesIO

from twisted.web.http_headers import Headers

from pollenstile.bench._streamcallers import StreamCaller, TryAnswer
from pollenstile.routes import Kind
from pollenstile.soak.hardload._tables import key_of
from pollenstile.standin.crashing import NAMES

_MS = 1000
_NOT_RUN_STATUSES = (429, 503)
# Seconds by which an answer may end after its deadline: a step of the clock.
_TOLERANCE_SECONDS = 0.05
# What a caller states that tries to choose a source itself.
FORGED_SOURCE = b'6.6.6.6:6'


@dataclass(slots=True, frozen=True)
class Order:
    """What a caller asks for.

    Parameters
    ==========

    route : Route
        Its route.
    team : str
        Its team.
    pieces : int
        Pieces of its stage work.
    prompt : str
        Value of the header with its prompt parts.
    is_forged : bool
        Whether it names a source of prompt parts.
    """

    route: object
    team: str
    pieces: int
    prompt: str
    is_forged: bool


class LoadAnswer(TryAnswer):
    """Answer to one try.

    Attributes
    ==========

    host : DomainHost or None
        The host that serves the try.
    ends : float
        Deadline of the try, in seconds on the clock.
    first_event : int
        Number of the event with which the answer is to begin.
    """

    def __init__(self, on_end, world, caller, ident):
        super().__init__(on_end)
        self.world = world
        self.ident = ident
        self.route = caller.order.route
        self.host = None
        self.ends = caller.ends
        is_stream = self.route.kind is Kind.STREAM
        self.first_event = caller.last + 1 if is_stream else 1

    def finish(self):
        """Record a complete answer."""
        self._check_end()
        super().finish()

    def abort(self):
        """Record a broken connection."""
        self._check_end()
        super().abort()

    def refuse(self, refusal):
        """Record a refusal by the host itself."""
        self._check_end()
        super().refuse(refusal)

    def leave(self):
        """Close the caller's end of the connection."""
        if self.end:
            return
        self.end = 'left'
        self._report()
        self.work.cancel()

    def is_refused_unrun(self):
        """Return whether it states that the request has not run."""
        return self.end == 'refused' and self.status in _NOT_RUN_STATUSES

    def _check_end(self):
        if self.end:
            self.world.violate('outcomes', self.ident, end=self.end)
        late = self.world.now() - self.ends
        if late > _TOLERANCE_SECONDS and not self.host.gone:
            self.world.violate('late', self.ident, seconds=round(late, 3))


class LoadCaller(StreamCaller):
    """A caller that honours the advice of refusals.

    Parameters
    ==========

    order : Order
        What it asks for.
    """

    __slots__ = ('order',)

    def __init__(self, world, ident, order):
        super().__init__(world, ident, ident.encode())
        self.order = order
        self.ends = world.now() + order.route.timeout

    def new_answer(self):
        """Return the answer of the next try, before it begins."""
        ident = f'{self.ident}-{len(self.answers)}'
        return LoadAnswer(self.end_try, self.world, self, ident)

    def end_try(self, answer):
        """Go on after a try, unless the request may have run only once."""
        self.world.note_end(answer)
        is_once = self.order.route.kind is Kind.ONCE
        if answer.end == 'left' or (is_once and not answer.is_refused_unrun()):
            self.tries = len(self.answers)
        self._on_end(answer)


class ReceivedRequest:
    """A caller's try as a host's front end has received it."""

    def __init__(self, caller, ident):
        self.method = b'POST'
        self.uri = caller.order.route.prefix.encode()
        self.content = BytesIO(caller.body)
        self.requestHeaders = Headers()
        for name, value in _headers(caller, ident, caller.world.now()):
            self.requestHeaders.addRawHeader(name, value)

    def getHeader(self, name):
        """Return the value of a header, or None."""
        values = self.requestHeaders.getRawHeaders(name)
        return values[-1] if values else None


def _headers(caller, ident, now):
    """Return the headers of a try."""
    order = caller.order
    headers = [
        (b'host', b'host'),
        (b'authorization', f'Bearer {key_of(order.team)}'.encode()),
        (NAMES.attempt, ident.encode()),
        (NAMES.deadline, b'%d' % max(1, int((caller.ends - now) * _MS))),
        (NAMES.counts, b'%d' % order.pieces),
        (NAMES.stage_key, caller.ident.encode()),
        (NAMES.prompt, order.prompt.encode()),
    ]
    if caller.last:
        headers.append((NAMES.last_event, b'%d' % caller.last))
        headers.append((NAMES.resumes, caller.origin.encode()))
    if order.is_forged:
        headers.append((NAMES.part_source.upper(), FORGED_SOURCE))
    return headers
