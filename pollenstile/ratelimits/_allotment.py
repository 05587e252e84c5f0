"""A host's tokens of one upstream, and what it would use them for."""

from dataclasses import dataclass, field

from pollenstile.ratelimits._types import RatedUpstream

# Requests that missed a token since the host last asked, for each token that it
# asks for in advance.
_MISSED_FOR_TOKEN = 2


@dataclass(slots=True)
class Allotment:
    """This host's tokens of one upstream.

    Attributes
    ==========

    upstream : RatedUpstream
        The upstream.
    tokens : int
        Requests that may be sent until ``expires_at``.
    expires_at : float
        Time on the clock at which the tokens expire.
    wanting : set of str
        Requests that were sent or wait since the host last asked.
    missed : int
        Requests since then that found no token and did not wait.
    asked_for : set of str
        Requests for which it has asked last; they don't count again.
    asks_at : float
        Time on the clock from which the host may ask for tokens.
    spacing : float
        Average seconds between two tokens; 0 while unknown.
    waiters : list of Deferred or None
        Fired by the answer to the request under way; None without one.
    timer : IDelayedCall or None
        Next request for tokens.
    sent, held_back : int
        Requests that were sent with a token, and those for which there was
        none, since the upstream is limited.
    """

    upstream: RatedUpstream
    tokens: int = 0
    expires_at: float = 0.0
    wanting: set = field(default_factory=set)
    missed: int = 0
    asked_for: set = field(default_factory=set)
    asks_at: float = 0.0
    spacing: float = 0.0
    waiters: list | None = None
    timer: object = None
    sent: int = 0
    held_back: int = 0

    def valid_tokens(self, now):
        """Return the number of tokens that have not expired."""
        return self.tokens if now < self.expires_at else 0

    def note_sent(self, request):
        """Count a request, by its identifier, that uses a token."""
        self.tokens = max(0, self.tokens - 1)
        self.sent += 1
        if request not in self.asked_for:
            self.wanting.add(request)

    def note_held_back(self, request):
        """Count a request for which there is no token."""
        if request not in self.wanting:
            self.wanting.add(request)
            self.held_back += 1

    def note_missed(self, request):
        """Count a request that goes on without a token."""
        self.wanting.discard(request)
        self.asked_for.discard(request)
        self.missed += 1

    def wanted(self):
        """Return the number of tokens that the host has use for.

        Explanation
        ===========

        Requests that did not wait tell that more will come soon, if they are
        several; a token for the next one is not worth holding when they are
        rare.
        """
        return len(self.wanting) + self.missed // _MISSED_FOR_TOKEN

    def has_use(self):
        """Return whether there are tokens to ask for or to return."""
        return bool(self.wanted() or self.tokens)

    def start_asking(self):
        """Give up the tokens, which the request for new ones returns."""
        self.tokens = 0
        self.asked_for = self.wanting
        self.wanting = set()
        self.missed = 0
        self.waiters = []
        self.stop_timer()

    def stop_timer(self):
        """Cancel the next request for tokens."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def wake_waiters(self):
        """Let the requests go on that wait for the answer."""
        waiters = self.waiters or ()
        self.waiters = None
        for waiter in waiters:
            waiter.callback(None)
