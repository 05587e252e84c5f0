"""Requests whose upstreams want none, for good or for a time."""

from functools import partial

from pollenstile.forward._sendwait import SendWait
from pollenstile.forward._types import NotRun
from pollenstile.permission import events

_MS = 1000


def without_withdrawn(core, views):
    """Return those of some upstreams that want requests."""
    permissions = core.permissions
    if not permissions.is_any_withdrawn():
        return views
    return [
        view
        for view in views
        if permissions.withdrawn(view.incarnation) is None
    ]


def _log_held_back(core, exchange, held_back, choice):
    core.permissions.rests.note_held_back(held_back.view.incarnation)
    core.log(
        events.REST_HELD_BACK,
        request=exchange.ident,
        service=exchange.service,
        peer=held_back.view.ident,
        choice=choice,
        wait_ms=int(held_back.wait * _MS),
    )


def withdrawn_wait(core, exchange, tried=()):
    """Return a request's :class:`SendWait`, or None.

    Explanation
    ===========

    Its view is the upstream that wants requests again first, and its reason is
    what that upstream has stated; see :class:`~pollenstile.permission.Block`.

    Parameters
    ==========

    exchange : Exchange
        The request.
    tried : sequence of str
        Identifiers of upstreams to leave out.

    Returns
    =======

    SendWait or None
        None if any upstream wants requests, or none is known to want them again
        at some time.
    """
    if not core.permissions.is_any_withdrawn():
        return None
    blocked = []
    for view in core.registry.usable(exchange.service, exchange.software):
        if view.ident in tried:
            continue
        block = core.permissions.withdrawn(view.incarnation)
        if block is None:
            return None
        if block.until is not None:
            blocked.append((view, block))
    if not blocked:
        return None
    view, block = min(blocked, key=lambda pair: pair[1].until)
    wait = max(0.0, block.until - core.clock.seconds())
    return SendWait(
        view,
        block.reason,
        wait,
        _log_held_back,
        # The end of the time is known, and lets all requests go on together. So
        # they may wait until their deadline: a late answer is worth more than a
        # refusal, as the hosts that callers come back to may have been asked
        # too.
        takes_turns=False,
    )


def withdrawal_check(permissions, view):
    """Return the check of a call to an upstream; see :class:`Call`.

    Explanation
    ===========

    The upstream may state that it wants no requests while a connection to it is
    being opened, which can take as long as the timeout of a handshake.

    Parameters
    ==========

    permissions : Permissions
        What upstreams state.
    view : UpstreamView or Worker
        The upstream.
    """

    return partial(withdrawn_outcome, permissions, view)


def withdrawn_outcome(permissions, view):
    """Return the outcome of a request that its upstream does not want, or None.

    Parameters
    ==========

    permissions, view
        See :func:`withdrawal_check`.
    """
    block = permissions.withdrawn(view.incarnation)
    if block is None:
        return None
    return NotRun(block.reason, view.ident, arrived=False)
