"""Keeps streams to the software version that began them."""

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
        is_doubtful = core.doubts.is_doubtful(view.incarnation)
        exchange.software = _UNKNOWN_SOFTWARE if is_doubtful else view.software
    if exchange.route.resumable:
        core.origins.note_began(
            _key(exchange), exchange.service, exchange.software, exchange.ends
        )


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
