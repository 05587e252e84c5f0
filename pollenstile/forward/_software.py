"""Keeps streams to the software version that began them."""

from twisted.internet.defer import Deferred

from pollenstile.forward._processes import Process
from pollenstile.forward._types import NotRun, Refusal
from pollenstile.forward._withdrawn import withdrawn_outcome
from pollenstile.origins import OriginUnknown, origin_key
from pollenstile.origins.events import STREAM_BOUND, STREAM_UNBOUND
from pollenstile.routes import Kind

UNKNOWN_REASON = 'unknown version'
NO_UPSTREAM_REASON = 'no upstream of its version'
_STEP = 'version'
# Version of a stream that began at an upstream whose version is not known: no
# upstream has it.
_UNKNOWN_SOFTWARE = 'unknown/'
_UNAVAILABLE = 503
# Processes at which a stream may go on. Where upstreams state no start, the
# registry alone tells which of them have ended.
_MAY_GO_ON = frozenset((Process.LISTED, Process.UNSTATED))
# Reports that are asked for until one shows the process of a new stream.
_REPORT_TRIES = 3
# Seconds after which an upstream that crashed has mostly started again, and for
# which a version without any may still come back.
_RESTART_SECONDS = 2.0
_RETURN_SECONDS = 5.0


async def version_refusal(core, exchange):
    """Bind a stream that is taken up to its version.

    Explanation
    ===========

    What two versions write does not fit together. A stream whose version this
    host can't tell is refused, as is one whose version has no upstream: sent to
    any other one, it would be a success that is wrong.

    Returns
    =======

    Refusal or None
        None for a new stream, and for one that can go on.
    """
    if not _is_taken_up(exchange):
        return None
    service = exchange.service
    origin = await core.origins.find(_key(exchange), service)
    if isinstance(origin, OriginUnknown):
        core.log(
            STREAM_UNBOUND,
            request=exchange.ident,
            resumes=exchange.resumes,
            service=service,
            versions=list(origin.versions),
        )
        wait = origin.retry_after
        return Refusal(_UNAVAILABLE, UNKNOWN_REASON, _STEP, service, wait)
    exchange.software = origin.software
    core.log(
        STREAM_BOUND,
        request=exchange.ident,
        resumes=exchange.resumes,
        service=service,
        software=origin.software or '',
        source=origin.source,
    )
    await core.origins.read_unlisted(service, origin.software)
    return _absent_refusal(core, exchange)


def usable_for(core, exchange):
    """Return the views of the upstreams that a request may go to.

    Explanation
    ===========

    A stream that goes on needs an upstream whose version is known. One that
    begins prefers such upstreams while the store is away: nobody could tell
    where it goes on.
    """
    views = core.registry.usable(exchange.service, exchange.software)
    is_new = exchange.software is None
    if not exchange.route.resumable:
        return views
    if is_new and core.origins.history.is_in_contact():
        return views
    known = [
        view for view in views if not core.doubts.is_doubtful(view.incarnation)
    ]
    return views if is_new and not known else known


def note_event(core, exchange, view):
    """Record that an upstream made an event which is passed on to the caller.

    Parameters
    ==========

    view : UpstreamView
        The upstream.
    """
    if exchange.software is None:
        _note_begun(core, exchange, view)
    elif exchange.software != _UNKNOWN_SOFTWARE:
        _note_began(core, exchange)


def process_check(core, exchange, view):
    """Return the check of the process that a stream goes on at, or None.

    Explanation
    ===========

    A successor under the same identifier would accept the request. No host need
    have noticed its start: it may listen before a broken connection is looked
    into. The report is asked for once the connection is open, so the process
    that it names is the one that the connection leads to, or a later one.

    Returns
    =======

    function or None
        See :class:`~pollenstile.forward._call.Call`; None where the request may
        go to any process, or the registry states no starts.
    """
    if exchange.software is None or not view.born:
        return None

    def check():
        return Deferred.fromCoroutine(_process_refusal(core, view))

    return check


def send_refusal(core, exchange, view):
    """Return why a request must not be sent on its open connection, or None.

    Explanation
    ===========

    While the connection opens, the upstream may state that it wants no requests
    or start again in another version. A successor under the same identifier
    would accept the request.
    """
    current = core.registry.views.get(view.ident, view)
    is_bound = exchange.software is not None
    if is_bound and (
        exchange.software != current.software
        or core.doubts.is_doubtful(view.incarnation)
    ):
        return NotRun('another version', view.ident, arrived=False)
    return withdrawn_outcome(core.permissions, view)


def restart_wait(core, exchange):
    """Return the seconds after which a stream's version may be back.

    Explanation
    ===========

    0 while it has an upstream that is reachable, and if it has been gone for so
    long that it won't come back. Callers that came back sooner would use up
    their tries.
    """
    software = exchange.software
    if software is None:
        return 0.0
    views = usable_for(core, exchange)
    if any(not view.unreached_since for view in views):
        return 0.0
    history = core.origins.history
    since = history.seconds_since_gone(exchange.service, software)
    return _RESTART_SECONDS if since < _RETURN_SECONDS else 0.0


async def _process_refusal(core, view):
    process = await core.processes.ask_now(view)
    if process in _MAY_GO_ON:
        return None
    return NotRun(
        f'process {process.value}',
        view.ident,
        arrived=False,
        is_unfit=process is Process.LATER,
    )


def _note_begun(core, exchange, view):
    """Record the version of a new stream once its process is certain.

    Explanation
    ===========

    A host that did not notice the restart of an upstream would take the version
    from the entry of the process before. Until the version is known, the stream
    goes on nowhere else.
    """
    if _is_certain(core, exchange, view):
        exchange.software = view.software
        _note_began(core, exchange)
        return
    exchange.software = _UNKNOWN_SOFTWARE
    if not view.born or core.doubts.is_doubtful(view.incarnation):
        _note_began(core, exchange)
        return
    shown = Deferred.fromCoroutine(_note_shown(core, exchange, view))
    core.origins.hold(_key(exchange), shown)


def _is_certain(core, exchange, view):
    """Return whether an upstream's version is that of its entry."""
    if not exchange.route.resumable:
        return True
    if not view.born:
        return not core.doubts.is_doubtful(view.incarnation)
    return core.doubts.is_sure(view.incarnation)


async def _note_shown(core, exchange, view):
    """Record what an upstream's reports show of the version of a stream.

    Explanation
    ===========

    A report that states the listed start also tells of the time before it, so a
    later one serves as well if there is no answer.
    """
    process = Process.UNKNOWN
    for _ in range(_REPORT_TRIES):
        process = await core.processes.ask_together(view)
        if process is not Process.UNKNOWN:
            break
    if process in _MAY_GO_ON:
        exchange.software = view.software
    _note_began(core, exchange)


def _note_began(core, exchange):
    if exchange.route.resumable:
        core.origins.note_began(
            _key(exchange), exchange.service, exchange.software, exchange.ends
        )


def _is_taken_up(exchange):
    route = exchange.route
    if route.kind is not Kind.STREAM or not route.resumable:
        return False
    return bool(exchange.resumes or exchange.last_event)


def _key(exchange):
    return origin_key(exchange.team, exchange.service, exchange.origin)


def _absent_refusal(core, exchange):
    """Return the refusal of a stream whose version has no upstream, or None."""
    service = exchange.service
    software = exchange.software
    if software is None or usable_for(core, exchange):
        return None
    wait = restart_wait(core, exchange)
    return Refusal(_UNAVAILABLE, NO_UPSTREAM_REASON, _STEP, service, wait)
