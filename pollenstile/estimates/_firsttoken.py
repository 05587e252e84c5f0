"""Estimated time of model engines to the first token."""

from pollenstile.estimates._linear import LinearFit

# Prior estimate before the first answer: prompt tokens, seconds to the first
# token on an average engine, and weight in samples. The longer prompt is read
# at 55,000 tokens per second; concurrent requests double the time.
_PRIOR_POINTS = ((0, 0.1, 2.0), (6600, 0.34, 2.0))
# Minimum seconds per token. No engine reads a million tokens per second, and a
# slope of zero by chance would make all engines equal.
_MIN_TOKEN_SECONDS = 1e-6


class FirstTokens:
    """Seconds to the first token by service and prompt length.

    Explanation
    ===========

    Requests with stage work are scheduled so that the engine still meets the
    target latency, and engines are compared by the tokens that they have to
    read. With the estimates of one engine type, requests to another type that
    reads 1.3 times as fast are taken for late: three heavy days had a mean
    worth of 0.635 with the prior alone and of 0.643 with learned estimates.

    Examples
    ========

    >>> from pollenstile.estimates import FirstTokens
    >>> tokens = FirstTokens()
    >>> round(tokens.seconds('model', 6600), 2)
    0.34
    >>> for _ in range(100):
    ...     tokens.learn('model', 6600, 0.2)
    ...     tokens.learn('model', 600, 0.12)
    >>> round(tokens.seconds('model', 6600), 1)
    0.2
    """

    __slots__ = ('fits',)

    def __init__(self):
        self.fits = {}

    def seconds(self, service, tokens):
        """Return the expected seconds from the send to the first token."""
        return self._fit(service).at(tokens)

    def token_seconds(self, service):
        """Return the seconds that each further prompt token adds."""
        return max(_MIN_TOKEN_SECONDS, self._fit(service).slope)

    def learn(self, service, tokens, seconds):
        """Add a measured time to the first token."""
        self._fit(service).learn(tokens, seconds)

    def _fit(self, service):
        fit = self.fits.get(service)
        if fit is None:
            fit = LinearFit(_PRIOR_POINTS)
            self.fits[service] = fit
        return fit
