"""Requests whose upstreams want none, for good or for a time."""

from functools import partial

from pollenstile.forward._types import NotRun
from pollenstile.permission import events

_MS = 1000


class WithdrawnWait:
    """A request can only go to upstreams that want none until some time.

    Parameters
    ==========

    view : UpstreamView
        The one of them that wants requests again first.
    reason : str
        What it has stated; see :class:`~pollenstile.permission.Block`.
    wait : float
        Seconds until then.
    """

    __slots__ = ('reason', 'view', 'wait')

    # The end of the time is known, and lets all requests go on together. So
    # they may wait until their deadline: a late answer is worth more than a
    # refusal, as the hosts that callers come back to may have been asked too.
    takes_turns = False
    recheck_seconds = float('inf')

    def __init__(self, view, reason, wait):
        self.view = view
        self.reason = reason
        self.wait = wait

    def log_wait(self, core, exchange):
        """Log that a request waits."""
        self._log(core, exchange, 'wait')

    def refuse(self, core, exchange):
        """Return the outcome of a request that can't wait, and log it."""
        self._log(core, exchange, 'refuse')
        return self.refusal(exchange)

    def refusal(self, exchange):
        """Return the outcome of a request that can't wait."""
        return NotRun(
            self.reason,
            exchange.service,
            arrived=False,
            retry_after=self.wait,
        )

    def _log(self, core, exchange, choice):
        core.permissions.rests.note_held_back(self.view.incarnation)
        core.log(
            events.REST_HELD_BACK,
            request=exchange.ident,
            service=exchange.service,
            peer=self.view.ident,
            choice=choice,
            wait_ms=int(self.wait * _MS),
        )


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


def withdrawn_wait(core, exchange, tried=()):
    """Return a request's :class:`WithdrawnWait`, or None.

    Parameters
    ==========

    exchange : Exchange
        The request.
    tried : sequence of str
        Identifiers of upstreams to leave out.

    Returns
    =======

    WithdrawnWait or None
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
    return WithdrawnWait(view, block.reason, wait)


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
