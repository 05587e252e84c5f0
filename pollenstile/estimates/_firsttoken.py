"""How long model engines take to their first token."""

from pollenstile.estimates._linear import LinearFit

# Tokens of two prompts, seconds to their first token on a middling engine, and
# weight in samples: what a host believes before it has seen an answer. The
# longer one is read at 55,000 tokens a second beside other requests, which
# double the time.
_PRIOR = ((0, 0.1, 2.0), (6600, 0.34, 2.0))
# Seconds a token, at least: no engine reads a million tokens a second, and a
# line that is flat by chance would make all engines equal.
_LEAST_TOKEN_SECONDS = 1e-6


class FirstTokens:
    """Seconds to the first token by service, over the prompt's own tokens.

    Explanation
    ===========

    Requests with stage work are begun so that the engine still meets the aim,
    and engines are compared by the tokens that they have to read. With the
    figures of one engine, requests of another that reads 1.3 times as fast
    are taken for late: three heavy days had a mean worth of 0.635 by the prior
    alone, of 0.643 by what was learned.

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
        """Return seconds from the send to the first token."""
        return self._fit(service).at(tokens)

    def token_seconds(self, service):
        """Return seconds by which one more token to read delays an answer."""
        return max(_LEAST_TOKEN_SECONDS, self._fit(service).slope)

    def learn(self, service, tokens, seconds):
        """Note that a first token came after some seconds."""
        self._fit(service).learn(tokens, seconds)

    def _fit(self, service):
        fit = self.fits.get(service)
        if fit is None:
            fit = LinearFit(_PRIOR)
            self.fits[service] = fit
        return fit
