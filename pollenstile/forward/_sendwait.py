"""Waits of requests that may not be sent to any upstream yet."""

from collections.abc import Callable
from dataclasses import dataclass

from pollenstile.forward._types import NotRun


@dataclass(slots=True, frozen=True)
class SendWait:
    """Why a request may not be sent to any upstream yet, and for how long.

    Parameters
    ==========

    view : UpstreamView
        The upstream that the request would go to.
    reason : str
        Why it is not sent, as its caller is told.
    wait : float
        Expected seconds until it may be sent.
    write_log : function
        Called with ``(core, exchange, wait, choice)``, where ``choice`` is
        ``wait`` or ``refuse``.
    takes_turns : bool
        Whether the end of the wait lets one request go on, not all of them.
    recheck_seconds : float
        Time after which a waiting request looks again in any case.
    """

    view: object
    reason: str
    wait: float
    write_log: Callable
    takes_turns: bool
    recheck_seconds: float = float('inf')

    def log_wait(self, core, exchange):
        """Log that a request waits."""
        self.write_log(core, exchange, self, 'wait')

    def refuse(self, core, exchange):
        """Return the outcome of a request that can't wait, and log it."""
        self.write_log(core, exchange, self, 'refuse')
        return self.refusal(exchange)

    def refusal(self, exchange):
        """Return the outcome of a request that can't wait."""
        return NotRun(
            self.reason,
            exchange.service,
            arrived=False,
            retry_after=self.wait,
        )
