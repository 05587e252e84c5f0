"""Builders of what hosts tell each other of requests that crash upstreams."""

from pollenstile.quarantine import News, Verdict


def verdict(content, changed=1, ends=600.0, *, is_held=True):
    """Return a verdict on a request, by fingerprint."""
    return Verdict(content, 'team', 's', 3, changed, is_held=is_held, ends=ends)


def tell(quarantine, *verdicts):
    """Let a host hear of verdicts."""
    quarantine.take(News(verdicts=verdicts))
