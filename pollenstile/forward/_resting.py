"""Requests whose upstreams have asked this host to send nothing for a time."""

from pollenstile.forward._types import NotRun
from pollenstile.permission import RESTING_REASON, events

_MS = 1000


class RestWait:
    """A request can only go to upstreams that rest.

    Parameters
    ==========

    view : UpstreamView
        The one of them whose rest ends first.
    wait : float
        Seconds until then.
    """

    __slots__ = ('view', 'wait')

    # The end of a rest is known, and lets all requests go on together. So they
    # may wait until their deadline: a late answer is worth more than a refusal,
    # as the hosts that callers come back to may have been asked as well.
    takes_turns = False

    def __init__(self, view, wait):
        self.view = view
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
            RESTING_REASON,
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


def without_resting(core, views):
    """Return those of some upstreams that do not rest."""
    rests = core.permissions.rests
    if not rests.by_name:
        return views
    return [view for view in views if rests.block(view.incarnation) is None]


def rest_wait(core, service, tried=()):
    """Return a service's :class:`RestWait` if all upstreams rest, or None.

    Parameters
    ==========

    service : str
        The service.
    tried : sequence of str
        Identifiers of upstreams to leave out.
    """
    views = [
        view
        for view in core.registry.usable(service)
        if view.ident not in tried
    ]
    if not views or without_resting(core, views):
        return None
    rests = core.permissions.rests

    def end(view):
        return rests.until(view.incarnation)

    first = min(views, key=end)
    return RestWait(first, max(0.0, end(first) - core.clock.seconds()))
