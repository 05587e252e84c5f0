"""Whether a transfer of shared prompt parts pays, and what it costs."""

# Number of shared tokens below which a transfer is not worth it. Reading
# them would delay all requests in the engine's batch, a transfer delays one.
_MIN_TOKENS = 128
# A transfer of a token must take less than this share of the time to read it,
# as it also occupies the links of both engines.
_MAX_TIME_SHARE = 0.5
# Connection of the engine to the source, and the source's answer.
_SETUP_SECONDS = 0.01
# Cost of a transfer as a multiple of its time on an idle link: an engine's
# transfers run one after another, and they are billed.
_TRANSFER_FACTOR = 3.0


def has_transferable_parts(prompt):
    """Return whether a prompt shares enough tokens for a transfer.

    Parameters
    ==========

    prompt : tuple
        Identifier and token count of each part; the last is never shared.

    Examples
    ========

    >>> from pollenstile.promptparts import has_transferable_parts
    >>> has_transferable_parts((('head', 100), ('unit', 28), ('own', 9)))
    True
    >>> has_transferable_parts((('head', 127), ('own', 9000)))
    False
    """
    return sum(size for _, size in prompt[:-1]) >= _MIN_TOKENS


def is_worthwhile(transfer, token_seconds):
    """Return whether moving a token is far quicker than reading it.

    Parameters
    ==========

    transfer : PartTransfer or None
        Properties of the service's engines; None where they are unknown.
    token_seconds : float
        Seconds to read a token.

    Examples
    ========

    >>> from pollenstile.promptparts import is_worthwhile
    >>> from pollenstile.routes import PartTransfer
    >>> is_worthwhile(PartTransfer(1000, 1e9), 2e-5)
    True
    >>> is_worthwhile(PartTransfer(1000, 1e9), 1.9e-6)
    False
    >>> is_worthwhile(None, 1.0)
    False
    """
    if transfer is None:
        return False
    return _moving_seconds(transfer, 1) < _MAX_TIME_SHARE * token_seconds


def transfer_cost_seconds(transfer, tokens):
    """Return the cost of moving some tokens, as a delay in seconds.

    Examples
    ========

    >>> from pollenstile.promptparts import transfer_cost_seconds
    >>> from pollenstile.routes import PartTransfer
    >>> round(transfer_cost_seconds(PartTransfer(1000, 1e9), 10000), 3)
    0.04
    """
    return _SETUP_SECONDS + _TRANSFER_FACTOR * _moving_seconds(transfer, tokens)


def _moving_seconds(transfer, tokens):
    """Return the seconds to move tokens over an idle link."""
    return tokens * transfer.token_bytes / transfer.link_rate
